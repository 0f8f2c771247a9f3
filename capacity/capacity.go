// Package capacity learns what one target takes well: how long it takes for a prompt
// token, how long for a step by the number of requests that run there, and from which
// number on its steps are slow.
//
// Times are learned as factors of usual times, Slowness: at a target with a slowness of
// 2 all work takes twice as long as the constants of this package say. Samples lose
// their weight within seconds. What is unknown, or was known long ago, is as usual, so
// that a target gets the requests that show whether it is still slow. A target may
// report how long work takes there; samples are freed of what that report explains.
//
// The package does no I/O and takes the time as an argument. Its types are not safe for
// concurrent use.
//
// # Usage
//
//	var target capacity.Target
//	prompt := target.BeginPrompt(capacity.PromptWork(tokens), now)
//	...
//	target.EndPrompt(prompt, true, now) // at the first event
//	target.ObserveGap(running, gap, now)
//	slowness := target.Slowness(usual, now)
package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// PromptTokenTime is the usual time to process one prompt token while the target
	// also generates other answers.
	PromptTokenTime = 18 * time.Microsecond
	// baseWork is the usual time to the first event beside the prompt.
	baseWork = 10 * time.Millisecond
	// stepTime and runningStepTime are the usual time of a step and what each running
	// request adds to it.
	stepTime        = 3 * time.Millisecond
	runningStepTime = 300 * time.Microsecond

	// sampleDecayTime is the time constant with which samples lose their weight: an
	// estimate has to follow a change within 2 s.
	sampleDecayTime = 700 * time.Millisecond
	// usualWeight is the weight, in seconds of work, of the usual time: about that of
	// one short prompt.
	usualWeight = 0.05
	// lateTolerance, in seconds, is how much later than usual a pending prompt may be
	// because of the network.
	lateTolerance = 0.02
	// maxSample is the largest factor by which one sample may exceed the estimate: a
	// prompt whose shared parts are not cached says little about the speed.
	maxSample = 4
	// minSlowness and maxSlowness bound estimates: a wrong one must not take a target
	// out of use.
	minSlowness = 1.0 / 8
	maxSlowness = 32
)

// PromptWork returns the usual time to the first event after a number of prompt tokens.
func PromptWork(tokens int) time.Duration {
	return baseWork + time.Duration(max(0, tokens))*PromptTokenTime
}

// Samples are the sums of recent samples, as of a time. Older samples weigh less.
type Samples struct {
	// Usual is how long the work would usually have taken, Took how long it took, freed
	// of the target's work time; both in seconds.
	Usual float64
	Took  float64
	At    time.Time
}

// at returns the sums as of a later time.
func (samples Samples) at(now time.Time) Samples {
	if elapsed := now.Sub(samples.At); elapsed > 0 {
		remaining := math.Exp(-elapsed.Seconds() / sampleDecayTime.Seconds())
		samples.Usual, samples.Took, samples.At = samples.Usual*remaining, samples.Took*remaining, now
	}
	return samples
}

// add returns the sums together, as of the later time.
func (samples Samples) add(others Samples) Samples {
	if others.At.After(samples.At) {
		samples, others = others, samples
	}
	others = others.at(samples.At)
	samples.Usual, samples.Took = samples.Usual+others.Usual, samples.Took+others.Took
	return samples
}

// Target holds the estimates of one target. The zero value knows nothing.
type Target struct {
	own Samples
	// peers are the samples of other VMs by VM, merged their sum.
	peers  map[string]Samples
	merged Samples
	// pending are the prompts of this VM that are not processed yet, oldest first.
	pending []*Prompt
	work    workTime
	steps   steps
}

// Prompt is a prompt that a target has not processed yet.
type Prompt struct {
	usual float64 // seconds, with the work before it
	begun time.Time
}

// BeginPrompt records that a prompt was sent that usually is processed after the given
// time, including the work that the target does first.
func (target *Target) BeginPrompt(usual time.Duration, now time.Time) *Prompt {
	prompt := &Prompt{usual: usual.Seconds(), begun: now}
	target.pending = append(target.pending, prompt)
	return prompt
}

