package explain

import (
	"errors"
	"strings"
	"testing"
)

const logs = `   2.100 edge-b {"event":901,"event_name":"request_refused","level":"info","msg":"ended","request":"r1","code":"target_failed","runs":2,"time":"t3","vm":"edge-b"}
not a log line that names r1
   1.900 edge-a {"event":301,"event_name":"platform_down","level":"warning","msg":"down","time":"t2","vm":"edge-a"}
   1.500 edge-a {"event":902,"event_name":"attempt_failed","level":"info","msg":"failed","request":"r1","target":"i-7","time":"t1","vm":"edge-a"}
   1.600 edge-a {"event":902,"event_name":"attempt_failed","level":"info","msg":"failed","request":"r11","time":"t1","vm":"edge-a"}
{"broken":"r1"
`

func TestReadOrdersLinesOfRequest(t *testing.T) {
	timeline, err := Read(strings.NewReader(logs), "r1")
	if err != nil {
		t.Fatal(err)
	}
	if len(timeline) != 2 || timeline[0].Event != "attempt_failed" || timeline[1].VM != "edge-b" {
		t.Fatalf("got %+v, want the two lines of r1 in order", timeline)
	}
	const want = "1.500  edge-a  attempt_failed: failed\n        target=i-7\n2.100  edge-b  request_refused: ended\n        code=target_failed  runs=2\n"
	if got := timeline.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

func TestReadUnknownRequest(t *testing.T) {
	if _, err := Read(strings.NewReader(logs), "r2"); !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v, want %v", err, ErrNotFound)
	}
}

func TestReadOrdersLinesWithoutPrefixByTime(t *testing.T) {
	const plain = `{"event_name":"b","request":"r","time":"2026-01-02T00:00:02Z"}` + "\n" + `{"event_name":"a","request":"r","time":"2026-01-02T00:00:01Z"}` + "\n"
	timeline, err := Read(strings.NewReader(plain), "r")
	if err != nil || timeline[0].Event != "a" {
		t.Errorf("got %+v, %v, want the earlier line first", timeline, err)
	}
}

// Guards against timelines that lack the cause of a refusal: the state of the VM
// that caused it was logged before the request arrived.
func TestReadIncludesEarlierVMState(t *testing.T) {
	const logs = `
   0.050 edge-a {"event_name":"platform_down","msg":"down","vm":"edge-a"}
   0.100 edge-a {"event_name":"started","msg":"serves","vm":"edge-a"}
   0.200 edge-a {"event_name":"config_applied","msg":"in force","version":1,"vm":"edge-a"}
   0.300 edge-a {"event_name":"config_applied","msg":"in force","version":2,"vm":"edge-a"}
   0.400 edge-b {"event_name":"config_applied","msg":"in force","version":9,"vm":"edge-b"}
   0.500 edge-a {"event_name":"request_refused","msg":"ended","request":"r1","vm":"edge-a"}
   0.600 edge-a {"event_name":"config_applied","msg":"in force","version":3,"vm":"edge-a"}
`
	timeline, err := Read(strings.NewReader(logs), "r1")
	if err != nil {
		t.Fatal(err)
	}
	const want = "0.100  edge-a  (before) started: serves\n0.300  edge-a  (before) config_applied: in force\n        version=2\n0.500  edge-a  request_refused: ended\n"
	if got := timeline.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
