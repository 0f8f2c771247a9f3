package history

import (
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

func TestCheckAccounts(t *testing.T) {
	version := func(seconds float64, isolated, keys []string) Accounts {
		return Accounts{Written: at(seconds), Confirmed: at(seconds + 0.1), Isolated: isolated, Keys: keys}
	}
	isolates := []Accounts{version(0, nil, []string{"ka", "kb"}), version(10, []string{"a"}, []string{"ka", "kb"})}
	empties := []Accounts{version(0, nil, []string{"ka"}), version(10, nil, nil)}
	inTurn := []Accounts{version(0, []string{"a"}, nil), version(10, []string{"b"}, nil), version(11, nil, nil)}
	use := func(seconds float64) []CacheUse {
		return []CacheUse{{Request: "r", Account: "b", Maker: "a", VM: "vm", At: at(seconds)}}
	}
	sent := func(key string, seconds, arrived float64) []Arrival {
		return []Arrival{{Request: "r", Target: "t", VM: "vm", Key: key, Sent: at(seconds), At: at(arrived)}}
	}
	for _, test := range []struct {
		name     string
		accounts []Accounts
		uses     []CacheUse
		arrivals []Arrival
		inTouch  bool
		want     string
	}{
		{"shared", isolates, use(5), nil, true, ""},
		{"used before all VMs must know of the isolation", isolates, use(12), nil, true, ""},
		{"used after that", isolates, use(12.2), nil, true, "WALL"},
		{"used after that through a VM out of touch", isolates, use(12.2), nil, false, ""},
		{"used by the account itself", isolates, []CacheUse{{Account: "a", Maker: "a", VM: "vm", At: at(20)}}, nil, true, ""},
		{"one of them isolated in each version that may be in force", inTurn, use(10.5), nil, true, "WALL"},
		{"shared in the version that is about to be in force", inTurn, use(11.05), nil, true, ""},
		{"key held", empties, nil, sent("ka", 5, 5), true, ""},
		{"sent before all VMs must know that the key is gone", empties, nil, sent("ka", 12, 13), true, ""},
		{"sent after that", empties, nil, sent("ka", 12.2, 13), true, "CONFIG"},
		{"sent after that through a VM out of touch", empties, nil, sent("ka", 12.2, 13), false, ""},
		{"key of nobody", empties, nil, sent("kx", 5, 5), true, "ROUTE"},
		{"key of nobody through a VM out of touch", empties, nil, sent("kx", 20, 20), false, "ROUTE"},
		{"unknown sender", empties, nil, sent("", 20, 20), true, ""},
	} {
		history := &History{
			Accounts: test.accounts, CacheUses: test.uses, Arrivals: test.arrivals, Bounds: Bounds{Configuration: settings.Span(2 * time.Second)},
			Excused: func(string, time.Time, time.Time) bool { return false }, InTouch: func(string, time.Time) bool { return test.inTouch },
		}
		got := ""
		if violations := history.Check(); len(violations) > 0 {
			got = violations[0].Rule
		}
		if got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}