// EndPrompt records that a prompt was processed or, if it was not, that it is no longer
// waited for. A prompt that was given up early says nothing.
func (target *Target) EndPrompt(prompt *Prompt, processed bool, now time.Time) {
	index := slices.Index(target.pending, prompt)
	if index < 0 {
		return
	}
	target.pending = slices.Delete(target.pending, index, index+1)
	took := now.Sub(prompt.begun).Seconds() / target.work.at(now)
	known := target.learned(1, now)
	if took < 0 || !processed && took <= known*prompt.usual {
		return
	}
	took = min(took, maxSample*max(1, known)*prompt.usual)
	target.own = target.own.add(Samples{Usual: prompt.usual, Took: took, At: now})
}

// Withdraw records that a prompt was not sent after all.
func (target *Target) Withdraw(prompt *Prompt) {
	target.pending = slices.DeleteFunc(target.pending, func(pending *Prompt) bool { return pending == prompt })
}

// Own returns the samples of this VM, to be sent to other VMs. The oldest pending prompt
// counts as a sample if it is late.
func (target *Target) Own(now time.Time) Samples {
	own := target.own.at(now)
	own.At = now
	if len(target.pending) == 0 {
		return own
	}
	oldest := target.pending[0]
	took := now.Sub(oldest.begun).Seconds() / target.work.at(now)
	if took > target.learned(1, now)*oldest.usual {
		own.Usual, own.Took = own.Usual+oldest.usual, own.Took+min(took, maxSlowness*oldest.usual)
	}
	return own
}

// Merge replaces the samples of another VM.
func (target *Target) Merge(vm string, samples Samples, now time.Time) {
	if !(samples.Usual > 0) || !(samples.Took >= 0) || math.IsInf(samples.Usual, 0) || math.IsInf(samples.Took, 0) {
		return
	}
	if known, ok := target.peers[vm]; ok && !samples.At.After(known.At) {
		return
	}
	if target.peers == nil {
		target.peers = map[string]Samples{}
	}
	target.peers[vm] = samples
	target.merged = Samples{At: now}
	for name, known := range target.peers {
		if now.Sub(known.At) > 8*sampleDecayTime {
			delete(target.peers, name) // without weight
			continue
		}
		target.merged = target.merged.add(known)
	}
}

// learned returns the slowness that the samples show, freed of the reported work time.
func (target *Target) learned(usual float64, now time.Time) float64 {
	sum := target.own.at(now).add(target.merged.at(now))
	return (usualWeight*usual + sum.Took) / (usualWeight + sum.Usual)
}

// Learned returns the slowness freed of the target's reported work time, and whether
// enough samples show it.
func (target *Target) Learned(now time.Time) (slowness float64, known bool) {
	sum := target.own.at(now).add(target.merged.at(now))
	return target.learned(1, now), sum.Usual > usualWeight
}

// Slowness returns how long work takes at the target now, as a factor of the usual
// time. The argument is the factor for targets of which nothing is known.
func (target *Target) Slowness(usual float64, now time.Time) float64 {
	learned := target.learned(usual, now)
	if len(target.pending) > 0 { // it is at least as slow as the oldest prompt shows
		oldest := target.pending[0]
		late := now.Sub(oldest.begun).Seconds() / target.work.at(now)
		learned = max(learned, late/(oldest.usual+lateTolerance))
	}
	return max(minSlowness, min(maxSlowness, learned*target.work.at(now)))
}

// ObserveWorkTime records the factor of the usual time that the target reports.
func (target *Target) ObserveWorkTime(factor float64, at time.Time) {
	target.work.observe(factor, at)
}

// WorkTime returns the factor that the target reports, averaged over the last moments;
// 1 if it reports none.
func (target *Target) WorkTime(now time.Time) float64 {
	return target.work.at(now)
}

// ObserveGap records the time between two events while a number of requests ran.
func (target *Target) ObserveGap(running int, gap time.Duration, now time.Time) {
	target.steps.observe(running, gap.Seconds()/target.work.at(now), now)
}

// StepTime returns the time between two events of an answer while a number of requests
// run. The argument usual is as for Slowness.
func (target *Target) StepTime(running int, usual float64, now time.Time) time.Duration {
	seconds := target.steps.at(running, usual, now) * target.work.at(now)
	return time.Duration(seconds * float64(time.Second))
}

// Knee returns the number of running requests from which steps take much longer than at
// the least load that was seen lately; 0 if they do not.
func (target *Target) Knee() int {
	return target.steps.knee()
}
