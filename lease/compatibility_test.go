package lease

import (
	"encoding/json"
	"testing"
)

// Guards against a lease that VMs of the landed build and of this one read differently
// while they are replaced: two holders would give orders.
func TestLandedLeaseIsReadAndWritten(t *testing.T) {
	const landed = `{"holder":"vm-1@127.0.0.8","boot":"b1","token":7,"renewals":12}`
	var spec Spec
	if err := json.Unmarshal([]byte(landed), &spec); err != nil {
		t.Fatal(err)
	}
	if want := (Spec{Holder: "vm-1@127.0.0.8", Boot: "b1", Token: 7, Renewals: 12}); spec != want {
		t.Errorf("got %+v, want %+v", spec, want)
	}
	if got, _ := json.Marshal(spec); string(got) != landed {
		t.Errorf("got %s, want %s", got, landed)
	}
}
