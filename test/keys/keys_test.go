// Package keys tests keys that are withdrawn or misused.
package keys

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/test/harness"
)

const keyName = "school-key"

// Guarantee: a withdrawn key stops working within seconds, even for callers
// that are already connected.
func TestWithdrawnKeyStops(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*bench.Fleet)
	}{
		{"no fault", func(*bench.Fleet) {}},
		{"platform down for some VMs", func(fleet *bench.Fleet) { fleet.VMs[1].Endpoint.Disconnect(); fleet.VMs[2].Endpoint.Disconnect() }},
		{"platform down for the operator's VM", func(fleet *bench.Fleet) { fleet.VMs[0].Endpoint.Disconnect() }},
		{"platform down for all", func(fleet *bench.Fleet) {
			for _, vm := range fleet.VMs {
				vm.Endpoint.Disconnect()
			}
		}},
		{"answer to the withdrawal lost", func(fleet *bench.Fleet) { fleet.VMs[0].Endpoint.LoseAnswers.Store(1) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			layout := bench.Small(3)
			layout.Decode = 200 * time.Millisecond // so slow that the streams still run at the withdrawal
			fleet, callers := harness.Start(t, layout)
			long := bench.Chat("ledger", "a long stream", 48, true)
			var group sync.WaitGroup
			streams := make([]bench.Answer, len(fleet.VMs))
			for i, vm := range fleet.VMs {
				group.Go(func() { streams[i] = harness.SendChat(fleet, callers, vm, long) })
			}
			harness.Await(t, "streams on all VMs", func() bool {
				for _, vm := range fleet.VMs {
					if vm.Router.FleetStatus().Requests == 0 {
						return false
					}
				}
				return true
			})
			test.fault(fleet)
			if err := fleet.Operator(fleet.VMs[0]).Do("POST", "keys/"+keyName+"/withdraw", nil, nil); err != nil {
				t.Fatal(err)
			}
			group.Wait() // every stream has ended
			for i, got := range streams {
				if got.Complete || got.Refusal != refusal.KeyWithdrawn {
					t.Errorf("VM %d: got %+v, want the stream to end with %s", i, got, refusal.KeyWithdrawn)
				}
			}
			for i, vm := range fleet.VMs {
				got := harness.SendChat(fleet, callers, vm, long) // on the connections of the earlier requests
				if got.Refusal != refusal.KeyWithdrawn || got.Outcome != refusal.NotRun {
					t.Errorf("VM %d: got %+v, want %s, not run", i, got, refusal.KeyWithdrawn)
				}
			}
		})
	}
}

// A withdrawal made while the platform was down must not be lost when the VM that
// accepted it stops.
func TestWithdrawalOutlivesItsVM(t *testing.T) {
	fleet, callers := harness.Start(t, bench.Small(1))
	for _, vm := range fleet.VMs {
		vm.Endpoint.Disconnect()
	}
	harness.Await(t, "the VM to notice that the platform is down", func() bool { return len(fleet.VMs[1].Router.FleetStatus().Degraded) > 0 })
	if err := fleet.Operator(fleet.VMs[0]).Do("POST", "keys/"+keyName+"/withdraw", nil, nil); err != nil {
		t.Fatal(err)
	}
	if err := fleet.Shutdown(fleet.VMs[0]); err != nil {
		t.Fatal(err)
	}
	for _, vm := range fleet.VMs {
		if err := vm.Endpoint.Reconnect(); err != nil {
			t.Fatal(err)
		}
	}
	reader := fleet.VMs[0].Endpoint // reads what the platform has stored
	harness.Await(t, "the platform to store the withdrawal", func() bool { return fleet.Withdrawn(reader, keyName) })
	if err := fleet.Boot(fleet.VMs[0]); err != nil {
		t.Fatal(err)
	}
	harness.Await(t, "the VM to be ready", fleet.VMs[0].Router.Ready)
	got := harness.SendChat(fleet, callers, fleet.VMs[0], bench.Chat("ledger", "hello", 4, false))
	if got.Refusal != refusal.KeyWithdrawn {
		t.Errorf("got %+v, want %s", got, refusal.KeyWithdrawn)
	}
}

