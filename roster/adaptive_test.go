package roster

import "testing"

// Guards against deployments that ask for nothing new being served differently, and
// against services that share the switch of another one.
func TestAdaptiveOnlyWhereAsked(t *testing.T) {
	roster := New("z")
	for _, service := range []string{"notes", "app"} {
		roster.Put(Entry{ID: "i-" + service, Service: service}, start)
	}
	report := func(service string, workTime float64) {
		assignment, _ := roster.Choose(Criteria{Service: service}, start)
		assignment.Answered(Load{Slots: 8, WorkTime: workTime}, true, start)
		assignment.End()
	}
	report("notes", 0)
	if roster.Adaptive("notes") {
		t.Error("got adaptive without a figure or a setting, want not")
	}
	report("notes", 1.7)
	if !roster.Adaptive("notes") || roster.Adaptive("app") {
		t.Errorf("got adaptive %v and %v after a figure of one service, want that service alone", roster.Adaptive("notes"), roster.Adaptive("app"))
	}
	roster.SetMemoryPressure(true)
	if !roster.Adaptive("app") {
		t.Error("got not adaptive under memory pressure, want adaptive")
	}
	if got := roster.Capacity("notes", start); got.Slots != 8 || got.Targets != 1 {
		t.Errorf("got %+v, want one target of 8 slots", got)
	}
}
