package roster

import (
	"fmt"
	"testing"
	"time"
)

// newZoneRoster returns the roster of a VM that has heard from the others of its availability
// zone, and sends requests with the given number of prefixes.
func newZoneRoster(targets, vms, prefixes int) (*Roster, map[string]bool) {
	roster := New("a")
	roster.SetMemoryPressure(true)
	roster.SetFleetSize(300)
	var entries []Entry
	for i := range targets {
		entries = append(entries, engineEntry(fmt.Sprintf("engine-%03d", i), "a", 1))
	}
	roster.Replace(entries, start)
	for key := range uint64(prefixes) {
		roster.countPrefix(Criteria{Service: "notes", Prefix: 1 + key, Tokens: 500 + int(key%100)}, start)
	}
	names := map[string]bool{}
	for vm := range vms {
		name := fmt.Sprint("vm-", vm)
		names[name] = true
		roster.SetBacklogs(name, zoneBacklogs(targets), start)
		var loads []PrefixLoad
		for i := range uint64(maxReportedLoads) {
			loads = append(loads, PrefixLoad{Prefix: 1 + (uint64(vm)*31+i*7)%uint64(prefixes), TokensPerSecond: 900 + int(i), Homes: 1})
		}
		roster.SetPrefixLoads(name, loads, start)
	}
	return roster, names
}

func zoneBacklogs(targets int) []Backlog {
	var backlogs []Backlog
	for i := range targets {
		backlogs = append(backlogs, Backlog{Target: fmt.Sprintf("engine-%03d", i), Tokens: 100 * (1 + i)})
	}
	return backlogs
}

func BenchmarkExchange(b *testing.B) {
	const targets, vms, prefixes = 165, 54, 2000
	now := start.Add(50 * time.Millisecond)
	roster, names := newZoneRoster(targets, vms, prefixes)
	all, some := zoneBacklogs(targets), zoneBacklogs(60)
	for _, benchmark := range []struct {
		name string
		run  func()
	}{
		{"PrefixLoads", func() { roster.PrefixLoads(now) }},
		{"SummedPrefixLoads", func() { roster.SummedPrefixLoads(names, now) }},
		{"UpdateHomes", func() { roster.UpdateHomes(now) }},
		{"HotPrefixes", func() { roster.HotPrefixes(now) }},
		{"SetBacklogs of 60 targets", func() { roster.SetBacklogs("vm-200", some, now) }},
		{"SetBacklogs of 165 targets", func() { roster.SetBacklogs("vm-201", all, now) }},
		{"SummedBacklogs", func() { roster.SummedBacklogs(names, now) }},
		{"MeanWait", func() { roster.MeanWait("notes", now) }},
		{"Heard", func() { roster.Heard(now) }},
	} {
		b.Run(benchmark.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchmark.run()
			}
		})
	}
}
