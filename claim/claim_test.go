package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/refusal"
)

// fakeObjects is an in-memory platform.
type fakeObjects struct {
	mu      sync.Mutex // guards the fields below
	version objects.Version
	stored  map[string]objects.Object
	// fault, if set, is called before and after each call takes effect. The call
	// returns its error: a fault before means that the call had no effect, a fault
	// after means that its reply was lost.
	fault func(call string, after bool) error
}

func newFakeObjects() *fakeObjects {
	return &fakeObjects{stored: map[string]objects.Object{}}
}

func (fake *fakeObjects) injectFault(call string, after bool) error {
	if fake.fault == nil {
		return nil
	}
	return fake.fault(call, after)
}

func (fake *fakeObjects) call(name string, apply func() (objects.Object, error)) (objects.Object, error) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if err := fake.injectFault(name, false); err != nil {
		return objects.Object{}, err
	}
	object, err := apply()
	if lost := fake.injectFault(name, true); lost != nil {
		return objects.Object{}, lost
	}
	return object, err
}

func (fake *fakeObjects) store(name string, spec any) objects.Object {
	fake.version++
	text, _ := json.Marshal(spec)
	object := objects.Object{Metadata: objects.Metadata{Name: name, ResourceVersion: fake.version}, Spec: text}
	fake.stored[name] = object
	return object
}

func (fake *fakeObjects) Get(_ context.Context, _ objects.Collection, name string) (objects.Object, error) {
	return fake.call("get", func() (objects.Object, error) {
		object, ok := fake.stored[name]
		if !ok {
			return object, objects.ErrNotFound
		}
		return object, nil
	})
}

func (fake *fakeObjects) Create(_ context.Context, _ objects.Collection, name string, spec any) (objects.Object, error) {
	return fake.call("create", func() (objects.Object, error) {
		if _, ok := fake.stored[name]; ok {
			return objects.Object{}, objects.ErrExists
		}
		return fake.store(name, spec), nil
	})
}

func (fake *fakeObjects) Update(_ context.Context, _ objects.Collection, name string, version objects.Version, spec any) (objects.Object, error) {
	return fake.call("update", func() (objects.Object, error) {
		if fake.stored[name].Metadata.ResourceVersion != version {
			return objects.Object{}, objects.ErrConflict
		}
		return fake.store(name, spec), nil
	})
}

func (fake *fakeObjects) Delete(_ context.Context, _ objects.Collection, name string, version objects.Version) error {
	_, err := fake.call("delete", func() (objects.Object, error) {
		if fake.stored[name].Metadata.ResourceVersion != version {
			return objects.Object{}, objects.ErrConflict
		}
		delete(fake.stored, name)
		return objects.Object{}, nil
	})
	return err
}

// failOnce returns a fault that makes the first call of a kind fail.
func failOnce(call string, after bool, err error) func(string, bool) error {
	failed := false
	return func(gotCall string, gotAfter bool) error {
		if failed || gotCall != call || gotAfter != after {
			return nil
		}
		failed = true
		return err
	}
}

// failAlways returns a fault that makes every call of a kind fail without effect.
func failAlways(call string, err error) func(string, bool) error {
	return func(gotCall string, gotAfter bool) error {
		if gotCall == call && !gotAfter {
			return err
		}
		return nil
	}
}

func TestClaimUnderFaults(t *testing.T) {
	body := []byte("pay 20")
	cases := []struct {
		name  string
		setup func(*Claimer)
		fault func(string, bool) error
		// code and outcome are those of the expected refusal, or empty if a ticket is
		// expected.
		code    refusal.Code
		outcome refusal.Outcome
		// replay is set if the ticket must hold a recorded answer.
		replay bool
	}{
		{name: "no fault"},
		{name: "reply to create lost", fault: failOnce("create", true, objects.ErrUnknown)},
		{name: "create lost", fault: failOnce("create", false, objects.ErrUnknown)},
		{name: "replies to create and get lost", fault: func() func(string, bool) error {
			first, second := failOnce("create", true, objects.ErrUnknown), failOnce("get", true, objects.ErrUnknown)
			return func(call string, after bool) error {
				if err := first(call, after); err != nil {
					return err
				}
				return second(call, after)
			}
		}()},
		{name: "throttled once", fault: failOnce("create", false, objects.ErrThrottled)},
		{name: "platform down", fault: failAlways("create", objects.ErrUnavailable), code: refusal.PlatformUnavailable, outcome: refusal.NotRun},
		{name: "get after conflict fails", setup: claimAs("vm-2", body, time.Hour), fault: failAlways("get", objects.ErrUnavailable), code: refusal.PlatformUnavailable, outcome: refusal.NotRun},
		{name: "running on another VM", setup: claimAs("vm-2", body, time.Hour), code: refusal.InProgress, outcome: refusal.Unknown},
		{name: "running on the same VM", setup: claimAs("vm-1", body, time.Hour), code: refusal.InProgress, outcome: refusal.Unknown},
		{name: "claimed by a VM that failed", setup: claimAs("vm-2", body, -time.Hour), code: refusal.OutcomeUnknown, outcome: refusal.Unknown},
		{name: "another body with the same key", setup: claimAs("vm-2", []byte("pay 30"), time.Hour), code: refusal.IdempotencyKeyReused, outcome: refusal.NotRun},
		{name: "answer recorded", setup: answerAs("vm-2", body), replay: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeObjects()
				claimer := NewClaimer(fake, "vm-1")
				if test.setup != nil {
					test.setup(NewClaimer(fake, "vm-2"))
				}
				fake.fault = test.fault
				ticket, err := claimer.Claim(t.Context(), "school", "key-1", body, time.Now().Add(time.Minute))
				if test.code != "" {
					got := refusal.From(err)
					if err == nil || got.Code != test.code || got.Outcome != test.outcome {
						t.Fatalf("got %v %v, want %s %s", got, got.Outcome, test.code, test.outcome)
					}
					return
				}
				if err != nil {
					t.Fatalf("got %v, want a ticket", err)
				}
				if got := ticket.Answer != nil; got != test.replay {
					t.Errorf("ticket has an answer: got %t, want %t", got, test.replay)
				}
			})
		})
	}
}

