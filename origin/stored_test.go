package origin

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a version that leaves the log while streams may still run there: without
// the VM's list being complete, in one write, or by a late write after it was used again.
func TestSoftwareLogNext(t *testing.T) {
	logged := func(versions ...LoggedVersion) SoftwareLog { return SoftwareLog{Complete: true, Versions: versions} }
	v1, v2, v1Leaving := LoggedVersion{Version: "v1"}, LoggedVersion{Version: "v2"}, LoggedVersion{"v1", true}
	for _, test := range []struct {
		name     string
		stored   SoftwareLog
		sighting Sighting
		want     SoftwareLog
	}{
		{"new version", logged(v1), Sighting{Recent: []string{"v1", "v2"}}, logged(v1, v2)},
		{"first log of a VM that just started", SoftwareLog{}, Sighting{Recent: []string{"v1"}}, SoftwareLog{Versions: []LoggedVersion{v1}}},
		{"becomes complete", SoftwareLog{Versions: []LoggedVersion{v1}}, Sighting{Recent: []string{"v1"}, Complete: true}, logged(v1)},
		{"other VMs remove nothing", logged(v1, v2), Sighting{Recent: []string{"v2"}, Complete: true, Newer: true}, logged(v1, v2)},
		{"watched too briefly", logged(v1, v2), Sighting{Recent: []string{"v2"}, Removes: true, Newer: true}, logged(v1, v2)},
		{"marked first", logged(v1, v2), Sighting{Recent: []string{"v2"}, Complete: true, Removes: true, Newer: true}, logged(v1Leaving, v2)},
		{"list older than the mark", logged(v1Leaving, v2), Sighting{Recent: []string{"v2"}, Complete: true, Removes: true}, logged(v1Leaving, v2)},
		{"then removed", logged(v1Leaving, v2), Sighting{Recent: []string{"v2"}, Complete: true, Removes: true, Newer: true}, logged(v2)},
		{"used again", logged(v1Leaving, v2), Sighting{Recent: []string{"v1", "v2"}}, logged(v1, v2)},
	} {
		if got := test.stored.Next(test.sighting); !got.Equal(test.want) {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
	for _, test := range []struct {
		stored SoftwareLog
		seen   []string
		want   bool
	}{
		{logged(v1), []string{"v1"}, true}, {logged(v1), nil, true}, {logged(v1), []string{"v2"}, false}, {logged(v1Leaving, v2), []string{"v2"}, false},
		{SoftwareLog{Versions: []LoggedVersion{v1}}, []string{"v1"}, false}, {SoftwareLog{}, []string{"v1"}, false},
	} {
		if got := test.stored.Single(test.seen); got != test.want {
			t.Errorf("log %+v, seen %q: got single %t, want %t", test.stored, test.seen, got, test.want)
		}
	}
}

// Guards against records that are lost when a writer changes, against an older attempt
// that replaces a later one, and against objects that the store does not take.
func TestBook(t *testing.T) {
	const maxBytes = 10_000
	now := time.Unix(1000, 0)
	record := func(number, attempt int, software string) Record {
		return Record{RequestID: fmt.Sprint("request-", number), Attempt: attempt, Origin: Origin{"ledger", software}, Until: now.Add(time.Minute)}
	}
	first := NewBook(maxBytes)
	stored := map[int][]byte{}
	write := func(book *Book) {
		for index, records, ok := book.Next(now); ok; index, records, ok = book.Next(now) {
			spec, err := Encode(records, now)
			if err != nil || len(spec) > 2*maxBytes {
				t.Fatalf("got %d bytes and %v, want an object of %d at most", len(spec), err, 2*maxBytes)
			}
			stored[index] = spec
			book.RecordWrite(index)
		}
	}
	for i := range 1000 {
		first.Put(record(i, 1, "v1"), now)
	}
	write(first)
	if first.Put(record(0, 1, "v1"), now); first.Pending() {
		t.Errorf("got a write for a repeated record, want none")
	}
	second := NewBook(maxBytes) // of the next VM, which has received a later attempt
	change := second.Put(record(500, 2, "v2"), now)
	if second.Stored(change) {
		t.Errorf("got a change that is stored before its write")
	}
	for index, spec := range stored {
		records, err := Decode(spec, now)
		if err != nil {
			t.Fatal(err)
		}
		second.Merge(index, records, now)
	}
	write(second)
	if !second.Stored(change) {
		t.Errorf("got a change that is not stored after its write")
	}
	var all []Record
	for _, spec := range stored {
		records, err := Decode(spec, now)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, records...)
	}
	merged := MergeRecords(all)
	if len(merged) != 1000 {
		t.Errorf("got %d records, want 1000", len(merged))
	}
	for _, got := range merged {
		want := record(0, 1, "v1")
		if got.RequestID == "request-500" {
			want = record(0, 2, "v2")
		}
		if want.RequestID = got.RequestID; got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	if index, records, ok := second.Next(now.Add(time.Hour)); ok {
		t.Errorf("got a write of %d records in chunk %d after all have expired, want none", len(records), index)
	}
}
