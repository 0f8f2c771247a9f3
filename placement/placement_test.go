package placement

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/bramleygw/bramleygw/prefix"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func poolOf(count int) *Pool {
	table := NewTable()
	states := make([]*State, count)
	for i := range states {
		states[i] = table.State(fmt.Sprintf("engine-%d", i), fmt.Sprint("zone-", i%4))
	}
	return NewPool(states)
}

// requestOf is a request whose first blocks are those of a context.
func requestOf(context, blocks, unique int) *Request {
	seed := prefix.Seed("account", "model", "w1")
	chain := make([]prefix.Hash, 0, blocks+1)
	state := uint64(seed)
	for level := range blocks {
		if level >= 2 { // two blocks of common instructions
			state ^= uint64(context)
		}
		state = prefix.Mix(state + uint64(level))
		chain = append(chain, prefix.Hash(state))
	}
	chain = append(chain, prefix.Hash(prefix.Mix(uint64(unique)+1<<40)))
	return &Request{Seed: seed, Boundary: blocks, Chain: chain, PromptTokens: (blocks + 1) * prefix.BlockTokens, Zone: "zone-0"}
}

func TestVMsAgreeOnHomesWithoutMessages(t *testing.T) {
	for context := range 40 {
		var want string
		for vm := range 6 {
			policy := NewPrefixAware(1 << 10)
			for range vm { // each VM has seen other requests
				policy.Choose(poolOf(13), requestOf(1000+vm, 7, 500+vm), epoch)
			}
			got := policy.Choose(poolOf(13), requestOf(context, 7, vm), epoch).Name
			if vm == 0 {
				want = got
			}
			if got != want {
				t.Fatalf("context %d: got %s at VM %d, want %s as at the first", context, got, vm, want)
			}
		}
	}
}

func TestHomesAreEven(t *testing.T) {
	counts := map[string]int{}
	policy := NewPrefixAware(1 << 12)
	pool := poolOf(10)
	for context := range 250 {
		counts[policy.Choose(pool, requestOf(context, 7, context), epoch).Name]++
	}
	for name, got := range counts {
		if got < 10 || got > 45 {
			t.Errorf("got %d of 250 contexts at %s, want about 25", got, name)
		}
	}
}

// A system message that differs in each request, by a time for example, is not
// what requests share.
func TestBoundaryThatNeverRepeatsIsDoubted(t *testing.T) {
	policy := NewPrefixAware(1 << 14)
	pool := poolOf(10)
	for context := range 400 {
		policy.Choose(pool, requestOf(context, 7, context), epoch)
	}
	want := policy.Choose(pool, requestOf(1000, 7, 1000), epoch)
	for context := range 20 {
		if got := policy.Choose(pool, requestOf(2000+context, 7, 2000+context), epoch); got != want {
			t.Fatalf("got %s, want %s, where the common instructions are", got.Name, want.Name)
		}
	}
}

func TestBeliefIsDropped(t *testing.T) {
	cases := []struct {
		name string
		act  func(*PrefixAware, *State, *Request)
		want bool // still believed
	}{
		{"answered just now", func(*PrefixAware, *State, *Request) {}, true},
		{"same incarnation", func(_ *PrefixAware, state *State, _ *Request) { state.Identify("1") }, true},
		{"new incarnation", func(_ *PrefixAware, state *State, _ *Request) { state.Identify("2") }, false},
		{"forgotten", func(_ *PrefixAware, state *State, _ *Request) { state.Forget() }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			policy := NewPrefixAware(1 << 10)
			pool := poolOf(3)
			state := pool.states[1]
			state.Identify("1")
			request := requestOf(1, 7, 1)
			policy.Learn(state, request, 0, epoch)
			test.act(policy, state, request)
			if got := policy.Matched(state, request, epoch.Add(2*time.Second)) > 0; got != test.want {
				t.Errorf("got believed %t, want %t", got, test.want)
			}
		})
	}
}

