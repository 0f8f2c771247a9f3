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
		budget.RecordRequest(now)
		if budget.Allow(now) {
			allowed++
		}
	}
	if got, want := allowed, capacity+int(10_000*retryShare)+10*minRetriesPerSecond+1; got > want {
		t.Errorf("got %d retries for 10000 failing requests, want at most %d", got, want)
	}
}

func TestBudgetAllowsRetriesOfOneTargetDeath(t *testing.T) {
	budget := NewBudget(epoch)
	for i := range capacity {
		if !budget.Allow(epoch) {
			t.Fatalf("retry %d was not allowed, want %d at once", i, capacity)
		}
	}
	if budget.Allow(epoch) {
		t.Error("got a retry beyond the capacity, want none")
	}
}

func TestBackoffStaysWithinItsBounds(t *testing.T) {
	backoff := Backoff{Initial: 10 * time.Millisecond, Max: time.Second}
	for attempt := range 40 {
		limit := backoff.Max
		if attempt < 7 {
			limit = min(backoff.Initial<<attempt, backoff.Max)
		}
		for range 20 {
			got := backoff.Next(attempt, epoch).Sub(epoch)
			if got < 0 || got > limit {
				t.Fatalf("got a pause of %v at attempt %d, want 0 to %v", got, attempt, limit)
			}
		}
	}
}
