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

// Load describes the requests that the callers send.
type Load struct {
	// Rate is in requests per second; the gaps are exponentially distributed.
	Rate float64
	// Until is the time at which the load ends.
	Until time.Time
	Seed  uint64
	// Excess, if set, is an account that sends ExcessRate additional requests per
	// second from ExcessFrom to ExcessUntil.
	Excess      string
	ExcessRate  float64
	ExcessFrom  time.Time
	ExcessUntil time.Time
	// ShiftAt is the time at which other contexts become popular.
	ShiftAt time.Time
	// NewContextsAt is the time at which the texts of all contexts change, as the
	// notes of a new shift do.
	NewContextsAt time.Time
	// OneVM sends all requests to the first VM.
	OneVM bool
	// SignOffs is the rate of calls per second to the service that must run a call
	// at most once.
	SignOffs float64
}

// Result holds the measurements of a run.
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
	// Computed is the number of prompt tokens that engines computed. Recomputed is
	// the number of them that the oracle policy would have saved; it is set if the
	// oracle ran the same scenario.
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

// run is one run of a load, with its faults.
type run struct {
	fleet    *Fleet
	load     Load
	callers  *Callers
	recorder *recorder
	group    sync.WaitGroup

	mu           sync.Mutex // guards nextVM and outOfService
	nextVM       int
	outOfService map[*VM]bool // VMs that the balancer skips
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

// pickAddress simulates the platform's balancer: it returns the addresses of the VMs
// in service in round-robin order.
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

// setOutOfService removes a VM from the balancer or adds it again.
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

// runSignOffs sends calls that must run at most once. It sends every second call
// twice concurrently, through different VMs.
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

// checkTargets records the violations that only the targets can detect.
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

// counters is a snapshot of the fleet's counters.
type counters struct {
	cachedTokens, prefilledTokens int64
	controlBytes, platformCalls   int64
	processor                     time.Duration
}

func (fleet *Fleet) counters() counters {
	var now counters
	for _, engine := range fleet.Engines {
		now.cachedTokens += engine.CachedTokens.Load()
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
		// Includes the calls that the load itself causes.
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

// Compare sets Recomputed in the results whose scenario the oracle ran too.
func Compare(results []Result) {
	oracle := map[string]int64{}
	for _, result := range results {
		if result.Policy == oracleName {
			oracle[result.Scenario] = result.Computed
		}
	}
	for i := range results {
		if oracleComputed, ok := oracle[results[i].Scenario]; ok {
			saved := results[i].Computed - oracleComputed
			results[i].Recomputed = &saved
		}
	}
}
