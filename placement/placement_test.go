package placement

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/bramleygw/bramleygw/prefix"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newPool(count int) *Pool {
	table := NewTable()
	states := make([]*State, count)
	for i := range states {
		states[i] = table.State(fmt.Sprintf("engine-%d", i), fmt.Sprint("zone-", i%4))
	}
	return NewPool(states)
}

// newRequest returns a request whose first blocks are those of a context.
func newRequest(context, blocks, unique int) *Request {
	seed := prefix.Seed("account", "model", "w1")
	chain := make([]prefix.Hash, 0, blocks+1)
	hash := uint64(seed)
	for level := range blocks {
		if level >= 2 { // the first two blocks are instructions common to all contexts
			hash ^= uint64(context)
		}
		hash = prefix.Mix(hash + uint64(level))
		chain = append(chain, prefix.Hash(hash))
	}
	chain = append(chain, prefix.Hash(prefix.Mix(uint64(unique)+1<<40)))
	return &Request{Seed: seed, Boundary: blocks, Chain: chain, PromptTokens: (blocks + 1) * prefix.BlockTokens, Zone: "zone-0"}
}

func TestVMsAgreeOnHomesWithoutMessages(t *testing.T) {
	for context := range 40 {
		var want string
		for vm := range 6 {
			policy := NewPrefixAware(1 << 10)
			for range vm { // each VM has received other requests
				policy.Choose(newPool(13), newRequest(1000+vm, 7, 500+vm), start)
			}
			got := policy.Choose(newPool(13), newRequest(context, 7, vm), start).Name
			if vm == 0 {
				want = got
			}
			if got != want {
				t.Fatalf("context %d: got %s at VM %d, want %s as at VM 0", context, got, vm, want)
			}
		}
	}
}

func TestHomesAreEvenlyDistributed(t *testing.T) {
	counts := map[string]int{}
	policy := NewPrefixAware(1 << 12)
	pool := newPool(10)
	for context := range 250 {
		counts[policy.Choose(pool, newRequest(context, 7, context), start).Name]++
	}
	for name, got := range counts {
		if got < 10 || got > 45 {
			t.Errorf("got %d of 250 contexts at %s, want about 25", got, name)
		}
	}
}

// A system message may differ in each request, for example by a time stamp. It
// must then not count as a shared prefix.
func TestBoundaryThatNeverRepeatsIsIgnored(t *testing.T) {
	policy := NewPrefixAware(1 << 14)
	pool := newPool(10)
	for context := range 400 {
		policy.Choose(pool, newRequest(context, 7, context), start)
	}
	want := policy.Choose(pool, newRequest(1000, 7, 1000), start)
	for context := range 20 {
		if got := policy.Choose(pool, newRequest(2000+context, 7, 2000+context), start); got != want {
			t.Fatalf("got %s, want %s, the home of the common instructions", got.Name, want.Name)
		}
	}
}

func TestNewIncarnationInvalidatesIndex(t *testing.T) {
	cases := []struct {
		name string
		act  func(*PrefixAware, *State, *Request)
		want bool // still expected to be cached
	}{
		{"answered 2 s ago", func(*PrefixAware, *State, *Request) {}, true},
		{"same incarnation", func(_ *PrefixAware, state *State, _ *Request) { state.ObserveIncarnation("1") }, true},
		{"new incarnation", func(_ *PrefixAware, state *State, _ *Request) { state.ObserveIncarnation("2") }, false},
		{"invalidated", func(_ *PrefixAware, state *State, _ *Request) { state.InvalidateCache() }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			policy := NewPrefixAware(1 << 10)
			pool := newPool(3)
			state := pool.states[1]
			state.ObserveIncarnation("1")
			request := newRequest(1, 7, 1)
			policy.Learn(state, request, 0, start)
			test.act(policy, state, request)
			if got := policy.Matched(state, request, start.Add(2*time.Second)) > 0; got != test.want {
				t.Errorf("got match %t, want %t", got, test.want)
			}
		})
	}
}