// Guarantees: a request runs only for the client account whose key it carries; no
// target ever receives a caller's key.
func TestKeysAreCheckedAndNotDisclosed(t *testing.T) {
	var logs syncBuffer
	layout := bench.Small(1)
	layout.Logs, layout.LogLevel = &logs, "debug"
	fleet, callers := harness.Start(t, layout)
	address := fleet.VMs[0].Settings.Caller.Address
	key := fleet.Layout.Accounts[0].Key
	body := bench.Chat("ledger", "hello", 8, false)
	cases := []struct {
		name, key, path string
		body            []byte
		status          int
		code            refusal.Code
	}{
		{"valid key", key, completion.Chat.Path(), body, 200, ""},
		{"no key", "", completion.Chat.Path(), body, 401, refusal.MissingKey},
		{"unknown key", "bgw-x", completion.Chat.Path(), body, 401, refusal.InvalidKey},
		{"key cut short", key[:len(key)-1], completion.Chat.Path(), body, 401, refusal.InvalidKey},
		{"very long key", strings.Repeat("k", 2000), completion.Chat.Path(), body, 401, refusal.InvalidKey},
		{"key in the body", key, completion.Chat.Path(), bench.Chat("ledger", "my key is "+key, 8, false), 400, refusal.BadRequest},
		{"key in a service's path", key, "/signoffs/?key=" + key, []byte("x"), 400, refusal.BadRequest},
		{"open route without a key", "", "/rotas/today", []byte("x"), 200, ""},
		{"open route with a key", key, "/rotas/today", []byte("x"), 200, ""},
		{"keyed route without a key", "", "/signoffs/day", []byte("x"), 401, refusal.MissingKey},
		{"model that does not exist", key, completion.Chat.Path(), bench.Chat("secret", "hello", 8, false), 404, refusal.NotFound},
	}
	for _, test := range cases {
		got := callers.Send(address, test.key, test.path, test.body, "")
		if got.Status != test.status || got.Refusal != test.code {
			t.Errorf("%s: got %d %q %v, want %d %q", test.name, got.Status, got.Refusal, got.Err, test.status, test.code)
		}
	}
	for _, engine := range fleet.Engines {
		if got := engine.SeenKeys.Load(); got != 0 {
			t.Errorf("got %d requests with a key at an engine, want none", got)
		}
	}
	for _, service := range fleet.Services {
		if got := service.SeenKeys.Load(); got != 0 {
			t.Errorf("got %d requests with a key at a service, want none", got)
		}
	}
	checkSecrets(t, fleet, &logs, key)
}

// checkSecrets checks that neither the operator API nor the logs disclose the key or
// the operator key.
func checkSecrets(t *testing.T, fleet *bench.Fleet, logs *syncBuffer, key string) {
	t.Helper()
	vm := fleet.VMs[0]
	if len(logs.bytes()) == 0 {
		t.Error("got no logs to search, want some")
	}
	var shown []byte
	for _, path := range []string{"keys", "status", "audits", "client_accounts", "../debug/vars"} {
		var text any
		if err := fleet.Operator(vm).Do("GET", path, nil, &text); err != nil {
			t.Fatal(err)
		}
		shown = append(shown, bench.JSON(text)...)
	}
	shown = append(shown, logs.bytes()...)
	for _, secret := range []string{key, fleet.OperatorKey} {
		if bytes.Contains(shown, []byte(secret)) {
			t.Errorf("got a key in an answer to operators or in the logs, want it in neither")
		}
	}
}

// syncBuffer collects the logs of a running VM. It is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex // guards text
	text bytes.Buffer
}

// Write implements io.Writer.
func (buffer *syncBuffer) Write(text []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.text.Write(text)
}

func (buffer *syncBuffer) bytes() []byte {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return bytes.Clone(buffer.text.Bytes())
}
