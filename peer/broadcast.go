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
// confirmed. For each VM it calls ended, from one goroutine at a time.
func (dialer *Dialer) Broadcast(ctx context.Context, addresses []netip.AddrPort, notice Notice, ended func(netip.AddrPort, NoticeReply, error)) int {
	var group errgroup.Group
	group.SetLimit(maxConcurrentNotices)
	var mu sync.Mutex // guards confirmed and serializes calls of ended
	confirmed := 0
	for _, address := range addresses {
		group.Go(func() error {
			reply, err := dialer.Notify(ctx, address, notice)
			mu.Lock()
			defer mu.Unlock()
			ended(address, reply, err)
			if err == nil {
				confirmed++
			}
			return nil
		})
	}
	_ = group.Wait() // always nil: failures are reported through ended
	return confirmed
}