// The promise: no request relies on cache entries of another client account or
// of older weights.
func TestBeliefNeverCrossesAccountsOrWeights(t *testing.T) {
	policy := NewPrefixAware(1 << 10)
	pool := poolOf(3)
	prompt := make([]byte, 4*prefix.BlockBytes)
	learn := &Request{Chain: prefix.Seed("a", "m", "w1").Chain(prompt, nil), PromptTokens: 4000}
	policy.Learn(pool.states[0], learn, 0, epoch)
	for _, seed := range []prefix.Hash{prefix.Seed("b", "m", "w1"), prefix.Seed("a", "m", "w2"), prefix.Seed("a", "n", "w1")} {
		request := &Request{Chain: seed.Chain(prompt, nil), PromptTokens: 4000}
		if got := policy.Matched(pool.states[0], request, epoch); got != 0 {
			t.Errorf("got %d tokens believed cached, want none", got)
		}
	}
}

func TestRetentionFollowsEviction(t *testing.T) {
	state := newState(1, "e", "z")
	for range 20 {
		state.retain(2*time.Second, false)
	}
	if got := time.Duration(state.retention.Load()); got > 3*time.Second {
		t.Errorf("got %v, want about 2 s after blocks of that age were gone", got)
	}
	state.retain(5*time.Second, true)
	if got := time.Duration(state.retention.Load()); got != 5*time.Second {
		t.Errorf("got %v, want 5 s after a block of that age was there", got)
	}
}

func TestChooseSkips(t *testing.T) {
	cases := []struct {
		name string
		act  func(*State, *Request)
	}{
		{"a draining target", func(state *State, _ *Request) { state.SetDraining(true) }},
		{"a target that failed just now", func(state *State, _ *Request) { state.Failed(epoch) }},
		{"a target that was tried", func(state *State, request *Request) { request.Tried = append(request.Tried, state) }},
	}
	policies := map[string]func() Policy{
		"prefix aware": func() Policy { return NewPrefixAware(1 << 10) },
		"round robin":  func() Policy { return &RoundRobin{} },
		"least loaded": func() Policy { return &LeastLoaded{} },
		"hash only":    func() Policy { return &HashOnly{} },
	}
	for name, make := range policies {
		for _, test := range cases {
			t.Run(name+"/"+test.name, func(t *testing.T) {
				pool, request, policy := poolOf(4), requestOf(1, 7, 1), make()
				avoided := policy.Choose(pool, request, epoch)
				test.act(avoided, request)
				for range 8 {
					got := policy.Choose(pool, request, epoch)
					if got == nil || got == avoided {
						t.Fatalf("got %v, want a target other than %s", got, avoided.Name)
					}
				}
				for _, state := range pool.states {
					state.SetDraining(true)
				}
				if got := policy.Choose(pool, request, epoch); got != nil {
					t.Errorf("got %s, want none when all are draining", got.Name)
				}
			})
		}
	}
}

func TestFailedTargetIsProbedByOneRequest(t *testing.T) {
	pool := poolOf(1)
	policy := NewPrefixAware(1 << 10)
	pool.states[0].Failed(epoch)
	later := epoch.Add(lastPause)
	probes := 0
	for range 20 {
		if policy.Choose(pool, requestOf(1, 3, 1), later) != nil {
			probes++
		}
	}
	if probes != 1 {
		t.Errorf("got %d requests to a target that failed, want one probe", probes)
	}
	pool.states[0].Answered()
	if policy.Choose(pool, requestOf(1, 3, 1), later) == nil {
		t.Error("got no target after it answered, want it")
	}
}

// The pattern: a target is gone and its address belongs to another program.
func TestAnswersOfStrangersAreTold(t *testing.T) {
	engine, service := newState(1, "engine", "a"), newState(2, "service", "a")
	engine.Identify("1")
	for _, test := range []struct {
		name        string
		state       *State
		incarnation string
		want        bool
	}{
		{"the target itself", engine, "1", false},
		{"the target after a restart", engine, "2", false},
		{"no incarnation in place of one", engine, "", true},
		{"a service, which names none", service, "", false},
	} {
		if got := test.state.Stranger(test.incarnation); got != test.want {
			t.Errorf("%s: got stranger %t, want %t", test.name, got, test.want)
		}
	}
}

