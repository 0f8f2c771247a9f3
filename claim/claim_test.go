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

// fakeObjects is the platform in memory.
type fakeObjects struct {
	mu      sync.Mutex // guards the fields below
	version objects.Version
	stored  map[string]objects.Object
	// fault, if set, is asked before and after each call takes effect.
	fault func(call string, after bool) error
}

func newObjects() *fakeObjects {
	return &fakeObjects{stored: map[string]objects.Object{}}
}

func (fake *fakeObjects) check(call string, after bool) error {
	if fake.fault == nil {
		return nil
	}
	return fake.fault(call, after)
}

func (fake *fakeObjects) do(call string, act func() (objects.Object, error)) (objects.Object, error) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if err := fake.check(call, false); err != nil {
		return objects.Object{}, err
	}
	object, err := act()
	if lost := fake.check(call, true); lost != nil {
		return objects.Object{}, lost
	}
	return object, err
}

func (fake *fakeObjects) put(name string, spec any) objects.Object {
	fake.version++
	text, _ := json.Marshal(spec)
	object := objects.Object{Metadata: objects.Metadata{Name: name, ResourceVersion: fake.version}, Spec: text}
	fake.stored[name] = object
	return object
}

func (fake *fakeObjects) Get(_ context.Context, _ objects.Collection, name string) (objects.Object, error) {
	return fake.do("get", func() (objects.Object, error) {
		object, ok := fake.stored[name]
		if !ok {
			return object, objects.ErrNotFound
		}
		return object, nil
	})
}

func (fake *fakeObjects) Create(_ context.Context, _ objects.Collection, name string, spec any) (objects.Object, error) {
	return fake.do("create", func() (objects.Object, error) {
		if _, ok := fake.stored[name]; ok {
			return objects.Object{}, objects.ErrExists
		}
		return fake.put(name, spec), nil
	})
}

func (fake *fakeObjects) Update(_ context.Context, _ objects.Collection, name string, version objects.Version, spec any) (objects.Object, error) {
	return fake.do("update", func() (objects.Object, error) {
		if fake.stored[name].Metadata.ResourceVersion != version {
			return objects.Object{}, objects.ErrConflict
		}
		return fake.put(name, spec), nil
	})
}

func (fake *fakeObjects) Delete(_ context.Context, _ objects.Collection, name string, version objects.Version) error {
	_, err := fake.do("delete", func() (objects.Object, error) {
		if fake.stored[name].Metadata.ResourceVersion != version {
			return objects.Object{}, objects.ErrConflict
		}
		delete(fake.stored, name)
		return objects.Object{}, nil
	})
	return err
}

// once fails the first call of a kind.
func once(call string, after bool, err error) func(string, bool) error {
	done := false
	return func(now string, nowAfter bool) error {
		if done || now != call || nowAfter != after {
			return nil
		}
		done = true
		return err
	}
}

func always(call string, err error) func(string, bool) error {
	return func(now string, after bool) error {
		if now == call && !after {
			return err
		}
		return nil
	}
}

func TestClaimUnderFaults(t *testing.T) {
	body := []byte("pay 20")
	cases := []struct {
		name   string
		before func(*Book)
		fault  func(string, bool) error
		// code and outcome of the refusal, or empty for a claim.
		code    refusal.Code
		outcome refusal.Outcome
		replay  bool
	}{
		{name: "no fault"},
		{name: "creation's answer lost", fault: once("create", true, objects.ErrUnknown)},
		{name: "creation lost", fault: once("create", false, objects.ErrUnknown)},
		{name: "creation's and reading's answers lost", fault: func() func(string, bool) error {
			first, second := once("create", true, objects.ErrUnknown), once("get", true, objects.ErrUnknown)
			return func(call string, after bool) error {
				if err := first(call, after); err != nil {
					return err
				}
				return second(call, after)
			}
		}()},
		{name: "throttled once", fault: once("create", false, objects.ErrThrottled)},
		{name: "platform down", fault: always("create", objects.ErrUnavailable), code: refusal.PlatformUnavailable, outcome: refusal.NotRun},
		{name: "reading back fails", before: claimAs("vm-2", body, time.Hour), fault: always("get", objects.ErrUnavailable), code: refusal.PlatformUnavailable, outcome: refusal.NotRun},
		{name: "runs elsewhere", before: claimAs("vm-2", body, time.Hour), code: refusal.InProgress, outcome: refusal.Unknown},
		{name: "same VM sent it", before: claimAs("vm-1", body, time.Hour), code: refusal.InProgress, outcome: refusal.Unknown},
		{name: "ran and its VM died", before: claimAs("vm-2", body, -time.Hour), code: refusal.OutcomeUnknown, outcome: refusal.Unknown},
		{name: "other body", before: claimAs("vm-2", []byte("pay 30"), time.Hour), code: refusal.IdempotencyKeyReused, outcome: refusal.NotRun},
		{name: "answered", before: answerAs("vm-2", body), replay: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newObjects()
				book := NewBook(fake, "vm-1")
				if test.before != nil {
					test.before(NewBook(fake, "vm-2"))
				}
				fake.fault = test.fault
				ticket, err := book.Claim(t.Context(), "school", "key-1", body, time.Now().Add(time.Minute))
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
					t.Errorf("got an answer %t, want %t", got, test.replay)
				}
			})
		})
	}
}

