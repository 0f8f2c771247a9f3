// Package callers tests callers that send malformed, excessive or incomplete
// requests.
package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/test/harness"
)

// exchange sends raw bytes and returns the status and outcome of the answer, or 0 if
// the connection was closed without an answer.
func exchange(t *testing.T, address, text string) (int, refusal.Outcome) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, text) // the server may close the connection before all is written
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	return response.StatusCode, refusal.Outcome(response.Header.Get(refusal.OutcomeHeader))
}

// post returns the bytes of a POST request.
func post(path, key, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, key, len(body), body)
}

func TestBadInputIsRefusedAndDoesNotAffectOthers(t *testing.T) {
	layout := bench.Small(1)
	layout.Adjust = func(vm *settings.VM) {
		vm.Limits.MaxBodyBytes = 64 << 10
		vm.Limits.HeaderDeadline = settings.Span(300 * time.Millisecond)
	}
	fleet, callers := harness.Start(t, layout)
	address := fleet.VMs[0].Settings.Caller.Address.String()
	key := fleet.Layout.Accounts[0].Key
	const path = "/v1/chat/completions"
	good := string(bench.Chat("ledger", "hello", 4, false))
	cases := []struct {
		name, text string
		statuses   []int // accepted statuses; 0 for a closed connection
	}{
		{"malformed JSON", post(path, key, `{"model":`), []int{400}},
		{"not an object", post(path, key, `[1]`), []int{400}},
		{"wrong method", "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n", []int{405}},
		{"unknown path", post("/v2/nothing", key, "{}"), []int{404}},
		{"body too large", post(path, key, strings.Repeat("x", 65<<10)), []int{413}},
		{"body announced too large", "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", []int{413, 400}},
		{"header flood", "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-Flood: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 2000) + "\r\n", []int{413, 0}},
		{"not HTTP", "hello there\r\n\r\n", []int{400, 0}},
		{"two lengths", "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\n{}", []int{400, 401, 0}},
		{"slow sender", "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{", []int{400, 0}},
		{"incomplete header", "POST " + path + " HTTP/1.1\r\nHos", []int{400, 0}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got, outcome := exchange(t, address, test.text)
			accepted := false
			for _, status := range test.statuses {
				accepted = accepted || status == got
			}
			if !accepted {
				t.Errorf("got status %d, want one of %v", got, test.statuses)
			}
			if got != 0 && outcome != refusal.NotRun {
				t.Errorf("got outcome %q, want %s", outcome, refusal.NotRun)
			}
			if other := harness.SendChat(fleet, callers, fleet.VMs[0], []byte(good)); !other.Complete {
				t.Errorf("got %+v for another caller, want an answer", other)
			}
		})
	}
}

// A caller that opens many connections and sends nothing must not block others.
func TestIdleConnectionsDoNotBlockOthers(t *testing.T) {
	fleet, callers := harness.Start(t, bench.Small(1))
	for range 300 {
		conn, err := net.Dial("tcp", fleet.VMs[0].Settings.Caller.Address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	if got := harness.SendChat(fleet, callers, fleet.VMs[0], bench.Chat("ledger", "hello", 4, false)); !got.Complete {
		t.Errorf("got %+v, want an answer", got)
	}
}
