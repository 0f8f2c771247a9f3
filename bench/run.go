package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/refusal"
)

// Load is what callers do.
type Load struct {
	// Rate is requests a second, with exponential gaps.
	Rate float64
	// Until ends the load.
	Until time.Time
	Seed  uint64
	// Excess, if set, is an account that sends this many further requests a
	// second from the burst's start to its end.
	Excess      string
	ExcessRate  float64
	ExcessFrom  time.Time
	ExcessUntil time.Time
	// ShiftAt moves the popular contexts.
	ShiftAt time.Time
	// NewDayAt makes all contexts new, as notes of a new shift are.
	NewContextsAt time.Time
	// OneVM sends everything to the first VM.
	OneVM bool
	// SignOffs is calls a second to the service that may run a call once only.
	SignOffs float64
}

// Result is what a run measured.
type Result struct {
	Scenario      string  `json:"scenario"`
	Policy        string  `json:"policy"`
	Seed          uint64  `json:"seed"`
	Requests      int     `json:"requests"`
	Answered      int     `json:"answered"`
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	P50           float64 `json:"ttft_p50_ms"`
	P95           float64 `json:"ttft_p95_ms"`
	P99           float64 `json:"ttft_p99_ms"`
	// Computed is the prompt tokens that engines computed; Recomputed, known when
	// the oracle ran the same scenario, is what it would have saved of them.
	Computed         int64   `json:"computed_tokens"`
	Recomputed       *int64  `json:"recomputed_tokens,omitempty"`
	WorstAccount     string  `json:"worst_account"`
	WorstShare       float64 `json:"worst_account_share"`
	WrongfulRefusals int     `json:"wrongful_refusals"`
	WithinRate       int     `json:"requests_within_rate"`
	BrokenPromises   int     `json:"broken_promises"`
	ControlBytes     float64 `json:"control_bytes_per_second_per_vm"`
	PlatformCalls    float64 `json:"platform_calls_per_second"`
	Refusals         string  `json:"refusals"`
	Broken           string  `json:"broken,omitempty"`
}

// run is one run of a load.
type run struct {
	fleet    *Fleet
	load     Load
	callers  *Callers
	recorder *recorder
	group    sync.WaitGroup

	mu           sync.Mutex // guards next and the list of VMs in service
	nextVM       int
	outOfService map[*VM]bool // not behind the balancer now
}

// Run sends the load and waits for all answers.
func (fleet *Fleet) Run(ctx context.Context, load Load, faults []Fault) Result {
	started := time.Now()
	run := &run{fleet: fleet, load: load, callers: NewCallers(), recorder: newRecorder(fleet.Layout, started), outOfService: map[*VM]bool{}}
	before := fleet.counters()
	run.group.Go(func() { run.runLoad(ctx) })
	run.group.Go(func() { run.runFaults(ctx, faults, started) })
	if load.SignOffs > 0 {
		run.group.Go(func() { run.runSignOffs(ctx) })
	}
	run.group.Wait()
	run.callers.Close()
	run.recorder.checkLimits(time.Now())
	run.checkTargets()
	return run.result(before, time.Since(started))
}

func (run *run) runLoad(ctx context.Context) {
	prompts := newPrompts(run.fleet.Layout, run.load.Seed)
	random := rand.New(rand.NewPCG(run.load.Seed, 2))
	at := time.Now()
	shifted := false
	for at.Before(run.load.Until) && ctx.Err() == nil {
		rate := run.load.Rate
		excess := run.load.Excess != "" && at.After(run.load.ExcessFrom) && at.Before(run.load.ExcessUntil)
		if excess {
			rate += run.load.ExcessRate
		}
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if !run.load.ShiftAt.IsZero() && at.After(run.load.ShiftAt) && !shifted {
			shifted = true
			prompts.popularityOffset = 3
		}
		if !run.load.NewContextsAt.IsZero() && at.After(run.load.NewContextsAt) {
			prompts.generation = 1
		}
		var account *Account
		if excess && random.Float64() < run.load.ExcessRate/rate {
			account = run.accountNamed(run.load.Excess)
		}
		sent := prompts.newRequest(account, random.IntN(4) > 0)
		time.Sleep(time.Until(at))
		run.group.Go(func() { run.send(ctx, sent) })
	}
}

func (run *run) accountNamed(name string) *Account {
	for i := range run.fleet.Layout.Accounts {
		if run.fleet.Layout.Accounts[i].Name == name {
			return &run.fleet.Layout.Accounts[i]
		}
	}
	return nil
}

// pick is the platform's balancer: the VMs in service in turn.
func (run *run) pickAddress() netip.AddrPort {
	run.mu.Lock()
	defer run.mu.Unlock()
	vms := run.fleet.VMs
	if run.load.OneVM {
		return vms[0].Settings.Caller.Address
	}
	for range vms {
		run.nextVM++
		if vm := vms[run.nextVM%len(vms)]; !run.outOfService[vm] {
			return vm.Settings.Caller.Address
		}
	}
	return vms[0].Settings.Caller.Address
}

