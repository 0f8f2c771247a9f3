package target

import (
	"strings"
	"testing"
	"time"
)

var now = time.Unix(1_700_000_000, 0)

func TestParseRest(t *testing.T) {
	for _, test := range []struct {
		name    string
		values  []string
		want    time.Duration
		problem bool
	}{
		{"no header", nil, 0, false},
		{"seconds", []string{"2"}, 2 * time.Second, false},
		{"fraction", []string{"0.25"}, 250 * time.Millisecond, false},
		{"spaces", []string{" 3 "}, 3 * time.Second, false},
		{"longest of several", []string{"1", "4", "2"}, 4 * time.Second, false},
		{"valid beside invalid", []string{"soon", "1"}, time.Second, true},
		{"zero", []string{"0"}, 0, true},
		{"negative", []string{"-3"}, 0, true},
		{"date", []string{"Fri, 04 Dec 2026 10:10:18 GMT"}, 0, true},
		{"empty", []string{""}, 0, true},
		{"text", []string{"soon"}, 0, true},
		{"point alone", []string{"."}, 0, true},
		{"two points", []string{"1.2.3"}, 0, true},
		{"list", []string{"1, 2"}, 0, true},
		{"NaN", []string{"NaN"}, 0, true},
		{"infinite", []string{"+Inf"}, 0, true},
		{"exponent", []string{"1e9"}, 0, true},
		{"maximum", []string{"60"}, time.Minute, false},
		{"too long", []string{"86400"}, time.Minute, true},
		{"out of range", []string{strings.Repeat("9", 400)}, time.Minute, true},
	} {
		until, problem := ParseRest(test.values, now)
		want := time.Time{}
		if test.want > 0 {
			want = now.Add(test.want)
		}
		if !until.Equal(want) || (problem != "") != test.problem {
			t.Errorf("%s: got %v and problem %q, want %v", test.name, until.Sub(now), problem, test.want)
		}
		if quoted := maxLoggedValue + 2; len(problem) > quoted {
			t.Errorf("%s: got a problem of %d bytes, want at most %d", test.name, len(problem), quoted)
		}
	}
}

func FuzzParseRest(f *testing.F) {
	for _, seed := range []string{"1", "0.5", "-1", "1e400", "NaN", "99999999999999999999", ".", "Fri, 04 Dec 2026 10:10:18 GMT"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		until, _ := ParseRest([]string{value}, now)
		if !until.IsZero() && (until.Before(now) || until.After(now.Add(maxRest))) {
			t.Errorf("got a rest of %v from %q, want one within the maximum", until.Sub(now), value)
		}
	})
}
