package origin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	first  = Origin{Service: "ledger", Software: "v1"}
	second = Origin{Service: "ledger", Software: "v1.1"}
)

func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

// However late, often and out of order records arrive, the table must name the origin of
// the highest attempt until that record expires.
func TestHighestAttemptIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(100)
		highest := map[string]int{}
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "request")
			attempt := rapid.IntRange(1, 5).Draw(t, "attempt")
			table.Put(Record{id, attempt, Origin{"ledger", fmt.Sprint("v", attempt)}, at(10)}, start)
			highest[id] = max(highest[id], attempt)
		}
		for id, attempt := range highest {
			got, ok := table.Get(id, at(9))
			if want := fmt.Sprint("v", attempt); !ok || got.Software != want {
				t.Errorf("%s: got %q %v, want %q", id, got.Software, ok, want)
			}
			if got, ok := table.Get(id, at(10)); ok {
				t.Errorf("%s: got %+v after the record expired, want none", id, got)
			}
		}
		if got := table.Sweep(at(10)); got != 0 {
			t.Errorf("got %d entries after all expired, want 0", got)
		}
	})
}

// A repeated record may prolong an entry, one of an earlier attempt may not.
func TestExpiryOfRepeatedRecords(t *testing.T) {
	table := NewTable(100)
	table.Put(Record{"a", 2, first, at(5)}, start)
	table.Put(Record{"a", 1, second, at(20)}, start)
	if _, ok := table.Get("a", at(6)); ok {
		t.Errorf("got an entry prolonged by an earlier attempt, want it expired")
	}
	table.Put(Record{"a", 2, first, at(10)}, start)
	table.Put(Record{"a", 2, first, at(3)}, start)
	if got, ok := table.Get("a", at(9)); !ok || got != first {
		t.Errorf("got %+v %v, want %+v until the later time", got, ok, first)
	}
	if got := table.Records("ledger", at(9)); len(got) != 1 || got[0] != (Record{"a", 2, first, at(10)}) {
		t.Errorf("got %+v, want the record", got)
	}
	if got := table.Records("ledger", at(10)); len(got) != 0 {
		t.Errorf("got %+v after it expired, want none", got)
	}
}

// Callers choose request IDs: neither their number nor their length may fill the memory.
func TestTableIsBounded(t *testing.T) {
	const maxEntries = 50
	table := NewTable(maxEntries)
	for i := range 4 * maxEntries {
		seconds := 1 + i*37%(4*maxEntries) // each second once
		table.Put(Record{fmt.Sprint(seconds), 1, first, at(seconds)}, start)
	}
	for seconds := 1; seconds <= 4*maxEntries; seconds++ {
		_, got := table.Get(fmt.Sprint(seconds), start)
		if want := seconds > 3*maxEntries; got != want {
			t.Errorf("second %d: got kept %v, want %v", seconds, got, want)
		}
	}
	long := strings.Repeat("x", MaxIDBytes+1)
	table.Put(Record{long, 1, first, at(1000)}, start)
	table.Put(Record{"name", 1, Origin{Service: strings.Repeat("x", MaxNameBytes+1)}, at(1000)}, start)
	if got := table.Sweep(start); got != maxEntries {
		t.Errorf("got %d entries, want %d", got, maxEntries)
	}
	if got := ID(long); len(got) > MaxIDBytes || got == ID(long+"x") {
		t.Errorf("got ID %q, want a short one that differs between requests", got)
	}
	if got := ID("\xff"); got == "\xff" {
		t.Errorf("got ID %q, want valid UTF-8", got)
	}
	if got := ID(long[1:]); got != long[1:] {
		t.Errorf("got ID %q, want a short one unchanged", got)
	}
}

// The loss of a VM must move only the requests that it held, and no VM may hold far more
// than its share.
func TestHoldersAreStable(t *testing.T) {
	vms := []string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	held := map[string]int{}
	for i := range 3000 {
		id := fmt.Sprint("request-", i)
		all := Holders(id, vms, len(vms))
		reversed := slices.Clone(vms)
		slices.Reverse(reversed)
		if got := Holders(id, reversed, len(vms)); !slices.Equal(got, all) {
			t.Fatalf("%s: got %v in another order of the VMs, want %v", id, got, all)
		}
		lost := i % len(vms)
		want := slices.DeleteFunc(slices.Clone(all), func(vm string) bool { return vm == vms[lost] })
		if got := Holders(id, slices.Delete(slices.Clone(vms), lost, lost+1), 3); !slices.Equal(got, want[:3]) {
			t.Fatalf("%s: got %v without %s, want %v", id, got, vms[lost], want[:3])
		}
		for _, vm := range all[:3] {
			held[vm]++
		}
	}
	for vm, got := range held {
		if got < 1400 || got > 1600 {
			t.Errorf("%s: got %d of 3000 requests, want about 1500", vm, got)
		}
	}
	if got := Holders("a", vms[:2], 3); len(got) != 2 {
		t.Errorf("got %v of two VMs, want both", got)
	}
}

