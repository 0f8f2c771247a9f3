package quota

import "time"

// zoneCounts is what sources with SameZone set counted since this process started. They
// are single VMs while this VM represents its availability zone, and sums that a
// representative reports at other times. Both may report the same tokens.
type zoneCounts struct {
	total  Count
	summed Count              // the part of total that sums reported
	vms    map[string]*zoneVM // by name
	// coveredUntil is when the latest count was made that may include tokens of VMs that
	// are no sources yet.
	coveredUntil time.Time
}

// zoneVM is the part of the zone's total that came from one VM. It outlives the VM's
// source and its process.
type zoneVM struct {
	included Count
	// boot and latest are the process and the latest count of the VM when its source was
	// removed, and summed is that of the zone at this time.
	boot           string
	latest, summed Count
}

// vm returns the part of the named VM.
func (zone *zoneCounts) vm(name string) *zoneVM {
	known, ok := zone.vms[name]
	if !ok {
		known = &zoneVM{}
		zone.vms[name] = known
	}
	return known
}

// add adds what a single VM counted.
func (zone *zoneCounts) add(vm *zoneVM, counted Count) {
	vm.included = vm.included.plus(counted)
	zone.total = zone.total.plus(counted)
}

// addSums adds what the VMs counted by sums that were made at the given time.
func (zone *zoneCounts) addSums(counted Count, made time.Time) {
	zone.summed = zone.summed.plus(counted)
	zone.total = zone.total.plus(counted)
	zone.cover(made)
}

// cover notes a count that other sources may report too.
func (zone *zoneCounts) cover(made time.Time) {
	if made.After(zone.coveredUntil) {
		zone.coveredUntil = made
	}
}

// removed notes that the source of a VM is removed.
func (zone *zoneCounts) removed(vm *zoneVM, source *sourceCount) {
	vm.boot, vm.latest, vm.summed = source.boot, source.count, zone.summed
	zone.cover(source.madeAt)
}

// resume notes that a VM is a source again, or for the first time, and that its first
// count is not added: as far as sums reported it, it is part of the total. began is when
// this VM began to count.
func (zone *zoneCounts) resume(vm *zoneVM, source Source, first Count, began time.Time) {
	switch {
	case vm.boot == source.Boot:
		first = first.minus(vm.latest)
	case source.Began.Before(began.Add(-newSourceMaxLead)):
		return // mostly counted before this VM did
	}
	summed := zone.summed.minus(vm.summed)
	vm.included.Spent += max(0, min(first.Spent, summed.Spent))
	vm.included.Wanted += max(0, min(first.Wanted, summed.Wanted))
}

// without returns the total less the part of the named VM. It reports false while that
// part is unknown: sums were added since the VM was a source. isSource is set if it is
// one.
func (zone *zoneCounts) without(name string, isSource bool) (Count, bool) {
	vm, ok := zone.vms[name]
	if !ok {
		vm = &zoneVM{}
	}
	return zone.total.minus(vm.included), isSource || zone.summed == vm.summed
}

// plus returns the sum of two counts of an account.
func (count Count) plus(other Count) Count {
	return Count{Account: count.Account, Spent: count.Spent + other.Spent, Wanted: count.Wanted + other.Wanted}
}

// minus returns the difference of two counts of an account.
func (count Count) minus(other Count) Count {
	return Count{Account: count.Account, Spent: count.Spent - other.Spent, Wanted: count.Wanted - other.Wanted}
}