// A request must never rely on cache entries of another client account or of
// older weights.
func TestIndexNeverMatchesAcrossAccountsOrWeights(t *testing.T) {
	policy := NewPrefixAware(1 << 10)
	pool := newPool(3)
	prompt := make([]byte, 4*prefix.BlockBytes)
	learn := &Request{Chain: prefix.Seed("a", "m", "w1").Chain(prompt, nil), PromptTokens: 4000}
	policy.Learn(pool.states[0], learn, 0, start)
	for _, seed := range []prefix.Hash{prefix.Seed("b", "m", "w1"), prefix.Seed("a", "m", "w2"), prefix.Seed("a", "n", "w1")} {
		request := &Request{Chain: seed.Chain(prompt, nil), PromptTokens: 4000}
		if got := policy.Matched(pool.states[0], request, start); got != 0 {
			t.Errorf("got %d tokens expected to be cached, want none", got)
		}
	}
}

func TestRetentionFollowsEviction(t *testing.T) {
	state := newState(1, "e", "z")
	for range 20 {
		state.observeRetention(2*time.Second, false)
	}
	if got := time.Duration(state.retention.Load()); got > 3*time.Second {
		t.Errorf("got %v, want about 2 s after blocks of that age were evicted", got)
	}
	state.observeRetention(5*time.Second, true)
	if got := time.Duration(state.retention.Load()); got != 5*time.Second {
		t.Errorf("got %v, want 5 s after a block of that age was still cached", got)
	}
}

func TestChooseSkips(t *testing.T) {
	cases := []struct {
		name string
		act  func(*State, *Request)
	}{
		{"a draining target", func(state *State, _ *Request) { state.SetDraining(true) }},
		{"a target that failed just now", func(state *State, _ *Request) { state.RecordFailure(start) }},
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
				pool, request, policy := newPool(4), newRequest(1, 7, 1), make()
				avoided := policy.Choose(pool, request, start)
				test.act(avoided, request)
				for range 8 {
					got := policy.Choose(pool, request, start)
					if got == nil || got == avoided {
						t.Fatalf("got %v, want a target other than %s", got, avoided.Name)
					}
				}
				for _, state := range pool.states {
					state.SetDraining(true)
				}
				if got := policy.Choose(pool, request, start); got != nil {
					t.Errorf("got %s, want none when all are draining", got.Name)
				}
			})
		}
	}
}

