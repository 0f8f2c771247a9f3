package gateway

import (
	"net"
	"net/netip"
	"testing"
)

// The pattern: several stores of KV cache, and VMs that save a prefix to one and ask
// another one for it.
func TestAllVMsKeepAPrefixInTheSameStore(t *testing.T) {
	const prefixes = 300
	addresses := []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.3:1"),
	}
	var vms []*cacheStores
	for range 2 {
		stores := newCacheStores(nil)
		stores.set(addresses)
		for _, address := range addresses {
			stores.stores[address].conn = &net.TCPConn{}
		}
		vms = append(vms, stores)
	}
	used, before := map[netip.AddrPort]int{}, map[uint64]netip.AddrPort{}
	for key := range uint64(prefixes) {
		before[key] = vms[0].Usable(key)
		used[before[key]]++
		if got := vms[1].Usable(key); got != before[key] {
			t.Errorf("prefix %d: got %v at one VM and %v at the other, want the same", key, got, before[key])
		}
	}
	for _, address := range addresses {
		if got := used[address]; got < prefixes/5 {
			t.Errorf("%v: got %d of %d prefixes, want about a third", address, got, prefixes)
		}
	}
	vms[0].stores[addresses[1]].conn = nil
	for key := range uint64(prefixes) {
		got := vms[0].Usable(key)
		if got == addresses[1] || before[key] != addresses[1] && got != before[key] {
			t.Errorf("prefix %d: got %v after another store ended, want %v", key, got, before[key])
		}
	}
}
