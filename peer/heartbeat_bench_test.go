package peer

import (
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleygw/bramleygw/peer/peerpb"
)

// largeHeartbeat returns the reply of a VM that represents its availability zone in a fleet
// of seven zones.
func largeHeartbeat() Heartbeat {
	heartbeat := Heartbeat{
		Name: "vm-100", Address: netip.MustParseAddrPort("127.0.0.8:1"), Version: 123456, PlatformAge: time.Second, Boot: "b100", Uptime: time.Hour,
		Zone: "zone-0", IsRepresentative: true, Spending: largeSpending(40), Backlogs: largeBacklogs(60), HotPrefixes: largeHotPrefixes(8),
	}
	for i := range 165 {
		heartbeat.HeardTargets = append(heartbeat.HeardTargets, HeardTarget{Hash: uint32(i) * 2654435761, Age: time.Duration(i) * time.Millisecond})
	}
	for zone := range 6 {
		heartbeat.ZoneSummaries = append(heartbeat.ZoneSummaries, ZoneSummary{
			Zone: fmt.Sprint("zone-", 1+zone), Origin: "vm-200/b200", Number: 4000, Age: 300 * time.Millisecond, Uptime: time.Hour, VMs: 49,
			Spending: largeSpending(40), Backlogs: largeBacklogs(100), HotPrefixes: largeHotPrefixes(8),
		})
	}
	return heartbeat
}

func largeSpending(count int) []Spending {
	var spending []Spending
	for i := range count {
		spending = append(spending, Spending{Account: fmt.Sprint("account-", i), Spent: float64(1_000_000 * i), Wanted: float64(1_010_000 * i)})
	}
	return spending
}

func largeBacklogs(count int) []Backlog {
	var backlogs []Backlog
	for i := range count {
		backlogs = append(backlogs, Backlog{Target: fmt.Sprintf("engine-%03d", i), Tokens: 300 * i})
	}
	return backlogs
}

func largeHotPrefixes(count int) []HotPrefix {
	var prefixes []HotPrefix
	for i := range count {
		prefixes = append(prefixes, HotPrefix{Prefix: uint64(i+1) * 0x9e3779b97f4a7c15, TokensPerSecond: 9000 - i, Homes: 2})
	}
	return prefixes
}

// processorTime returns what this process used, by itself and in the system.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkHeartbeatEncodeAndDecode(b *testing.B) {
	heartbeat := largeHeartbeat()
	b.ReportAllocs()
	for b.Loop() {
		wire, err := proto.Marshal(encodeHeartbeat(heartbeat))
		if err != nil {
			b.Fatal(err)
		}
		received := &peerpb.Beat{}
		if err := proto.Unmarshal(wire, received); err != nil {
			b.Fatal(err)
		}
		decodeHeartbeat(received)
	}
}

// replier replies with a heartbeat.
type replier struct {
	handler
	reply Heartbeat
}

func (replier *replier) HandleHeartbeat(Heartbeat) Heartbeat {
	return replier.reply
}

func BenchmarkLargeHeartbeat(b *testing.B) {
	large := largeHeartbeat()
	own := large
	own.ZoneSummaries = nil
	for _, benchmark := range []struct {
		name        string
		call, reply Heartbeat
	}{
		{"own reports", own, own},
		{"with zone summaries", own, large},
	} {
		b.Run(benchmark.name, func(b *testing.B) {
			dialer, address, _ := startWith(b, &replier{reply: benchmark.reply})
			if _, err := dialer.Heartbeat(b.Context(), address, benchmark.call); err != nil {
				b.Fatal(err)
			}
			bytes, used := dialer.Bytes.Load(), processorTime(b)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := dialer.Heartbeat(b.Context(), address, benchmark.call); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(dialer.Bytes.Load()-bytes)/float64(b.N), "bytes/op")
			b.ReportMetric(float64(processorTime(b)-used)/float64(b.N), "cpu-ns/op")
		})
	}
}