func TestFailedTargetGetsOneTrialRequest(t *testing.T) {
	pool := newPool(1)
	policy := NewPrefixAware(1 << 10)
	pool.states[0].RecordFailure(start)
	later := start.Add(maxBackoff)
	trials := 0
	for range 20 {
		if policy.Choose(pool, newRequest(1, 3, 1), later) != nil {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("got %d requests to a target that failed, want one trial request", trials)
	}
	pool.states[0].RecordAnswer()
	if policy.Choose(pool, newRequest(1, 3, 1), later) == nil {
		t.Error("got no target after the failed one answered, want that one")
	}
}

// Guards against accepting an answer of another program that took over the address of
// a stopped target.
func TestAnswerOfOtherProgramIsDetected(t *testing.T) {
	engine, service := newState(1, "engine", "a"), newState(2, "service", "a")
	engine.ObserveIncarnation("1")
	for _, test := range []struct {
		name        string
		state       *State
		incarnation string
		want        bool
	}{
		{"the target itself", engine, "1", false},
		{"the target after a restart", engine, "2", false},
		{"no incarnation although an earlier answer had one", engine, "", true},
		{"a service, whose answers carry no incarnation", service, "", false},
	} {
		if got := test.state.FromOtherProgram(test.incarnation); got != test.want {
			t.Errorf("%s: got other program %t, want %t", test.name, got, test.want)
		}
	}
}

func TestHotPrefixSpreadsAndReturns(t *testing.T) {
	pool := newPool(8)
	policy := NewPrefixAware(1 << 10)
	home := policy.Choose(pool, newRequest(1, 7, 0), start)
	policy.Learn(home, newRequest(1, 7, 0), 0, start)
	used := map[string]bool{}
	var flights []Flight
	for i := range 40 { // forty at once: more than one target can serve
		request := newRequest(1, 7, i+1)
		state := policy.Choose(pool, request, start)
		used[state.Name] = true
		flights = append(flights, state.Begin(request.PromptTokens-policy.Matched(state, request, start), start))
		policy.Learn(state, request, 0, start)
	}
	if got := len(used); got < 3 {
		t.Errorf("got %d targets for a hot prefix, want it to spread", got)
	}
	for i := range flights {
		flights[i].FirstToken(start)
		flights[i].End()
	}
	for i := range 10 {
		if got := policy.Choose(pool, newRequest(1, 7, 100+i), start.Add(time.Second)); got != home {
			t.Fatalf("got %s after the load ended, want the home %s", got.Name, home.Name)
		}
	}
}

func TestColdTargetGetsNoMoreThanItsShare(t *testing.T) {
	pool := newPool(8)
	policy := NewPrefixAware(1 << 12)
	now := start
	for round := range 4 {
		for context := range 40 {
			now = now.Add(10 * time.Millisecond)
			request := newRequest(context, 7, round*100+context)
			state := policy.Choose(pool, request, now)
			policy.Learn(state, request, 7000, now)
		}
	}
	cold := pool.states[3]
	cold.ObserveIncarnation("1")
	cold.ObserveIncarnation("2") // the target crashed and restarted with an empty cache
	counts := map[string]int{}
	for context := range 40 {
		now = now.Add(10 * time.Millisecond)
		state := policy.Choose(pool, newRequest(context, 7, 9000+context), now)
		counts[state.Name]++
	}
	if got := counts[cold.Name]; got > 12 {
		t.Errorf("got %d of 40 requests at the target with an empty cache, want about 5", got)
	}
}

func TestWaitDoesNotCountOwnRequestsTwice(t *testing.T) {
	state := newState(1, "e", "z")
	flight := state.Begin(1000, start)
	own := state.Wait(start)
	state.RecordLoad(1000, 1, start) // the report covers this VM's own request
	if got := state.Wait(start); got != own {
		t.Errorf("got a wait of %v, want %v: the report covers a request that is already counted", got, own)
	}
	flight.End()
	state.RecordLoad(5000, 3, start)
	soon, late := state.Wait(start), state.Wait(start.Add(2*time.Second))
	if soon <= late {
		t.Errorf("got %v at once and %v 2 s later, want old reports to count less", soon, late)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	if got := unsafe.Sizeof(entry{}); got != EntryBytes {
		t.Errorf("got %d bytes an entry, want %d", got, EntryBytes)
	}
	index := newCacheIndex(1000)
	if got, limit := len(index.sets)*ways, 2048; got > limit {
		t.Errorf("got room for %d entries, want at most %d", got, limit)
	}
	for i := range 100_000 {
		index.countRequest(prefix.Hash(prefix.Mix(uint64(i))), uint32(i))
	}
	if got := len(index.sets) * ways; got > 2048 {
		t.Errorf("got %d entries after 100000 insertions, want at most 2048", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, targets := range []int{13, 100, 600} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			pool := newPool(targets)
			policy := NewPrefixAware(DefaultIndexEntries)
			requests := make([]*Request, 512)
			for i := range requests {
				requests[i] = newRequest(i%64, 7, i)
				policy.Learn(pool.states[i%targets], requests[i], 0, start)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if policy.Choose(pool, requests[i%len(requests)], start) == nil {
					b.Fatal("no target")
				}
			}
		})
	}
}

func BenchmarkLearn(b *testing.B) {
	pool := newPool(13)
	policy := NewPrefixAware(DefaultIndexEntries)
	request := newRequest(1, 7, 1)
	b.ReportAllocs()
	for b.Loop() {
		policy.Learn(pool.states[0], request, 7000, start)
	}
}
