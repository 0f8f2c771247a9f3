package retry

import (
	"testing"
	"time"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBudgetBoundsRetries(t *testing.T) {
	budget := NewBudget(epoch)
	allowed := 0
	for i := range 10_000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond) // 10 s
		budget.Request(now)
		if budget.Allow(now) {
			allowed++
		}
	}
	if got, want := allowed, reserve+int(10_000*share)+10*trickle+1; got > want {
		t.Errorf("got %d retries for 10000 failing requests, want at most %d", got, want)
	}
}

func TestBudgetLetsOneDeathPass(t *testing.T) {
	budget := NewBudget(epoch)
	for i := range reserve {
		if !budget.Allow(epoch) {
			t.Fatalf("got no retry %d, want %d at once", i, reserve)
		}
	}
	if budget.Allow(epoch) {
		t.Error("got a retry beyond the reserve, want none")
	}
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	backoff := Backoff{First: 10 * time.Millisecond, Last: time.Second}
	for attempt := range 40 {
		limit := backoff.Last
		if attempt < 7 {
			limit = min(backoff.First<<attempt, backoff.Last)
		}
		for range 20 {
			got := backoff.Next(attempt, epoch).Sub(epoch)
			if got < 0 || got > limit {
				t.Fatalf("got a pause of %v at attempt %d, want 0 to %v", got, attempt, limit)
			}
		}
	}
}
