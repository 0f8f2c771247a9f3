package gateway

import (
	"net"
	"net/netip"
	"testing"
)

// Guards against VMs that choose different KV cache stores for the same prefix, so
// that one VM saves it to a store that another one does not query.
func TestAllVMsChooseTheSameCacheStore(t *testing.T) {
	const prefixes = 300
	addresses := []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1"), netip.MustParseAddrPort("127.0.0.3:1"),
	}
	var vms []*cacheStores
	for range 2 {
		cacheStores := newCacheStores(nil)
		cacheStores.setAddresses(addresses)
		for _, address := range addresses {
			cacheStores.stores[address].conn = &net.TCPConn{}
		}
		vms = append(vms, cacheStores)
	}
	used, before := map[netip.AddrPort]int{}, map[uint64]netip.AddrPort{}
	for key := range uint64(prefixes) {
		before[key] = vms[0].Usable(key)
		used[before[key]]++
		if got := vms[1].Usable(key); got != before[key] {
			t.Errorf("prefix %d: got store %v on one VM and %v on the other, want the same store", key, got, before[key])
		}
	}
	for _, address := range addresses {
		if got := used[address]; got < prefixes/5 {
			t.Errorf("%v: got %d of %d prefixes, want about a third of them", address, got, prefixes)
		}
	}
	vms[0].stores[addresses[1]].conn = nil
	for key := range uint64(prefixes) {
		got := vms[0].Usable(key)
		if got == addresses[1] || before[key] != addresses[1] && got != before[key] {
			t.Errorf("prefix %d: got store %v after store 1 became unreachable, want %v unless that was store 1", key, got, before[key])
		}
	}
}
