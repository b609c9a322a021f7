package chivehillclock

import (
	"context"
	"time"
)

// Every calls do once in each period until ctx ends. Calls do not overlap.
func Every(ctx context.Context, period Millis, do func()) {
	t := time.NewTicker(period.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			do()
		}
	}
}
