// Package wait provides pauses that end early when a context ends.
package wait

import (
	"context"
	"time"
)

// For blocks for the duration d or until the context ends, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
