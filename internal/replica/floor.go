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
type BehindFloorError struct{ After, Floor Position }

func (e *BehindFloorError) Error() string {
	return fmt.Sprintf("the watch after revision %v is behind revision %v", e.After, e.Floor)
}

// Floor is the store's latest position that a strong read has shown. The followers of one
// store share it: the store counts the changes of all kinds by one counter, so a strong read
// of one kind shows whether the view of another kind may be old. It is safe for concurrent
// use; the zero value is ready.
type Floor struct {
	mu       sync.Mutex
	revision Position
	// unchangedSince is a revision after which, up to the floor, only objects of the kinds
	// read strongly have changed. Views that reflect it are up to date.
	unchangedSince Position
	// raisedAt is when unchangedSince rose last.
	raisedAt time.Time
	// raised is closed when the floor rises; nil while nobody waits.
	raised chan struct{}
}

// raise records a strong watch that started after a revision.
func (f *Floor) raise(after Position, batch Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if batch.AsOf <= f.revision {
		return
	}
	before := f.unchangedSince
	switch explained := changeCount(after, batch) == uint64(batch.AsOf-after); {
	case !explained:
		f.unchangedSince = batch.AsOf
	case after > f.revision:
		f.unchangedSince = after
	default:
		f.unchangedSince = min(f.unchangedSince, after)
	}
	f.revision = batch.AsOf
	if f.unchangedSince > before {
		f.raisedAt = time.Now()
	}
	if f.raised != nil {
		close(f.raised)
		f.raised = nil
	}
}

// latest returns the floor, or 0 before the first strong read.
func (f *Floor) latest() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// changeCount returns the number of revisions after the given one at which objects of the
// batch changed. Each change has a revision of its own.
func changeCount(after Position, batch Batch) uint64 {
	revisions := make(map[Position]bool, len(batch.Objects))
	for _, o := range batch.Objects {
		if o.Revision > after && o.Revision <= batch.AsOf {
			revisions[o.Revision] = true
		}
	}
	return uint64(len(revisions))
}

// check reports whether a view that reflects a revision may lack changes up to the floor. It
// returns the floor and a channel that is closed when it rises.
func (f *Floor) check(asOf Position) (floor Position, behind bool, raised <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.raised == nil {
		f.raised = make(chan struct{})
	}
	return f.revision, asOf < f.unchangedSince, f.raised
}

// lags reports whether a read that ends now and reflects a position lacks changes that a strong
// read showed more than floorGrace ago.
func (f *Floor) lags(asOf Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return asOf < f.unchangedSince && time.Since(f.raisedAt) > floorGrace
}

// cancelBehind cancels a watch that starts after a revision with *BehindFloorError if the view
// may lack changes up to the floor and the watch hasn't returned floorGrace later.
func (f *Floor) cancelBehind(ctx context.Context, after Position, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		floor, behind, raised := f.check(after)
		if behind {
			wait.For(ctx, floorGrace)
			cancel(&BehindFloorError{After: after, Floor: floor})
			return
		}
		select {
		case <-raised:
		case <-ctx.Done():
		}
	}
}
