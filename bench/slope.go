package bench

import (
	"fmt"
	"runtime"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
)

// Slope holds the cost of the control traffic and work at one size of one dimension,
// without load.
type Slope struct {
	Dimension string `json:"dimension"`
	Size      int    `json:"size"`
	// CoreShare is an upper bound: it includes the work of the stand-ins.
	CoreShare     float64 `json:"core_share_per_vm"`
	BytesPerSec   float64 `json:"bytes_per_second_per_vm"`
	HeapBytes     int64   `json:"heap_bytes_per_vm"`
	PlatformCalls float64 `json:"platform_calls_per_second_per_vm"`
}

const (
	slopeLength = 5 * time.Second
	slopeSettle = 3 * time.Second
)

// dimension is a parameter of the layout that is measured at several sizes.
type dimension struct {
	name  string
	sizes []int
	apply func(*Layout, int)
}

var dimensions = []dimension{
	{"vms", []int{3, 6, 12, 24}, func(layout *Layout, size int) { layout.VMs = size }},
	{"targets", []int{13, 100, 300, 600}, func(layout *Layout, size int) { layout.ListedTargets = size }},
	{"accounts", []int{10, 100, 430}, func(layout *Layout, size int) {
		for i := len(layout.Accounts); i < size; i++ {
			layout.Accounts = append(layout.Accounts, account(fmt.Sprint("account-", i), 1000, 0, 1, "ledger"))
		}
	}},
}

// Slopes measures idle fleets of growing sizes and calls report with each result.
func Slopes(report func(Slope)) error {
	for _, dimension := range dimensions {
		for _, size := range dimension.sizes {
			layout := Small(1)
			layout.VMs = 6
			dimension.apply(&layout, size)
			slope, err := measureIdle(layout)
			if err != nil {
				return err
			}
			slope.Dimension, slope.Size = dimension.name, size
			report(slope)
		}
	}
	return nil
}

func measureIdle(layout Layout) (Slope, error) {
	base := idleHeapBytes()
	fleet, err := Start(layout, nil)
	if err != nil {
		return Slope{}, err
	}
	defer fleet.Stop()
	if err := fleet.addIdleTargets(layout.ListedTargets); err != nil {
		return Slope{}, err
	}
	time.Sleep(slopeSettle)
	before, started := fleet.counters(), time.Now()
	time.Sleep(slopeLength)
	after, took := fleet.counters(), time.Since(started)
	vms := float64(layout.VMs)
	return Slope{
		CoreShare:     (after.processor - before.processor).Seconds() / took.Seconds() / vms,
		BytesPerSec:   float64(after.controlBytes-before.controlBytes) / took.Seconds() / vms,
		HeapBytes:     (heapBytes() - base) / int64(layout.VMs),
		PlatformCalls: float64(after.platformCalls-before.platformCalls) / took.Seconds() / vms,
	}, nil
}

// addIdleTargets configures additional targets that receive no requests.
func (fleet *Fleet) addIdleTargets(count int) error {
	client := fleet.Operator(fleet.VMs[0])
	for i := len(fleet.Engines); i < count; i++ {
		name := fmt.Sprint("listed-", i)
		spec := catalog.Target{
			Name: name, Kind: catalog.Engine, Address: fleet.Engines[0].Addr(), AvailabilityZone: fleet.Layout.Zones[0],
			Serves: fmt.Sprint("model-", i%30), Weights: "w1",
		}
		if _, err := client.Create("targets", name, spec); err != nil {
			return err
		}
	}
	return nil
}

const (
	// maxIdleHeapBytes is the maximum heap size of a process without a fleet.
	maxIdleHeapBytes = 6 << 20
	maxHeapChecks    = 40
)

// idleHeapBytes waits until the memory of a previous fleet is freed, with at most
// maxHeapChecks checks, and returns the heap size.
func idleHeapBytes() int64 {
	for range maxHeapChecks {
		if heapBytes() < maxIdleHeapBytes {
			break
		}
		time.Sleep(slopeSettle / 6)
	}
	return heapBytes()
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // frees what the finalizers of the first run released
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
