package membership

import "time"

// Silence notices VMs that are no longer heard, and those that are again. It is
// used by one goroutine.
type Silence struct {
	silent map[string]bool
}

// Note returns the names of the VMs that were lost and heard again since the last
// call. A VM is lost when it was heard once and then not for as long as from is
// before now.
func (silence *Silence) Note(views []View, from, now time.Time) (lost, heard []string) {
	if silence.silent == nil {
		silence.silent = map[string]bool{}
	}
	limit := now.Sub(from).Milliseconds()
	for _, view := range views {
		silent := view.HeardMS > limit
		switch {
		case silent && !silence.silent[view.Name]:
			lost = append(lost, view.Name)
		case !silent && silence.silent[view.Name]:
			heard = append(heard, view.Name)
		}
		silence.silent[view.Name] = silent
	}
	return lost, heard
}
