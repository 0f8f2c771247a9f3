package quarantine

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStanding(t *testing.T) {
	cases := []struct {
		name   string
		deaths []string
		after  time.Duration
		want   Standing
	}{
		{"none", nil, 0, Clear},
		{"one death", []string{"e1/1"}, 0, Suspect},
		{"one death told twice", []string{"e1/1", "e1/1"}, 0, Suspect},
		{"two deaths", []string{"e1/1", "e2/1"}, 0, Barred},
		{"same target twice", []string{"e1/1", "e1/2"}, 0, Barred},
		{"suspicion lapses", []string{"e1/1"}, suspectTime, Clear},
		{"bar lasts longer", []string{"e1/1", "e2/1"}, suspectTime, Barred},
		{"bar lapses", []string{"e1/1", "e2/1"}, barTime, Clear},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			book := NewBook()
			digest := Of("school", []byte("body"))
			for _, death := range test.deaths {
				book.Charge(digest, death, epoch)
			}
			if got := book.Standing(digest, epoch.Add(test.after)); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
			if got := book.Standing(Of("other", []byte("body")), epoch); got != Clear {
				t.Errorf("got %d for another account, want clear", got)
			}
		})
	}
}

func TestAnswerClearsSuspicionButNoBar(t *testing.T) {
	book := NewBook()
	digest := Of("school", []byte("body"))
	book.Charge(digest, "e1/1", epoch)
	book.Clear(digest)
	if got := book.Standing(digest, epoch); got != Clear {
		t.Errorf("got %d, want clear after an answer", got)
	}
	book.Charge(digest, "e1/1", epoch)
	book.Charge(digest, "e2/1", epoch)
	book.Clear(digest)
	if got := book.Standing(digest, epoch); got != Barred {
		t.Errorf("got %d, want barred", got)
	}
}

func TestSuspectsRunAlone(t *testing.T) {
	book := NewBook()
	if !book.Enter("e1", "a") || book.Enter("e1", "b") {
		t.Fatal("got two suspects at one target, want one")
	}
	book.Exit("e1")
	if !book.Enter("e1", "b") {
		t.Error("got no place after the first left, want one")
	}
}

func TestBookIsBounded(t *testing.T) {
	book := NewBook()
	for i := range maxEntries + 100 {
		book.Charge(Digest(fmt.Sprint(i)), "e1/1", epoch.Add(time.Duration(i)))
	}
	if got := len(book.entries); got > maxEntries {
		t.Errorf("got %d entries, want at most %d", got, maxEntries)
	}
}

// Several targets stop together: a request of the first is not at the next one
// when that dies too.
func TestSuspectRestsWhileTargetsStopTogether(t *testing.T) {
	const together = 250 * time.Millisecond
	book := NewBook()
	digest := Of("school", []byte("body"))
	if got := book.RestUntil(digest); !got.IsZero() {
		t.Errorf("got rest until %v for a clear request, want none", got)
	}
	book.Charge(digest, "e1/1", epoch)
	got := book.RestUntil(digest)
	if !got.After(epoch.Add(together)) {
		t.Errorf("got rest until %v, want past the death of the other targets", got)
	}
	if want := epoch.Add(time.Second); got.After(want) {
		t.Errorf("got rest until %v, want within a second: its caller waits", got)
	}
	book.Charge(digest, "e1/1", epoch.Add(together)) // told again by another VM
	if again := book.RestUntil(digest); !again.Equal(got) {
		t.Errorf("got rest until %v after a repeated notice, want %v", again, got)
	}
}
