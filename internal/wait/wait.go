// Package wait holds pauses that end early with a context.
package wait

import (
	"context"
	"time"
)

// For waits until a time has passed or the context ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
