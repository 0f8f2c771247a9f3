package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
)

// Guards against requests that crash targets: a notice that a part of prompts was answered is
// read late, after the part was blocked, and ends the block.
func TestNoticeReadLateDoesNotEndBlockOfPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		gateway := startVM(ctx, "vm", store)
		answered := peer.Notice{AnsweredParts: []peer.PartAnswer{{Part: "p"}}}
		sleep(5 * time.Second)
		gateway.HandleNotice(peer.Notice{BlockedParts: []peer.BlockedPart{{Part: "p", Left: time.Minute}}})
		sleep(time.Second)
		gateway.HandleNotice(answered)
		if _, blocked := gateway.parts.Blocked([]string{"p"}, time.Now()); !blocked {
			t.Error("got a part that is not blocked, want it blocked: it was answered 6 s ago, before it was blocked")
		}
	})
}

// Guards against parts that stay blocked though they were answered since: a notice counts
// from when it was sent, as far as that is known, and once a reply of the sender tells it.
func TestNoticeOfAnswerCountsFromWhenItWasSent(t *testing.T) {
	call := func(from, to *Gateway) {
		from.mergeHeartbeat(to.HandleHeartbeat(from.newHeartbeat("")), time.Now())
	}
	for _, test := range []struct {
		name        string
		known       bool          // whether the receiver has called the sender before
		readAfter   time.Duration // when the notice is read, after the part is blocked; 0 if blocked before it is sent
		wantBlocked bool
		wantLater   bool // once the receiver has called the sender
	}{
		{"prompt notice of a known VM", true, 0, false, false},
		{"late notice of a known VM", true, 10 * time.Second, true, true},
		{"prompt notice of an unknown VM", false, 0, true, false},
		{"late notice of an unknown VM", false, 10 * time.Second, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				sender, receiver := startVM(ctx, "sender", newFakeStore()), startVM(ctx, "receiver", newFakeStore())
				sleep(time.Minute)
				if test.known {
					call(receiver, sender)
				}
				block := func() {
					receiver.HandleNotice(peer.Notice{BlockedParts: []peer.BlockedPart{{Part: "p", Left: time.Hour}}})
				}
				blocked := func() bool {
					synctest.Wait()
					_, blocked := receiver.parts.Blocked([]string{"p"}, time.Now())
					return blocked
				}
				if test.readAfter == 0 {
					block()
				}
				sleep(time.Second)
				notice := peer.Notice{AnsweredParts: []peer.PartAnswer{{Part: "p"}}}
				sender.setSender(&notice)
				if test.readAfter > 0 {
					sleep(time.Second)
					block()
					sleep(test.readAfter)
				}
				readAt := time.Now()
				receiver.HandleNotice(notice)
				if got := blocked(); got != test.wantBlocked {
					t.Errorf("got blocked %t after the notice, want %t", got, test.wantBlocked)
				}
				call(receiver, sender)
				receiver.mergeLateAnswers(notice, readAt)
				if got := blocked(); got != test.wantLater {
					t.Errorf("got blocked %t after the sender's reply, want %t", got, test.wantLater)
				}
			})
		})
	}
}
