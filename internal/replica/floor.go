package replica

import (
	"context"
	"fmt"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/wait"
)

// floorGrace is how long an eventually consistent watch may remain behind the floor before
// the store is read again. Such reads lag by milliseconds as a rule.
const floorGrace = 100 * time.Millisecond

// BehindFloorError reports a watch that was cancelled because the store is known to have
// changed since its start revision and the watch didn't tell of it.
type BehindFloorError struct{ After, Floor uint64 }

func (e *BehindFloorError) Error() string {
	return fmt.Sprintf("the watch after revision %d is behind revision %d", e.After, e.Floor)
}

// Floor is the store's latest revision that a strong read has shown. The followers of one
// store share it: the store counts the changes of all kinds by one counter, so a strong read
// of one kind shows whether the view of another kind may be old. It is safe for concurrent
// use; the zero value is ready.
type Floor struct {
	mu       sync.Mutex
	revision uint64
	// raised is closed when the floor rises; nil while nobody waits.
	raised chan struct{}
}

// raise records the revision that a strong read reflects.
func (f *Floor) raise(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision {
		return
	}
	f.revision = revision
	if f.raised != nil {
		close(f.raised)
		f.raised = nil
	}
}

// latest returns the floor and a channel that is closed when it rises.
func (f *Floor) latest() (uint64, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.raised == nil {
		f.raised = make(chan struct{})
	}
	return f.revision, f.raised
}

// cancelBehind cancels a watch that starts after a revision with *BehindFloorError if the
// floor is above the revision and the watch hasn't returned floorGrace later.
func (f *Floor) cancelBehind(ctx context.Context, after uint64, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		revision, raised := f.latest()
		if revision > after {
			wait.For(ctx, floorGrace)
			cancel(&BehindFloorError{After: after, Floor: revision})
			return
		}
		select {
		case <-raised:
		case <-ctx.Done():
		}
	}
}
