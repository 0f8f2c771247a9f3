package peer

import (
	"context"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxConcurrentNotices is the maximum number of notices in flight per broadcast.
const maxConcurrentNotices = 32

// Broadcast sends a notice to the VMs at all addresses and returns when each has
// confirmed it or failed, or the context has ended. It returns the number of VMs that
// confirmed. For each of the others it calls failed, from one goroutine at a time.
func (dialer *Dialer) Broadcast(ctx context.Context, addresses []netip.AddrPort, notice Notice, failed func(netip.AddrPort, error)) int {
	var group errgroup.Group
	group.SetLimit(maxConcurrentNotices)
	var mu sync.Mutex // guards confirmed and serializes calls of failed
	confirmed := 0
	for _, address := range addresses {
		group.Go(func() error {
			err := dialer.Notify(ctx, address, notice)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed(address, err)
				return nil
			}
			confirmed++
			return nil
		})
	}
	_ = group.Wait() // always nil: failures are reported through failed
	return confirmed
}
