package history

import (
	"fmt"
	"slices"
	"time"
)

// maxMixed is how many streams may hold events from targets of two software versions.
const maxMixed = 2

// checkStreams finds streams with events from targets of several software versions.
func (history *History) checkStreams() []Violation {
	software := map[string][]string{} // by stream
	var mixed []string
	var last time.Time
	for _, written := range history.Written {
		if slices.Contains(software[written.Stream], written.Software) {
			continue
		}
		software[written.Stream] = append(software[written.Stream], written.Software)
		if len(software[written.Stream]) == 2 {
			mixed, last = append(mixed, written.Stream), written.At
		}
	}
	if len(mixed) <= maxMixed {
		return nil
	}
	return []Violation{{"ORDER", last, fmt.Sprintf("%d streams hold events from targets of several software versions, allowed %d: %v", len(mixed), maxMixed, mixed)}}
}
