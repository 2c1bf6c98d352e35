package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"redwingpoint.org/redwingpoint/internal/wait"
)

const (
	// answerTimeout bounds a call beyond the time that it may be held; the store
	// answers in a few milliseconds, across regions in some tens, and when it is
	// slow in some hundreds.
	answerTimeout = 500 * time.Millisecond
	// doubtTime is how long after a lost history only the newest answers are
	// accepted: cheap ones are seconds behind then.
	doubtTime = 15 * time.Second
	// minPause is the wait after the first failed call; it doubles up to MaxPause.
	minPause = 100 * time.Millisecond
)

// View is what a Follower keeps up to date. One goroutine calls it.
type View interface {
	// Replace sets all objects. Settled is when the view may take the absence of
	// an object as its removal.
	Replace(all Batch, settled time.Time)
	// Update applies changes; there may be none.
	Update(changes Batch, settled time.Time)
}

// Observer learns how the calls to the store go. It is called by one goroutine.
type Observer interface {
	// Called reports a call: its kind, how long it took and its error, if any.
	Called(op string, took time.Duration, changes int, err error)
	// Lost reports the first failed call after a good one, Regained the first
	// good one after a time of failures.
	Lost(err error)
	Regained(after time.Duration)
}

// Follower keeps a View up to date from a Source until its context ends.
type Follower struct {
	Source   Source
	View     View
	Observer Observer
	// WatchWait is how long the store may hold a watch without news. A watch that
	// the store cuts may stay silent until it is given up.
	WatchWait time.Duration
	// MaxPause bounds the wait between two failed calls, each of which has its price.
	MaxPause time.Duration
	// LapseGrace is how long removals wait after a time of failures, because entries
	// that lapsed meanwhile come back. It is counted from the beginning of the last
	// failed call: the store returned after that.
	LapseGrace time.Duration
	// Gather is how long news gathers at the store before the next watch, so that
	// changes which come together cost one call.
	Gather time.Duration
	// Link is shared by the followers of one store.
	Link *Link
	// Relayed, if set, reports whether peers that accept only the newest answers tell
	// this instance the news meanwhile, so that cheap answers do in a doubt.
	Relayed func() bool

	lostAt   time.Time
	calledAt time.Time
	failedAt time.Time
	failures int
	// verify is set if the next answer after a failure has to be the newest.
	verify  bool
	settled time.Time
}

// Run follows the source.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := f.list(ctx)
		for err == nil && ctx.Err() == nil {
			after, err = f.watch(ctx, after)
		}
	}
}

// list reads everything. After a failure it pauses before it returns the error.
func (f *Follower) list(ctx context.Context) (uint64, error) {
	callCtx, cancel, err := f.call(ctx, answerTimeout)
	if err != nil {
		return 0, err
	}
	defer cancel()
	startedAt := time.Now()
	batch, err := f.Source.List(callCtx)
	f.Observer.Called("list", time.Since(startedAt), len(batch.Objects), err)
	if err != nil {
		f.failed(ctx, err)
		return 0, err
	}
	f.succeeded()
	f.View.Replace(batch, f.settled)
	return batch.AsOf, nil
}

// watch waits for news once. Only a lost history is an error; other failures are
// tried again from the same revision.
func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	callCtx, cancel, err := f.call(ctx, f.WatchWait+answerTimeout)
	if err != nil {
		return after, err
	}
	defer cancel()
	hold := f.WatchWait
	if f.failures > 0 || f.verify {
		hold = 0
	}
	startedAt := time.Now()
	batch, err := f.Source.Watch(callCtx, after, hold, f.freshness())
	f.Observer.Called("watch", time.Since(startedAt), len(batch.Objects), err)
	var gone *HistoryGoneError
	switch {
	case errors.As(err, &gone):
		f.Link.doubt()
		f.succeeded()
		return 0, err
	case err != nil:
		f.failed(ctx, err)
		return after, nil
	}
	if f.failures == 0 {
		f.verify = false
	}
	f.succeeded()
	f.View.Update(batch, f.settled)
	if len(batch.Objects) > 0 {
		wait.For(ctx, f.Gather)
	}
	return max(after, batch.AsOf), nil
}

// call waits until the link may be used and returns the context of a call.
func (f *Follower) call(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, error) {
	linked, unlink, err := f.Link.enter(ctx, f)
	if err != nil {
		return nil, nil, err
	}
	f.calledAt = time.Now()
	callCtx, cancel := context.WithTimeout(linked, timeout)
	return callCtx, func() { cancel(); unlink() }, nil
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		f.lostAt = time.Now()
		f.Observer.Lost(err)
	}
	f.verify = true
	f.failedAt = f.calledAt
	if !f.Link.lost(f) {
		f.failures++
		return
	}
	backoff := min(minPause<<min(f.failures, 10), f.MaxPause)
	f.failures++
	wait.For(ctx, backoff*3/4+rand.N(backoff/4))
}

func (f *Follower) freshness() Freshness {
	switch {
	case f.failures > 0:
		return Cheap
	case f.verify:
		return Newest
	case f.Link.Doubted() && (f.Relayed == nil || !f.Relayed()):
		return Newest
	}
	return Cheap
}

func (f *Follower) succeeded() {
	f.Link.regained(f)
	if f.failures == 0 {
		return
	}
	f.failures = 0
	f.settled = f.failedAt.Add(f.LapseGrace)
	f.Observer.Regained(time.Since(f.lostAt))
}
