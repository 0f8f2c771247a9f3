package retry

import (
	"context"
	"time"
)

// Wait blocks until the given time. It returns false when the context ended
// first.
func Wait(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
