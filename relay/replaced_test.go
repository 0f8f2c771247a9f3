package relay

import (
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
)

// replacedWeights implements Weights: version 3 was named at a time, version 2 long before.
type replacedWeights struct{ namedAt time.Time }

func (replacedWeights replacedWeights) Named(_ string, at time.Time) uint64 {
	if at.Before(replacedWeights.namedAt) {
		return 2
	}
	return 3
}

func (replacedWeights) Known() bool { return true }

// newReplacedRelay returns a relay with one target, whose weights were replaced at a time.
func newReplacedRelay(namedAt time.Time) *Relay {
	relay := &Relay{
		Bounds: settings.Bounds{WeightsGrace: settings.Span(6 * time.Second)}, Weights: replacedWeights{namedAt},
		Roster: roster.New("z"), Quarantine: quarantine.NewTracker(), Parts: quarantine.NewParts(), Metrics: metric.New("vm"),
	}
	old := entry("old", 1)
	old.Models = []roster.Model{{Name: "m", Weights: 2}}
	relay.Roster.Put(old, namedAt)
	relay.Configure(routing.NewTable(routing.Config{}))
	return relay
}

// promptJob returns a job whose prompt has the number of tokens, none of them shared.
func promptJob(relay *Relay, tokens int) *job {
	return &job{
		answer: &recordedAnswer{},
		relay:  relay, route: &routing.Route{Name: "sum"}, service: &routing.Service{Name: "notes", Engines: true},
		request: &Request{Prompt: &Prompt{Model: "m", Input: tokens, Parts: []Part{{ID: "p", Tokens: tokens}}}},
	}
}

// A request uses a version from its first token on, so the bound on replaced weights
// applies to the time at which its prompt and those before it have been processed.
func TestReplacedWeightsAreUsedOnlyUntilFirstTokenWouldBeLate(t *testing.T) {
	const long, short = 54_600, 200
	cases := []struct {
		name   string
		ahead  int // tokens of a prompt that the target got before
		tokens int
		after  time.Duration // since the naming
		want   bool
	}{
		{name: "short prompt", tokens: short, after: 4900 * time.Millisecond, want: true},
		{name: "short prompt late", tokens: short, after: 5100 * time.Millisecond},
		{name: "long prompt early", tokens: long, after: 3900 * time.Millisecond, want: true},
		{name: "long prompt", tokens: long, after: 4100 * time.Millisecond},
		{name: "short prompt early behind a long one", ahead: long, tokens: short, after: 3900 * time.Millisecond, want: true},
		{name: "short prompt behind a long one", ahead: long, tokens: short, after: 4100 * time.Millisecond},
		{name: "long prompt behind a long one", ahead: long, tokens: long, after: 3200 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			namedAt := time.Now()
			relay := newReplacedRelay(namedAt)
			if test.ahead > 0 {
				if _, ok := relay.Roster.Choose(promptJob(relay, test.ahead).criteria(namedAt), namedAt); !ok {
					t.Fatal("got no target for the prompt ahead, want the target")
				}
			}
			now := namedAt.Add(test.after)
			if _, got := relay.Roster.Choose(promptJob(relay, test.tokens).criteria(now), now); got != test.want {
				t.Errorf("target with replaced weights chosen: got %t, want %t", got, test.want)
			}
		})
	}
}
