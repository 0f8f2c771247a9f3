package membership

import "github.com/bramleygw/bramleygw/prefix"

// Share returns the share of a VM in something that a few of the VMs share equally. The
// holders are the first in rendezvous order for the key, which is the same on all VMs
// that know the same others. vms need not contain self.
func Share(self string, vms []string, key string, holders int) float64 {
	seed := prefix.Mix(prefix.Digest(key))
	score := func(name string) uint64 { return prefix.Mix(seed ^ prefix.Digest(name)) }
	own, rank, count := score(self), 0, 1
	for _, name := range vms {
		if name == self {
			continue
		}
		count++
		if score(name) > own {
			rank++
		}
	}
	holders = max(1, min(holders, count))
	if rank >= holders {
		return 0
	}
	return 1 / float64(holders)
}
