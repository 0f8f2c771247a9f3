package capacity

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// prompts lets a target answer prompts of 3,000 tokens, one every interval until the
// end, each taking the factor of the usual time with up to 30 % of noise.
func prompts(target *Target, from, until time.Time, interval time.Duration, factor float64, random *rand.Rand) {
	for now := from; now.Before(until); now = now.Add(interval) {
		work := PromptWork(3000)
		took := time.Duration(float64(work) * factor * (0.7 + 0.6*random.Float64()))
		prompt := target.BeginPrompt(work, now.Add(-took))
		target.EndPrompt(prompt, true, now)
	}
}

// Guards against estimates that keep an old speed for longer than 2 s, that swing with
// noise, or that keep a target slow for good once it gets nothing.
func TestSlownessFollowsAndIsSteady(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, test := range []struct {
		name          string
		before, after float64
	}{
		{"slower", 1, 3}, {"faster", 3, 0.7}, {"unchanged", 1.7, 1.7},
	} {
		t.Run(test.name, func(t *testing.T) {
			var target Target
			change := start.Add(10 * time.Second)
			prompts(&target, start, change, 150*time.Millisecond, test.before, random)
			if got := target.Slowness(1, change); got < 0.75*test.before || got > 1.25*test.before {
				t.Errorf("got %.2f before the change, want %.2f", got, test.before)
			}
			end := change.Add(2 * time.Second)
			prompts(&target, change, end, 150*time.Millisecond, test.after, random)
			if got := target.Slowness(1, end); got < 0.75*test.after || got > 1.3*test.after {
				t.Errorf("got %.2f after 2 s, want %.2f", got, test.after)
			}
			if got := target.Slowness(1, end.Add(8*time.Second)); got > 1.2 {
				t.Errorf("got %.2f after 8 s without a sample, want the usual, so that the target is tried again", got)
			}
		})
	}
}

// Guards against a target that stands still and looks as fast as before, because no
// first event tells that it is slow.
func TestPendingPromptRaisesSlowness(t *testing.T) {
	var target Target
	prompts(&target, start, start.Add(time.Second), 100*time.Millisecond, 1, rand.New(rand.NewPCG(1, 2)))
	now := start.Add(time.Second)
	prompt := target.BeginPrompt(PromptWork(3000), now)
	late := now.Add(5 * PromptWork(3000))
	if got := target.Slowness(1, late); got < 3 {
		t.Errorf("got %.2f with a prompt pending for 5 times as long as expected, want 3 or more", got)
	}
	for range 4 { // callers leave; none is answered for 2 s
		target.EndPrompt(prompt, false, late)
		prompt, late = target.BeginPrompt(PromptWork(3000), late), late.Add(5*PromptWork(3000))
	}
	target.EndPrompt(prompt, false, late)
	if got := target.Slowness(1, late); got < 2 {
		t.Errorf("got %.2f after prompts were abandoned for 2 s, want 2 or more", got)
	}
}

// Guards against the fourth figure being ignored, counted twice with what it explains,
// or trusted long after it was reported.
func TestWorkTime(t *testing.T) {
	var target Target
	random := rand.New(rand.NewPCG(3, 4))
	now := start
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		target.ObserveWorkTime(1.4+1.2*random.Float64(), now) // 2 in the mean
		prompts(&target, now, now.Add(time.Millisecond), time.Second, 2, random)
	}
	if got := target.Slowness(1, now); got < 1.4 || got > 2.6 {
		t.Errorf("got %.2f with a work time of 2 that explains all, want 2", got)
	}
	if got := target.Slowness(1, now.Add(8*time.Second)); got > 1.2 {
		t.Errorf("got %.2f for a figure 8 s old, want the usual", got)
	}
}

// Guards against a target being loaded beyond the number of requests at which its steps
// become slow, and against VMs that begin without what others know.
func TestStepsAndSharedSamples(t *testing.T) {
	var target Target
	now := start
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		running := i % 40
		gap := 3 * time.Millisecond
		if running >= 24 {
			gap = 9 * time.Millisecond
		}
		target.ObserveGap(running, gap, now)
	}
	if got := target.Knee(); got != 24 {
		t.Errorf("got a knee at %d requests, want 24", got)
	}
	if low, high := target.StepTime(8, 1, now), target.StepTime(36, 1, now); low > 5*time.Millisecond || high < 7*time.Millisecond {
		t.Errorf("got steps of %v and %v, want about 3 ms and 9 ms", low, high)
	}
	prompts(&target, now, now.Add(time.Second), 50*time.Millisecond, 2, rand.New(rand.NewPCG(5, 6)))
	now = now.Add(time.Second)
	var fresh Target
	for range 3 { // heartbeats repeat what they say
		fresh.Merge("vm-1", target.Own(now), now)
	}
	if got := fresh.Slowness(1, now); got < 1.6 || got > 2.4 {
		t.Errorf("got %.2f at a VM that has just started, want 2", got)
	}
}
