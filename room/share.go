package room

const (
	// tightOccupancy is the part of the memory of a service's targets from which requests
	// are placed by shares. Below it, requests are spread over many targets with room, so
	// that VMs that do not know of each other's requests seldom fill one.
	tightOccupancy = 0.2
	// looseOccupancy is the part of a target's memory up to which requests are placed
	// before that: the others' rate may have risen in the last second.
	looseOccupancy = 0.6
	// firstShare and secondShare are the shares of the first two holders of a target; the
	// others share the rest equally. Only a large share has room for the longest prompts.
	firstShare  = 0.5
	secondShare = 0.25
	// minHolders is the least number of VMs with a share of a target, minShares that of
	// targets of which a VM has a share, in the mean.
	minHolders = 4
	minShares  = 3
)

// Tight reports whether targets with the given memory are so full together that requests
// are placed by shares.
func Tight(held, capacity float64) bool {
	return capacity > 0 && held > tightOccupancy*capacity
}

// Holders returns how many of a number of VMs have a share of each of a number of targets.
func Holders(vms, targets int) int {
	if targets <= 0 {
		return vms
	}
	return min(vms, max(minHolders, (minShares*vms+targets-1)/targets))
}

// Share returns the share of the VM with a rank, 0 for the first, among a number of
// holders. The shares of all add up to one.
func Share(rank, holders int) float64 {
	switch {
	case rank < 0 || rank >= holders:
		return 0
	case holders == 1:
		return 1
	case holders == 2 || rank == 0:
		return firstShare
	case rank == 1:
		return secondShare
	}
	return (1 - firstShare - secondShare) / float64(holders-2)
}