func TestHotPrefixSpreadsAndReturns(t *testing.T) {
	pool := poolOf(8)
	policy := NewPrefixAware(1 << 10)
	home := policy.Choose(pool, requestOf(1, 7, 0), epoch)
	policy.Learn(home, requestOf(1, 7, 0), 0, epoch)
	used := map[string]bool{}
	var flights []Flight
	for i := range 40 { // forty at once: more than one target can take
		request := requestOf(1, 7, i+1)
		state := policy.Choose(pool, request, epoch)
		used[state.Name] = true
		flights = append(flights, state.Begin(request.PromptTokens-policy.Matched(state, request, epoch), epoch))
		policy.Learn(state, request, 0, epoch)
	}
	if got := len(used); got < 3 {
		t.Errorf("got %d targets for a hot prefix, want it to spread", got)
	}
	for i := range flights {
		flights[i].FirstToken(epoch)
		flights[i].End()
	}
	for i := range 10 {
		if got := policy.Choose(pool, requestOf(1, 7, 100+i), epoch.Add(time.Second)); got != home {
			t.Fatalf("got %s after the load passed, want the home %s again", got.Name, home.Name)
		}
	}
}

func TestColdTargetDrawsNoMoreThanItsShare(t *testing.T) {
	pool := poolOf(8)
	policy := NewPrefixAware(1 << 12)
	now := epoch
	for round := range 4 {
		for context := range 40 {
			now = now.Add(10 * time.Millisecond)
			request := requestOf(context, 7, round*100+context)
			state := policy.Choose(pool, request, now)
			policy.Learn(state, request, 7000, now)
		}
	}
	cold := pool.states[3]
	cold.Identify("1")
	cold.Identify("2") // it crashed and came back empty
	counts := map[string]int{}
	for context := range 40 {
		now = now.Add(10 * time.Millisecond)
		state := policy.Choose(pool, requestOf(context, 7, 9000+context), now)
		counts[state.Name]++
	}
	if got := counts[cold.Name]; got > 12 {
		t.Errorf("got %d of 40 requests at the cold target, want about 5", got)
	}
}

func TestWaitCountsReportsOnce(t *testing.T) {
	state := newState(1, "e", "z")
	flight := state.Begin(1000, epoch)
	own := state.Wait(epoch)
	state.Report(1000, 1, epoch) // the report is of this VM's own request
	if got := state.Wait(epoch); got != own {
		t.Errorf("got a wait of %v, want %v: the report repeats what is known", got, own)
	}
	flight.End()
	state.Report(5000, 3, epoch)
	soon, late := state.Wait(epoch), state.Wait(epoch.Add(2*time.Second))
	if soon <= late {
		t.Errorf("got %v at once and %v later, want old reports to count less", soon, late)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	if got := unsafe.Sizeof(entry{}); got != EntryBytes {
		t.Errorf("got %d bytes an entry, want %d", got, EntryBytes)
	}
	beliefs := newBeliefs(1000)
	if got, most := len(beliefs.sets)*ways, 2048; got > most {
		t.Errorf("got room for %d entries, want at most %d", got, most)
	}
	for i := range 100_000 {
		beliefs.see(prefix.Hash(prefix.Mix(uint64(i))), uint32(i))
	}
	if got := len(beliefs.sets) * ways; got > 2048 {
		t.Errorf("got %d entries after use, want no growth", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, targets := range []int{13, 100, 600} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			pool := poolOf(targets)
			policy := NewPrefixAware(DefaultBeliefs)
			requests := make([]*Request, 512)
			for i := range requests {
				requests[i] = requestOf(i%64, 7, i)
				policy.Learn(pool.states[i%targets], requests[i], 0, epoch)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if policy.Choose(pool, requests[i%len(requests)], epoch) == nil {
					b.Fatal("no target")
				}
			}
		})
	}
}

func BenchmarkLearn(b *testing.B) {
	pool := poolOf(13)
	policy := NewPrefixAware(DefaultBeliefs)
	request := requestOf(1, 7, 1)
	b.ReportAllocs()
	for b.Loop() {
		policy.Learn(pool.states[0], request, 7000, epoch)
	}
}