func TestDecision(t *testing.T) {
	since := at(10)
	known := Answer{Known: true, Origin: first}
	vouches, late, none := Answer{WatchedSince: at(10)}, Answer{WatchedSince: at(11)}, Answer{}
	several := Answer{Several: true, WatchedSince: at(5)}
	oldList := Answer{WatchedSince: at(5), Versions: []string{"v1"}}
	newList := Answer{WatchedSince: at(5), Versions: []string{"v1.1"}}
	single := Origin{Service: "ledger"}
	for _, test := range []struct {
		name     string
		evidence Evidence
		origin   Origin
		want     Knowledge
	}{
		{"known to this VM", Evidence{Own: known, OtherVMs: true}, first, Known},
		{"known to a holder", Evidence{Own: several, OtherVMs: true, Answers: []Answer{several, known}}, first, Known},
		{"this VM vouches, a holder does not", Evidence{Own: vouches, OtherVMs: true, Answers: []Answer{none}}, single, Single},
		{"a holder vouches", Evidence{Own: late, OtherVMs: true, Answers: []Answer{none, vouches}}, single, Single},
		{"nobody watched for long enough", Evidence{Own: late, OtherVMs: true, Answers: []Answer{none, late}}, Origin{}, Unknown},
		{"this VM saw several versions", Evidence{Own: several, OtherVMs: true, Answers: []Answer{vouches}}, Origin{}, Unknown},
		{"a holder saw several versions", Evidence{Own: vouches, OtherVMs: true, Answers: []Answer{vouches, several}}, Origin{}, Unknown},
		// Guards against a stream that goes on at another version: a VM that was out of step
		// has an old list of targets, and the others saw the versions after that alone.
		{"this VM and a holder saw different versions", Evidence{Own: oldList, OtherVMs: true, Answers: []Answer{newList}}, Origin{}, Unknown},
		{"two holders saw different versions", Evidence{Own: vouches, OtherVMs: true, Answers: []Answer{oldList, newList}}, Origin{}, Unknown},
		{"all saw the same version", Evidence{Own: oldList, OtherVMs: true, Answers: []Answer{oldList, none}}, single, Single},
		{"no other VM answered", Evidence{Own: vouches, OtherVMs: true}, Origin{}, Unknown},
		{"no other VM exists", Evidence{Own: vouches}, single, Single},
		{"no other VM exists, started lately", Evidence{Own: late}, Origin{}, Unknown},
		{"no other VM exists, no list", Evidence{}, Origin{}, Unknown},
	} {
		test.evidence.Since = since
		got, knowledge := test.evidence.Decide("ledger")
		if got != test.origin || knowledge != test.want {
			t.Errorf("%s: got %+v %v, want %+v %v", test.name, got, knowledge, test.origin, test.want)
		}
	}
}

// Guards against take-ups that cannot go on because the VMs that knew of them were killed
// together: six VMs, of which some are killed, three holders, four asked.
func TestOriginsSurviveKills(t *testing.T) {
	vms := []string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	without := func(name string) []string {
		return slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return vm == name })
	}
	for _, test := range []struct {
		killed int
		want   float64 // least share
	}{{2, 1}, {3, 1}, {4, 0.88}} {
		total, found := 0, 0
		for i := range 2000 {
			id := fmt.Sprint("request-", i)
			began, survivors := vms[i%6], Holders(fmt.Sprint("kill-", i), without(vms[i%6]), 6-test.killed)
			holders := Holders(id, without(began), 3)
			for _, asked := range survivors {
				total++
				// The VM that is asked does not know yet which of the others were killed.
				knows := append(Holders(id, without(asked), 4), asked)
				if slices.ContainsFunc(knows, func(vm string) bool { return slices.Contains(holders, vm) && slices.Contains(survivors, vm) }) {
					found++
				}
			}
		}
		got := float64(found) / float64(total)
		t.Logf("%d of 6 VMs killed: %.1f%% of the origins are known", test.killed, 100*got)
		if got < test.want {
			t.Errorf("%d of 6 VMs killed: got %.3f of the origins, want %.2f or more", test.killed, got, test.want)
		}
	}
}

// Each record must be sent once to its holder, by its time, in batches within the bound.
func TestOutboxBatches(t *testing.T) {
	outbox := NewOutbox(3)
	if _, ok := outbox.Next(); ok {
		t.Errorf("got a batch due in an empty outbox, want none")
	}
	record := func(id string) Record { return Record{RequestID: id, Origin: first, Until: at(100)} }
	for i, test := range []struct {
		holder, id string
		sendBy     int
		want       bool // whether a batch is due earlier
	}{
		{"x", "a", 5, true}, {"x", "b", 6, false}, {"y", "a", 4, true}, {"y", "c", 7, false}, {"x", "c", 7, true}, {"x", "d", 8, false},
	} {
		if got := outbox.Add(test.holder, record(test.id), at(test.sendBy)); got != test.want {
			t.Errorf("record %d: got due earlier %v, want %v", i, got, test.want)
		}
	}
	batches := func(now int) string {
		var text []string
		for _, batch := range outbox.Take(at(now)) {
			for _, record := range batch.Records {
				text = append(text, batch.Holder+record.RequestID)
			}
		}
		return strings.Join(text, " ")
	}
	for _, test := range []struct {
		now  int
		want string
	}{{3, "xa xb xc"}, {3, ""}, {4, "ya yc"}, {7, ""}, {8, "xd"}, {100, ""}} {
		if got := batches(test.now); got != test.want {
			t.Errorf("second %d: got %q, want %q", test.now, got, test.want)
		}
	}
	if _, ok := outbox.Next(); ok {
		t.Errorf("got a batch due after all were taken, want none")
	}
}
