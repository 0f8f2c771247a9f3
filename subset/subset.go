// Package subset decides which targets of a service a VM prefers, so that its connections
// to them are used again before they are too old.
//
// Each VM that spreads its requests over all targets uses a connection so rarely that
// nearly each request opens one, which costs the target about 1 ms. All VMs compute the
// same subsets from the names of VMs and targets, without messages. Few memberships change
// when a VM or a target comes or goes, and targets have about the same number of VMs.
//
// The package does no I/O; times are arguments.
//
// # Usage
//
//	size := subset.Size(len(vms), len(targets))
//	members := subset.Members("vm-1", vms, targets, size)
package subset

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// minSize is the least number of members: a VM needs others while some are busy, rest
	// or crash.
	minSize = 6
	// coverage is the least number of VMs that prefer a target, in the mean. With fewer,
	// the load of a target would depend on the callers of few VMs.
	coverage = 4
	// sizeStep is the step in which sizes differ, so that VMs that know slightly different
	// numbers of VMs agree.
	sizeStep = 2
	// slack, plus up to 1, is by how many VMs a target may exceed the mean.
	slack = 0.5
	// candidateFactor is how many pairs are considered first for each member of a subset.
	// Sorting all pairs took 46 ms in place of 3 ms with 114 VMs and 600 targets.
	candidateFactor = 4
)

// Size returns the size of each VM's subset in a fleet.
func Size(vms, targets int) int {
	size := max(minSize, ceilDivide(coverage*targets, max(1, vms)))
	return min(targets, ceilDivide(size, sizeStep)*sizeStep)
}

// Members returns the targets that the VM named self prefers. vms are the names of all VMs
// known; self may be missing.
func Members(self string, vms, targets []string, size int) []string {
	vms, targets = sortedSet(append([]string{self}, vms...)), sortedSet(targets)
	if size >= len(targets) {
		return targets
	}
	me, _ := slices.BinarySearch(vms, self)
	return namesOf(newAssignment(vms, targets, size).run()[me], targets)
}

func namesOf(numbers []int, names []string) []string {
	list := make([]string, len(numbers))
	for i, number := range numbers {
		list[i] = names[number]
	}
	return list
}

// Widen returns the members and the targets that the VM named self prefers next, up to the
// size. Other VMs need not know that.
func Widen(self string, members, targets []string, size int) []string {
	vms, all := []string{self}, sortedSet(targets)
	assignment := newAssignment(vms, all, min(size, len(all)))
	for _, member := range members {
		if target, ok := slices.BinarySearch(all, member); ok {
			assignment.members[0] = append(assignment.members[0], target)
		}
	}
	assignment.complete(0)
	return namesOf(assignment.members[0], all)
}

// assignment assigns targets to VMs, both by their numbers in sorted order.
type assignment struct {
	size    int
	vms     []uint64 // seeds
	targets []uint64 // seeds
	members [][]int  // by VM
	room    []int    // by target: how many VMs it still takes
}

// pair is a VM and a target.
type pair struct {
	vm, target int
	score      uint64
}

func newAssignment(vms, targets []string, size int) *assignment {
	return &assignment{
		size: size, vms: seeds(vms), targets: seeds(targets), members: make([][]int, len(vms)), room: make([]int, len(targets)),
	}
}

func seeds(names []string) []uint64 {
	seeds := make([]uint64, len(names))
	for i, name := range names {
		seeds[i] = prefix.Mix(prefix.Digest(name))
	}
	return seeds
}

// run goes through the pairs from the highest score on (rendezvous hashing) and makes the
// target a member of the VM's subset unless either is full. First each target gets half of
// the mean number of VMs, then up to slack above the mean. Without this slack nearly all
// targets would be full, and each change would be passed on from one to the next.
func (assignment *assignment) run() [][]int {
	share := float64(candidateFactor*assignment.size) / float64(len(assignment.targets))
	least := uint64(0)
	if share < 1 {
		least = uint64((1 - share) * (1 << 63) * 2)
	}
	mean := float64(len(assignment.vms)*assignment.size) / float64(len(assignment.targets))
	half := int(math.Ceil(mean / 2))
	for target := range assignment.room {
		assignment.room[target] = half
	}
	assignment.assignAll(least)
	for target, seed := range assignment.targets {
		// The fraction spreads the change of this whole number over the targets when
		// the mean changes.
		fraction := float64(seed) / (1 << 63) / 2
		assignment.room[target] += int(mean+slack+fraction) - half
	}
	assignment.assignAll(least)
	for vm := range assignment.vms {
		assignment.complete(vm)
	}
	return assignment.members
}

// score returns the score of a VM and a target.
func (assignment *assignment) score(vm, target int) uint64 {
	return prefix.Mix(assignment.vms[vm] ^ prefix.Mix(assignment.targets[target]))
}

// pairs returns the pairs that are not full and have at least the score, in descending
// order of scores.
func (assignment *assignment) pairs(least uint64) []pair {
	var pairs []pair
	for vm, members := range assignment.members {
		if len(members) == assignment.size {
			continue
		}
		for target, room := range assignment.room {
			if score := assignment.score(vm, target); room > 0 && score >= least && !slices.Contains(members, target) {
				pairs = append(pairs, pair{vm: vm, target: target, score: score})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm), cmp.Compare(a.target, b.target))
	})
	return pairs
}

// assignAll assigns the pairs with at least the score, then the others that are not full.
func (assignment *assignment) assignAll(least uint64) {
	assignment.assign(assignment.pairs(least))
	assignment.assign(assignment.pairs(0))
}

func (assignment *assignment) assign(pairs []pair) {
	for _, pair := range pairs {
		if len(assignment.members[pair.vm]) < assignment.size && assignment.room[pair.target] > 0 {
			assignment.members[pair.vm] = append(assignment.members[pair.vm], pair.target)
			assignment.room[pair.target]--
		}
	}
}

// complete adds the targets with the highest scores to the subset of a VM, whose members
// are all targets that still have room.
func (assignment *assignment) complete(vm int) {
	missing := assignment.size - len(assignment.members[vm])
	if missing <= 0 {
		return
	}
	var others []int
	for target := range assignment.targets {
		if !slices.Contains(assignment.members[vm], target) {
			others = append(others, target)
		}
	}
	slices.SortFunc(others, func(a, b int) int { return cmp.Compare(assignment.score(vm, b), assignment.score(vm, a)) })
	assignment.members[vm] = append(assignment.members[vm], others[:missing]...)
}

// sortedSet returns the names in ascending order without duplicates.
func sortedSet(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

func ceilDivide(dividend, divisor int) int {
	return (dividend + divisor - 1) / divisor
}

const (
	// inFlightPerMember is the number of requests that a VM keeps in flight at each member
	// before its subset grows: with coverage VMs, they leave most slots of a target free.
	inFlightPerMember = 4
	// shrinkDelay is how long fewer members suffice before a subset shrinks. It exceeds the
	// seconds for which an account sends many times its usual rate.
	shrinkDelay = 10 * time.Second
)

// Width is the size of a VM's subset over time: it doubles with the VM's load.
type Width struct {
	size     int
	neededAt time.Time // when the size was last needed
}

// Update returns the size for the number of requests that the VM has in flight. base is
// the size without load.
func (width *Width) Update(base, inFlight int, now time.Time) int {
	needed := max(1, base)
	for needed*inFlightPerMember < inFlight {
		needed *= 2
	}
	if needed >= width.size || now.Sub(width.neededAt) > shrinkDelay {
		width.size, width.neededAt = needed, now
	}
	return width.size
}