func claimAs(owner string, body []byte, left time.Duration) func(*Book) {
	return func(book *Book) {
		book.owner = owner
		_, _ = book.Claim(context.Background(), "school", "key-1", body, time.Now().Add(left))
	}
}

func answerAs(owner string, body []byte) func(*Book) {
	return func(book *Book) {
		book.owner = owner
		ticket, _ := book.Claim(context.Background(), "school", "key-1", body, time.Now().Add(time.Hour))
		_ = ticket.Record(context.Background(), Answer{Status: 200, Body: []byte("done")})
	}
}

func TestRecordSurvivesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newObjects()
		book := NewBook(fake, "vm-1")
		ticket, err := book.Claim(t.Context(), "school", "key-1", nil, time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		fake.fault = once("update", true, objects.ErrUnknown)
		if err := ticket.Record(t.Context(), Answer{Status: 200, Body: []byte("paid")}); err != nil {
			t.Fatalf("got %v, want the record to be settled", err)
		}
		again, err := book.Claim(t.Context(), "school", "key-1", nil, time.Now().Add(time.Minute))
		if err != nil || again.Answer == nil || string(again.Answer.Body) != "paid" {
			t.Errorf("got %+v %v, want the recorded answer", again, err)
		}
	})
}

func TestReleaseLetsTheCallRunLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newObjects()
		book := NewBook(fake, "vm-1")
		ticket, err := book.Claim(t.Context(), "school", "key-1", nil, time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		fake.fault = once("delete", false, objects.ErrUnavailable)
		ticket.Release(t.Context())
		if _, err := book.Claim(t.Context(), "school", "key-1", nil, time.Now().Add(time.Minute)); err != nil {
			t.Errorf("got %v, want a new ticket", err)
		}
	})
}

// The model: of all calls with one key, at most one may run.
type claimOutcome struct {
	ran      bool
	replayed bool
}

var atMostOnce = porcupine.Model{
	Init: func() any { return 0 }, // 0 not run, 1 claimed, 2 recorded
	Step: func(state, input, output any) (bool, any) {
		got, now := output.(claimOutcome), state.(int)
		switch {
		case input.(string) == "record":
			return now == 1, 2
		case got.ran:
			return now == 0, 1
		case got.replayed:
			return now == 2, 2
		}
		return true, now // a refusal may come at any time
	},
	Equal:             func(left, right any) bool { return left == right },
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// The promise: a non-idempotent request runs at most once.
func TestHistoriesRunAtMostOnce(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			fake := newObjects()
			random := rand.New(rand.NewPCG(seed, 1))
			fake.fault = func(string, bool) error { // called under the lock
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

func runHistory(ctx context.Context, fake *fakeObjects) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	note := func(client int, input string, output claimOutcome, call time.Time, pending bool) {
		mu.Lock()
		defer mu.Unlock()
		operation := porcupine.Operation{ClientId: client, Input: input, Output: output, Call: call.UnixNano(), Return: time.Now().UnixNano()}
		if pending { // it may take effect at any later time
			operation.ClientId, operation.Return = 100+len(history), math.MaxInt64
		}
		history = append(history, operation)
	}
	var waiting sync.WaitGroup
	for vm := range 5 {
		waiting.Go(func() {
			book := NewBook(fake, fmt.Sprintf("vm-%d", vm))
			for range 3 {
				call := time.Now()
				ticket, err := book.Claim(ctx, "school", "key-1", nil, time.Now().Add(time.Minute))
				if err != nil {
					note(vm, "claim", claimOutcome{}, call, false)
					continue
				}
				note(vm, "claim", claimOutcome{ran: ticket.Answer == nil, replayed: ticket.Answer != nil}, call, false)
				if ticket.Answer != nil {
					continue
				}
				call = time.Now()
				err = ticket.Record(ctx, Answer{Status: 200})
				note(vm, "record", claimOutcome{}, call, err != nil)
			}
		})
	}
	waiting.Wait()
	return history
}
