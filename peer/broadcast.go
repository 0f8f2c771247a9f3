package peer

import (
	"context"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"
)

// toldAtOnce bounds the VMs that are told at the same time.
const toldAtOnce = 32

// Broadcast tells the VMs at all addresses and returns when each knows, has
// failed, or the context has ended. It returns the number that know. failed is
// called for each of the others, by one goroutine at a time.
func (dialer *Dialer) Broadcast(ctx context.Context, addresses []netip.AddrPort, notice Notice, failed func(netip.AddrPort, error)) int {
	var group errgroup.Group
	group.SetLimit(toldAtOnce)
	var mu sync.Mutex // guards told and the calls of failed
	told := 0
	for _, address := range addresses {
		group.Go(func() error {
			err := dialer.Notify(ctx, address, notice)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed(address, err)
				return nil
			}
			told++
			return nil
		})
	}
	_ = group.Wait() // each reports for itself
	return told
}