func claimAs(owner string, body []byte, timeout time.Duration) func(*Claimer) {
	return func(claimer *Claimer) {
		claimer.owner = owner
		_, _ = claimer.Claim(context.Background(), "school", "key-1", body, time.Now().Add(timeout))
	}
}

func answerAs(owner string, body []byte) func(*Claimer) {
	return func(claimer *Claimer) {
		claimer.owner = owner
		ticket, _ := claimer.Claim(context.Background(), "school", "key-1", body, time.Now().Add(time.Hour))
		_ = ticket.Record(context.Background(), Answer{Status: 200, Body: []byte("done")})
	}
}

func TestRecordSucceedsAfterLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeObjects()
		claimer := NewClaimer(fake, "vm-1")
		ticket, err := claimer.Claim(t.Context(), "school", "key-1", nil, time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		fake.fault = failOnce("update", true, objects.ErrUnknown)
		if err := ticket.Record(t.Context(), Answer{Status: 200, Body: []byte("paid")}); err != nil {
			t.Fatalf("got %v, want the answer recorded", err)
		}
		repeated, err := claimer.Claim(t.Context(), "school", "key-1", nil, time.Now().Add(time.Minute))
		if err != nil || repeated.Answer == nil || string(repeated.Answer.Body) != "paid" {
			t.Errorf("got %+v %v, want the recorded answer", repeated, err)
		}
	})
}

func TestReleasedClaimCanBeClaimedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeObjects()
		claimer := NewClaimer(fake, "vm-1")
		ticket, err := claimer.Claim(t.Context(), "school", "key-1", nil, time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		fake.fault = failOnce("delete", false, objects.ErrUnavailable)
		ticket.Release(t.Context())
		if _, err := claimer.Claim(t.Context(), "school", "key-1", nil, time.Now().Add(time.Minute)); err != nil {
			t.Errorf("got %v, want a new ticket", err)
		}
	})
}

// claimOutcome is the output of an operation in a history.
type claimOutcome struct {
	ran      bool
	replayed bool
}

// atMostOnce is the model for the check of histories: of all calls with one
// idempotency key, at most one may run.
var atMostOnce = porcupine.Model{
	Init: func() any { return 0 }, // 0 not run, 1 claimed, 2 recorded
	Step: func(state, input, output any) (bool, any) {
		got, current := output.(claimOutcome), state.(int)
		switch {
		case input.(string) == "record":
			return current == 1, 2
		case got.ran:
			return current == 0, 1
		case got.replayed:
			return current == 2, 2
		}
		return true, current // a call may be refused in any state
	},
	Equal:             func(left, right any) bool { return left == right },
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// Checks the guarantee that a non-idempotent request runs at most once: five VMs
// make calls with the same key while a quarter of the platform's requests and
// replies are lost at random.
func TestConcurrentCallsRunAtMostOnce(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeObjects()
			random := rand.New(rand.NewPCG(seed, 1))
			fake.fault = func(string, bool) error { // called with fake.mu held
				if random.Float64() < 0.25 {
					return objects.ErrUnknown
				}
				return nil
			}
			history := runHistory(t.Context(), fake)
			if got := porcupine.CheckOperations(atMostOnce, history); !got {
				t.Errorf("seed %d: got a history in which a call ran twice", seed)
			}
		})
	}
}

// runHistory makes concurrent calls with one idempotency key and returns the
// history of their operations.
func runHistory(ctx context.Context, fake *fakeObjects) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, input string, output claimOutcome, call time.Time, pending bool) {
		mu.Lock()
		defer mu.Unlock()
		operation := porcupine.Operation{ClientId: client, Input: input, Output: output, Call: call.UnixNano(), Return: time.Now().UnixNano()}
		if pending { // the operation may take effect at any later time
			operation.ClientId, operation.Return = 100+len(history), math.MaxInt64
		}
		history = append(history, operation)
	}
	var group sync.WaitGroup
	for vm := range 5 {
		group.Go(func() {
			claimer := NewClaimer(fake, fmt.Sprintf("vm-%d", vm))
			for range 3 {
				call := time.Now()
				ticket, err := claimer.Claim(ctx, "school", "key-1", nil, time.Now().Add(time.Minute))
				if err != nil {
					record(vm, "claim", claimOutcome{}, call, false)
					continue
				}
				record(vm, "claim", claimOutcome{ran: ticket.Answer == nil, replayed: ticket.Answer != nil}, call, false)
				if ticket.Answer != nil {
					continue
				}
				call = time.Now()
				err = ticket.Record(ctx, Answer{Status: 200})
				record(vm, "record", claimOutcome{}, call, err != nil)
			}
		})
	}
	group.Wait()
	return history
}
