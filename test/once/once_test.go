// Package once tests calls that may run only once.
package once

import (
	"fmt"
	"sync"
	"testing"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/standin"
	"github.com/bramleygw/bramleygw/test/harness"
)

// Guarantees: a non-idempotent request runs at most once; a call refused
// as "not run" has not run.
func TestSignOffRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*bench.Fleet, *standin.Service)
		// runs is how often the call must have run when all answers have arrived.
		runs int
	}{
		{"no fault", func(*bench.Fleet, *standin.Service) {}, 1},
		{"service's answer lost", func(_ *bench.Fleet, service *standin.Service) { service.LoseAnswers.Store(1) }, 1},
		{"platform's answers lost", func(fleet *bench.Fleet, _ *standin.Service) {
			for _, vm := range fleet.VMs {
				vm.Endpoint.LoseAnswers.Store(2)
			}
		}, 1},
		{"calls to the platform lost", func(fleet *bench.Fleet, _ *standin.Service) {
			for _, vm := range fleet.VMs {
				vm.Endpoint.LoseCalls.Store(2)
			}
		}, 1},
		{"platform down", func(fleet *bench.Fleet, _ *standin.Service) {
			for _, vm := range fleet.VMs {
				vm.Endpoint.Disconnect()
			}
		}, 0},
		{"platform down for one VM", func(fleet *bench.Fleet, _ *standin.Service) { fleet.VMs[0].Endpoint.Disconnect() }, 1},
		{"service down", func(_ *bench.Fleet, service *standin.Service) { service.Stop() }, 0},
		{"service's and platform's answers lost", func(fleet *bench.Fleet, service *standin.Service) {
			service.LoseAnswers.Store(1)
			for _, vm := range fleet.VMs {
				vm.Endpoint.LoseAnswers.Store(1)
			}
		}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fleet, callers := harness.Start(t, bench.Small(1))
			service := fleet.Services[0]
			test.fault(fleet, service)
			const body = `{"reimburse":"20.00"}`
			answers := sendToAllVMs(fleet, callers, body, "payment-1")
			got := service.Runs(body)
			if got != test.runs {
				t.Errorf("got %d runs, want %d", got, test.runs)
			}
			for i, answer := range answers {
				if answer.Err != nil {
					t.Errorf("call %d: got %v, want an answer or a refusal", i, answer.Err)
				}
				// "In progress" is correct as well: another attempt may not have ended yet.
				if got == 0 && answer.Outcome != refusal.NotRun && answer.Refusal != refusal.InProgress {
					t.Errorf("call %d: got %+v, want not run", i, answer)
				}
			}
		})
	}
}

// sendToAllVMs sends the same call to every VM, twice concurrently, and then once
// more to one VM after another, as a caller that retries would. The answers to the
// sequential calls come last.
func sendToAllVMs(fleet *bench.Fleet, callers *bench.Callers, body, key string) []bench.Answer {
	var mu sync.Mutex
	var answers []bench.Answer
	send := func(vm *bench.VM) {
		got := callers.Send(vm.Settings.Caller.Address, fleet.Layout.Accounts[0].Key, "/signoffs/day", []byte(body), key)
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, got)
	}
	var group sync.WaitGroup
	for _, vm := range fleet.VMs {
		group.Go(func() { send(vm) })
		group.Go(func() { send(vm) })
	}
	group.Wait()
	for _, vm := range fleet.VMs {
		send(vm)
	}
	return answers
}

func TestRetryGetsRecordedAnswer(t *testing.T) {
	fleet, callers := harness.Start(t, bench.Small(1))
	answers := sendToAllVMs(fleet, callers, "first", "key-1")
	last := answers[len(answers)-3:]
	for i, got := range last {
		if got.Status != 200 || got.Text != last[0].Text {
			t.Errorf("retry %d: got %+v, want the recorded answer", i, got)
		}
	}
	other := callers.Send(fleet.VMs[1].Settings.Caller.Address, fleet.Layout.Accounts[0].Key, "/signoffs/day", []byte("second"), "key-1")
	if other.Refusal != refusal.IdempotencyKeyReused {
		t.Errorf("got %+v, want %s", other, refusal.IdempotencyKeyReused)
	}
	otherAccount := callers.Send(fleet.VMs[1].Settings.Caller.Address, fleet.Key("other"), "/signoffs/day", []byte("third"), "key-1")
	if otherAccount.Status != 200 || otherAccount.Text == last[0].Text {
		t.Errorf("got %+v, want idempotency keys to be separate for each account", otherAccount)
	}
}

// A call without an idempotency key is sent once and never retried.
func TestCallWithoutIdempotencyKeyIsSentOnce(t *testing.T) {
	fleet, callers := harness.Start(t, bench.Small(1))
	service := fleet.Services[0]
	for i := range 6 {
		service.LoseAnswers.Store(1)
		body := fmt.Sprint("call ", i)
		got := callers.Send(fleet.VMs[i%3].Settings.Caller.Address, fleet.Layout.Accounts[0].Key, "/signoffs/day", []byte(body), "")
		if got.Refusal != refusal.OutcomeUnknown || got.Outcome != refusal.Unknown {
			t.Errorf("got %+v, want %s", got, refusal.OutcomeUnknown)
		}
		if runs := service.Runs(body); runs != 1 {
			t.Errorf("got %d runs, want 1", runs)
		}
	}
}

func TestIdempotentCallIsRetried(t *testing.T) {
	fleet, callers := harness.Start(t, bench.Small(1))
	fleet.Services[1].LoseAnswers.Store(1)
	got := callers.Send(fleet.VMs[0].Settings.Caller.Address, "", "/rotas/today", []byte("x"), "")
	if got.Status != 200 {
		t.Errorf("got %+v, want the answer to the second attempt", got)
	}
}
