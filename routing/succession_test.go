package routing

import (
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

// Guards against LOST: a request that was sent under one version of the configuration and
// arrives under the next one ends at a timeout that did not bind it.
func TestLongerTimeoutBindsRequestsAroundAChange(t *testing.T) {
	const overlap = settings.Span(time.Second)
	version := func(timeout time.Duration, prefixes ...string) *Table {
		routes := []Route{{Host: "notes.example", Prefix: "/", Timeout: settings.Span(time.Hour)}}
		for _, prefix := range prefixes {
			routes = append(routes, Route{Host: "Notes.example", Prefix: prefix, Timeout: settings.Span(timeout)})
		}
		return NewTable(Config{Routes: routes})
	}
	const rounds, today = "/rounds/", "/rounds/today/"
	for _, test := range []struct {
		name     string
		versions []*Table      // each is put in force half of the overlap after the one before
		arrived  time.Duration // after the last version was put in force
		want     time.Duration
	}{
		{"first version", []*Table{version(3, rounds)}, 0, 3},
		{"lowered", []*Table{version(3, rounds), version(2, rounds)}, 0, 3},
		{"lowered while the body arrives", []*Table{version(3, rounds), version(2, rounds)}, -1, 3},
		{"lowered within the overlap", []*Table{version(3, rounds), version(2, rounds)}, time.Second - 1, 3},
		{"lowered before the overlap", []*Table{version(3, rounds), version(2, rounds)}, time.Second, 2},
		{"raised", []*Table{version(3, rounds), version(4, rounds)}, 0, 4},
		{"lowered twice", []*Table{version(4, rounds), version(3, rounds), version(2, rounds)}, time.Second/2 - 1, 4},
		{"first of two before the overlap", []*Table{version(4, rounds), version(3, rounds), version(2, rounds)}, time.Second / 2, 3},
		{"lowered and raised again", []*Table{version(4, rounds), version(2, rounds), version(3, rounds)}, 0, 4},
		{"without a limit before", []*Table{version(0, rounds), version(2, rounds)}, 0, 0},
		{"without a limit now", []*Table{version(2, rounds), version(0, rounds)}, 0, 0},
		{"split off", []*Table{version(3, rounds), version(2, rounds, today)}, 0, 3},
		{"new host", []*Table{NewTable(Config{}), version(2, rounds)}, 0, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			var table *Table
			for _, next := range test.versions {
				now = now.Add(time.Duration(overlap) / 2)
				next.Succeed(table, now, overlap)
				table = next
			}
			got := time.Duration(table.Match("notes.example", today).TimeoutFor(now.Add(test.arrived), overlap))
			if got != test.want {
				t.Errorf("got a timeout of %d, want %d", got, test.want)
			}
		})
	}
}
