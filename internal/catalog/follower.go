package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// watchWait is how long the store may hold a watch without news. A watch that
	// the store cuts may stay silent; what it would have told has to be in force
	// 3 s after the store's trouble, by when the watch was given up, the history
	// found lost and everything listed.
	watchWait = 1600 * time.Millisecond
	// answerTimeout bounds a call beyond the time that it may be held; the store
	// answers in a few milliseconds, across regions in some tens, and when it is
	// slow in some hundreds.
	answerTimeout = 500 * time.Millisecond
	// doubtTime is how long after a lost history only the newest answers are
	// accepted: cheap ones are seconds behind then.
	doubtTime = 15 * time.Second
	// minPause and maxPause bound the wait between two failed calls. The upper
	// bound leaves room for LapseGrace within the 3 s after which a machine that
	// has its path back is held to what the store says.
	minPause = 100 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// gatherTime is how long news gathers at the store before the next watch, so
	// that changes which come together cost one call.
	gatherTime = 300 * time.Millisecond
)

// View is what a Follower keeps up to date. One goroutine calls it.
type View interface {
	// Replace sets all objects. Settled is when the view may take the absence of
	// an object as its removal.
	Replace(objects []Object, settled time.Time)
	// Update applies changes.
	Update(changes []Object, settled time.Time)
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
	// LapseGrace is how long after a time of failures removals wait, because
	// entries that lapsed meanwhile come back.
	LapseGrace time.Duration

	lostAt   time.Time
	failures int
	// verify is set if the next answer after a failure has to be the newest.
	verify bool
	// doubtedUntil is until when cheap answers are not accepted.
	doubtedUntil time.Time
	settled      time.Time
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
	callCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	startedAt := time.Now()
	batch, err := f.Source.List(callCtx)
	f.Observer.Called("list", time.Since(startedAt), len(batch.Objects), err)
	if err != nil {
		f.failed(ctx, err)
		return 0, err
	}
	f.succeeded()
	f.View.Replace(batch.Objects, f.settled)
	return batch.AsOf, nil
}

// watch waits for news once. Only a lost history is an error; other failures are
// tried again from the same revision.
func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	wait := watchWait
	if f.failures > 0 || f.verify {
		wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	startedAt := time.Now()
	batch, err := f.Source.Watch(callCtx, after, wait, f.freshness())
	f.Observer.Called("watch", time.Since(startedAt), len(batch.Objects), err)
	var gone *HistoryGoneError
	switch {
	case errors.As(err, &gone):
		f.doubt()
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
	if len(batch.Objects) > 0 {
		f.View.Update(batch.Objects, f.settled)
		pause(ctx, gatherTime)
	}
	return max(after, batch.AsOf), nil
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
	backoff := min(minPause<<min(f.failures, 10), maxPause)
	f.failures++
	pause(ctx, backoff/2+rand.N(backoff/2))
}

func (f *Follower) doubt() { f.doubtedUntil = time.Now().Add(doubtTime) }

func (f *Follower) freshness() Freshness {
	if f.failures == 0 && (f.verify || time.Now().Before(f.doubtedUntil)) {
		return Newest
	}
	return Cheap
}

func (f *Follower) succeeded() {
	if f.failures == 0 {
		return
	}
	f.failures = 0
	f.settled = time.Now().Add(f.LapseGrace)
	f.Observer.Regained(time.Since(f.lostAt))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
