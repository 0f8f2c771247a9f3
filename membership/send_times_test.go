package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSendTimes(t *testing.T) {
	type message struct {
		boot      string
		uptime    time.Duration // of the sender
		notBefore time.Duration // after the start of the receiver, as all below
		read      time.Duration
		sentAt    time.Duration
		exact     bool
		checkDue  bool
	}
	const second = time.Second
	for _, test := range []struct {
		name     string
		messages []message
	}{
		{"call right after the start of the receiver", []message{{"b", 50 * second, 0, second / 10, 0, true, false}}},
		{"call of an unknown process", []message{{"b", 50 * second, 0, 20 * second, 0, false, true}}},
		{"reply", []message{{"b", 50 * second, 20 * second, 20 * second, 20 * second, true, false}}},
		{"reply that waited while the receiver was frozen", []message{{"b", 50 * second, 20 * second, 40 * second, 20 * second, false, true}}},
		{"call after a reply", []message{
			{"b", 50 * second, 20 * second, 20 * second, 20 * second, true, false},
			{"b", 53 * second, 0, 23 * second, 23 * second, true, false},
		}},
		{"late call after a reply", []message{
			{"b", 50 * second, 20 * second, 20 * second, 20 * second, true, false},
			{"b", 53 * second, 0, 35 * second, 23 * second, true, true},
			{"b", 65 * second, 0, 35 * second, 35 * second, true, false},
		}},
		{"late call before a prompt one", []message{
			{"b", 50 * second, 0, 35 * second, 0, false, true},
			{"b", 65 * second, 0, 35 * second, 15 * second, false, true},
		}},
		{"new process", []message{
			{"b", 50 * second, 20 * second, 20 * second, 20 * second, true, false},
			{"c", second, 0, 22 * second, 0, false, true},
		}},
		{"sender's clock stood still for 5 s", []message{
			{"b", 50 * second, 20 * second, 20 * second, 20 * second, true, false},
			{"b", 52 * second, 0, 27 * second, 22 * second, true, true},
			{"b", 53 * second, 28 * second, 28 * second, 28 * second, true, false},
			{"b", 54 * second, 0, 29 * second, 29 * second, true, false},
		}},
		{"receiver's clock stood still for 5 s", []message{
			{"b", 50 * second, 20 * second, 20 * second, 20 * second, true, false},
			{"b", 57 * second, 0, 22 * second, 0, false, true},
			{"b", 58 * second, 23 * second, 23 * second, 23 * second, true, false},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sendTimes := NewSendTimes()
			for i, message := range test.messages {
				sentAt, exact := sendTimes.Record("vm", message.boot, message.uptime, at(0).Add(message.notBefore), at(0).Add(message.read))
				if got := sentAt.Sub(at(0)); got != message.sentAt || exact != message.exact {
					t.Errorf("message %d: got sent at %v, exact %t, want %v, %t", i, got, exact, message.sentAt, message.exact)
				}
				if got := sendTimes.CheckDue("vm"); got != message.checkDue {
					t.Errorf("message %d: got a check due %t, want %t", i, got, message.checkDue)
				}
			}
		})
	}
}

// However long messages wait, an age must never count
// from a later time than the one at which its message was sent, nor from one that is much
// earlier if it counts as exact.
func TestSendTimesAreNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sendTimes := NewSendTimes()
		began := at(0).Add(-time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "uptime")))
		delays := rapid.SampledFrom([]time.Duration{0, 100 * time.Microsecond, 50 * time.Millisecond, time.Second, time.Minute})
		now := at(0)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			calledAt := at(0)
			if rapid.Bool().Draw(t, "reply") {
				calledAt = now
				now = now.Add(delays.Draw(t, "request"))
			}
			sentAt := now
			now = now.Add(delays.Draw(t, "delay"))
			got, exact := sendTimes.Record("vm", "b", sentAt.Sub(began), calledAt, now)
			if got.After(sentAt) || exact && sentAt.Sub(got) > MaxSendError {
				t.Fatalf("got sent at %v, exact %t, want %v", got, exact, sentAt)
			}
		}
	})
}
