package chivehillclock

import (
	"context"
	"time"
)

// Every calls fn once per period until ctx is done. Calls do not overlap.
func Every(ctx context.Context, period Millis, fn func()) {
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}