// setOut takes a VM out of the balancer or puts it back.
func (run *run) setOutOfService(vm *VM, outOfService bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.outOfService[vm] = outOfService
}

func (run *run) send(ctx context.Context, sent request) {
	withinRate := run.recorder.recordStart(sent, time.Now())
	got := run.callers.Send(run.pickAddress(), sent.account.Key, completion.Chat.Path(), sent.body, "")
	run.recorder.recordEnd(sent, got, withinRate, time.Now())
}

// runSignOffs sends calls that may run once, some of them twice at once through
// different VMs.
func (run *run) runSignOffs(ctx context.Context) {
	account := run.fleet.Layout.Accounts[0]
	gap := time.Duration(float64(time.Second) / run.load.SignOffs)
	for i := 0; time.Now().Before(run.load.Until) && ctx.Err() == nil; i++ {
		body := fmt.Appendf(nil, `{"sign_off":%d}`, i)
		key := fmt.Sprintf("sign-off-%d", i)
		for range 1 + i%2 {
			run.group.Go(func() {
				run.callers.Send(run.pickAddress(), account.Key, "/signoffs/day", body, key)
			})
		}
		time.Sleep(gap)
	}
}

// checkTargets finds promises that only targets can tell of.
func (run *run) checkTargets() {
	run.recorder.mu.Lock()
	defer run.recorder.mu.Unlock()
	for _, service := range run.fleet.Services {
		if service.Name == "signoffs" && service.MaxRuns() > 1 {
			run.recorder.violations = append(run.recorder.violations, "a sign-off ran more than once")
		}
		if service.SeenKeys.Load() > 0 {
			run.recorder.violations = append(run.recorder.violations, "a service saw a caller's key")
		}
	}
	for _, engine := range run.fleet.Engines {
		if engine.SeenKeys.Load() > 0 {
			run.recorder.violations = append(run.recorder.violations, "an engine saw a caller's key")
		}
	}
}

// counters are the fleet's counters at one moment.
type counters struct {
	cachedTokens, prefilledTokens int64
	controlBytes, platformCalls   int64
	processor                     time.Duration
}

func (fleet *Fleet) counters() counters {
	var now counters
	for _, engine := range fleet.Engines {
		now.cachedTokens += engine.Hit.Load()
		now.prefilledTokens += engine.Prefilled.Load()
	}
	for _, vm := range fleet.VMs {
		now.controlBytes += vm.Router.ControlBytes()
	}
	now.platformCalls = fleet.Platform.Calls()
	now.processor = processorTime()
	return now
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (run *run) result(before counters, took time.Duration) Result {
	after := run.fleet.counters()
	recorder := run.recorder
	worst, share := recorder.worstShare()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	quantile := func(percent float64) float64 { return float64(recorder.firstToken.ValueAtQuantile(percent)) / 1000 }
	result := Result{
		Seed: run.load.Seed, Requests: recorder.requests, Answered: recorder.answered,
		P50: quantile(50), P95: quantile(95), P99: quantile(99),
		WorstAccount: worst, WorstShare: share,
		WrongfulRefusals: recorder.wrongfulRefusals, WithinRate: recorder.withinRate, BrokenPromises: len(recorder.violations),
		Computed:     after.prefilledTokens - before.prefilledTokens,
		ControlBytes: float64(max(0, after.controlBytes-before.controlBytes)) / took.Seconds() / float64(len(run.fleet.VMs)),
		// What the load itself asks of the platform is in it.
		PlatformCalls: float64(after.platformCalls-before.platformCalls) / took.Seconds(),
		Refusals:      refusalText(recorder.refusals),
	}
	if hit, all := after.cachedTokens-before.cachedTokens, after.cachedTokens-before.cachedTokens+after.prefilledTokens-before.prefilledTokens; all > 0 {
		result.PrefixHitRate = float64(hit) / float64(all)
	}
	if len(recorder.violations) > 0 {
		result.Broken = recorder.violations[0]
	}
	return result
}

func refusalText(refusals map[refusal.Code]int) string {
	text := ""
	for _, code := range []refusal.Code{
		refusal.RateLimited, refusal.QueueDeadline, refusal.NoTarget, refusal.TargetFailed, refusal.StreamInterrupted, refusal.Isolated,
		refusal.NotReady, refusal.DeadlineExceeded, refusal.Quarantined, refusal.OutcomeUnknown, refusal.PlatformUnavailable, refusal.CallerGone,
	} {
		if refusals[code] > 0 {
			text += fmt.Sprintf("%s=%d ", code, refusals[code])
		}
	}
	return text
}

// Compare fills in what the oracle would have saved in the same scenario.
func Compare(results []Result) {
	oracle := map[string]int64{}
	for _, result := range results {
		if result.Policy == oracleName {
			oracle[result.Scenario] = result.Computed
		}
	}
	for i := range results {
		if least, ok := oracle[results[i].Scenario]; ok {
			saved := results[i].Computed - least
			results[i].Recomputed = &saved
		}
	}
}
