package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"redwingpoint.org/redwingpoint/internal/wait"
)

const (
	// responseTimeout is how long a call may wait for the first part of its response, in
	// addition to the time for which the store may hold a watch, and for each further part.
	// The store responds in a few milliseconds, in tens of milliseconds across regions, and
	// in hundreds when it is slow.
	responseTimeout = 500 * time.Millisecond
	// lateWatchTimeout is how long the response to a strong watch may be missing after the time
	// for which the store may hold it. Then the changes are read by another call, before the
	// store counts as lost: a watch that was cut off never responds.
	lateWatchTimeout = 150 * time.Millisecond
	// transferTimeout bounds the transfer of a response after its first part. A document of
	// the maximum size, 1 MiB, takes 0.9 s over a link of 10 Mbit/s that carries nothing else.
	transferTimeout = 5 * time.Second
	// maxSupersededBytes is the size of superseded versions in a watch's response above which
	// the objects are listed next: a list has the latest version of each alone.
	maxSupersededBytes = 64 << 10
	// initialBackoff is the delay after the first failed call; it doubles up to MaxBackoff.
	initialBackoff = 100 * time.Millisecond
	// behindWatchWait is how long the store may hold the watch that reads a change of which
	// a relay has told. Eventually consistent reads have it within milliseconds as a rule.
	behindWatchWait = 200 * time.Millisecond
)

// Relay tells a Follower when peers relay the store's changes, so that it need not watch
// the store itself.
type Relay interface {
	// Await blocks while a peer relays the changes and the view holds them. It returns at
	// once if no peer does.
	Await(ctx context.Context) RelayState
	// AwaitStart waits a short time until the view holds what a peer relays, or, if mayDemand
	// is set, until somebody demands the objects. It is called before the first list.
	AwaitStart(ctx context.Context, mayDemand bool) StartState
	// AwaitReturn waits a short time for a peer that relays changes and reports whether
	// there is one. It is called before all objects are listed after a loss of history.
	AwaitReturn(ctx context.Context) bool
	// StrongReadFinished is called after a strong read of the store, which shows all changes
	// that Await told of before.
	StrongReadFinished()
}

// StartState is the result of Relay.AwaitStart.
type StartState uint8

// States of a start.
const (
	// StartUnaided means that no peer relays the objects in time.
	StartUnaided StartState = iota
	// StartRelayed means that the view holds what a peer relays.
	StartRelayed
	// StartDemanded means that somebody waits for the objects.
	StartDemanded
)

// RelayState is the state in which a Follower goes to the store.
type RelayState struct {
	// Relayed is set if a peer has relayed changes since the last call of Await.
	Relayed bool
	// AsOf is the store's position that the view reflects by what was relayed, or 0.
	AsOf Position
	// Behind is set if a peer that is still current knows a change that the view lacks and
	// that has not been looked for yet. The cheaper reads are tried first then.
	Behind bool
}

// View is the state that a Follower keeps up to date. Its methods are called by
// one goroutine.
type View interface {
	// Replace replaces all objects. Objects that are missing from the snapshot may be
	// removed from removeAfter on.
	Replace(snapshot Batch, removeAfter time.Time)
	// Update applies changes, of which there may be none. Deleted objects may be
	// removed from removeAfter on.
	Update(changes Batch, removeAfter time.Time)
}

// Observer is notified of the calls to the store. Its methods are called by one
// goroutine.
type Observer interface {
	// CallFinished reports a finished call: its operation, its duration, the number of
	// objects received and its error, if any.
	CallFinished(op string, took time.Duration, changes int, err error)
	// OutageStarted reports the first failed call after a successful one.
	OutageStarted(err error)
	// OutageEnded reports the first successful call after failures, and the time
	// since OutageStarted.
	OutageEnded(after time.Duration)
}

// Follower keeps a View up to date from a Source. Its fields must not change after
// Run has been called.
type Follower struct {
	Source   Source
	View     View
	Observer Observer
	// WatchWait is how long the store may hold a watch without changes. If the store
	// drops a watch, the response may be missing until the call times out.
	WatchWait time.Duration
	// IsRelay, if set, reports whether this instance relays the changes to others. Then the store
	// may hold a watch for RelayWatchWait.
	IsRelay        func() bool
	RelayWatchWait time.Duration
	// MaxBackoff bounds the backoff between failed calls, each of which is charged.
	MaxBackoff time.Duration
	// RemovalGrace is how long removals are deferred after an outage, because entries
	// that expired during the outage are registered again. It counts from the start
	// of the last failed call of any of the followers of the store: it recovered after that.
	RemovalGrace time.Duration
	// BatchDelay is the delay before the next watch after changes were received, so that
	// changes in quick succession cost one call.
	BatchDelay time.Duration
	// Breaker is shared by the followers of one store.
	Breaker *Breaker
	// Consistency is that of the watches while the store responds. Eventually consistent
	// ones may lag by seconds; Floor bounds for how long.
	Consistency Consistency
	// Floor is shared by the followers of one store. At least one of them must use strong
	// watches.
	Floor *Floor
	// Relay, if set, replaces watches of the store while peers relay its changes.
	Relay Relay
	// StartFromRelay makes Run list the objects only if no relay brings them soon after the
	// start.
	StartFromRelay bool

	outageStarted       time.Time
	callStarted         time.Time
	consecutiveFailures int
	// requireStrong is set after a failure until a strong watch has succeeded.
	requireStrong bool
	// goneAfter is a position from which no watch can resume, since the store has discarded
	// the history after it; 0 after a list.
	goneAfter Position
	// listNext is set if the next call must be a list.
	listNext bool
	// rereadNext is set if the last watch was given up as late, so that the next one asks for
	// an immediate response.
	rereadNext bool
	// known is the latest position that a response has shown.
	known Position
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var err error
	after, started := f.startFromRelay(ctx)
	for ctx.Err() == nil {
		if !started {
			after, err = f.list(ctx, 0)
		}
		started = false
		for (err == nil || f.relayReturns(ctx, err)) && ctx.Err() == nil {
			after, err = f.watch(ctx, after)
		}
		after = 0
	}
}

// startFromRelay reports whether the view is complete without a whole list of the store, and the
// revision to watch from. If somebody demands the objects, it reads a list of one page: a store
// that lists thousands of objects for each instance of a fleet that restarts is busy for longer
// than the relays need.
func (f *Follower) startFromRelay(ctx context.Context) (after Position, started bool) {
	if !f.StartFromRelay || f.Relay == nil {
		return 0, false
	}
	state := f.Relay.AwaitStart(ctx, true)
	if state == StartDemanded {
		after, err := f.list(ctx, 1)
		var tooLong *TooLongError
		if !errors.As(err, &tooLong) {
			return after, err == nil
		}
		state = f.Relay.AwaitStart(ctx, false)
	}
	return 0, state == StartRelayed
}

// relayReturns reports whether err is a loss of history that a relay makes up for: it has
// listed the objects itself and sends the differences.
func (f *Follower) relayReturns(ctx context.Context, err error) bool {
	var gone *HistoryGoneError
	return errors.As(err, &gone) && f.Relay != nil && f.Relay.AwaitReturn(ctx)
}

// list reads all objects, if there are no more than maxPages pages of them, and returns the
// position to watch from. After a failed call it backs off before it returns the error.
func (f *Follower) list(ctx context.Context, maxPages int) (Position, error) {
	c, err := f.beginCall(ctx, responseTimeout)
	if err != nil {
		return 0, err
	}
	defer c.end()
	startedAt := time.Now()
	batch, err := f.Source.List(c.ctx, maxPages, c.progress)
	err = c.cause(err)
	f.Observer.CallFinished("list", time.Since(startedAt), len(batch.Objects), err)
	var tooLong *TooLongError
	if errors.As(err, &tooLong) {
		f.handleSuccess()
		return 0, err
	}
	if known := max(f.known, f.Floor.latest()); err == nil && batch.AsOf.Era() < known.Era() {
		err = &EarlierEraError{Known: known, AsOf: batch.AsOf}
	}
	if err != nil {
		f.handleFailure(ctx, err)
		return 0, err
	}
	f.handleSuccess()
	f.goneAfter, f.listNext = 0, false
	batch.Strong, batch.BeganAt = true, startedAt
	f.Floor.raise(0, Batch{AsOf: batch.AsOf})
	f.View.Replace(batch, f.removeAfter())
	f.notifyRelay(batch)
	return batch.AsOf, nil
}

// notifyRelay tells the relay of a strong read that the view reflects.
func (f *Follower) notifyRelay(batch Batch) {
	if batch.Strong && f.Relay != nil {
		f.Relay.StrongReadFinished()
	}
}

// watch makes one watch call and returns the position to continue from. Only a loss of
// history or the end of ctx is returned as an error; other failures are retried
// from the same position. After a failure, watches ask for an immediate response until
// a strong one has succeeded.
func (f *Follower) watch(ctx context.Context, after Position) (Position, error) {
	usualWait := f.usualWatchWait()
	watchWait, timeout := usualWait, usualWait+responseTimeout
	relay := f.awaitRelay(ctx)
	if relay.Relayed {
		after = max(after, relay.AsOf)
		watchWait, timeout = behindWatchWait, behindWatchWait+responseTimeout
	}
	if after <= f.goneAfter || f.listNext {
		return f.list(ctx, 0)
	}
	c, err := f.beginCall(ctx, timeout)
	if err != nil {
		return after, err
	}
	defer c.end()
	if f.consecutiveFailures > 0 || f.requireStrong {
		watchWait = 0
	}
	if f.rereadNext {
		f.rereadNext, watchWait = false, 0
		c.giveUpAfter(responseTimeout)
	}
	consistency := f.consistency(relay)
	mayReread := f.rereadsLate(consistency) && watchWait == usualWait
	if mayReread {
		c.giveUpAfter(usualWait + lateWatchTimeout)
	}
	if consistency == Eventual && watchWait == usualWait {
		go f.Floor.cancelBehind(c.ctx, after, c.cancel)
	}
	startedAt := time.Now()
	batch, err := f.Source.Watch(c.ctx, after, watchWait, consistency, c.progress)
	err = c.cause(err)
	f.Observer.CallFinished("watch", time.Since(startedAt), len(batch.Objects), err)
	var gone *HistoryGoneError
	var behind *BehindFloorError
	var late *TimeoutError
	var tooLarge *ResponseTooLargeError
	switch {
	case errors.As(err, &gone):
		f.handleSuccess()
		f.goneAfter = max(f.goneAfter, after)
		return 0, err
	case errors.As(err, &behind):
		f.requireStrong = true
		return after, nil
	case mayReread && errors.As(err, &late) && !late.Started:
		f.rereadNext = true
		return after, nil
	case errors.As(err, &tooLarge):
		// The same watch would fail until its history is gone. A list comes in pages and has
		// the latest version of each object alone.
		f.handleSuccess()
		f.listNext = true
		return after, nil
	case err != nil:
		f.handleFailure(ctx, err)
		return after, nil
	case batch.AsOf.Era() > after.Era():
		f.known = max(f.known, batch.AsOf)
		// What changed between the two positions is unknown.
		c.end()
		f.handleSuccess()
		return f.list(ctx, 0)
	case batch.AsOf.Era() < after.Era():
		f.rejectEarlierEra(ctx, &EarlierEraError{Known: after, AsOf: batch.AsOf}, consistency)
		return after, nil
	}
	batch.BeganAt = startedAt
	if consistency == Strong {
		batch.Strong = true
		f.raiseFloor(after, batch)
	}
	if f.consecutiveFailures == 0 {
		f.requireStrong = consistency == Eventual && f.Floor.lags(batch.AsOf)
	}
	f.handleSuccess()
	f.listNext = supersededBytes(batch) > maxSupersededBytes
	f.View.Update(batch, f.removeAfter())
	f.notifyRelay(batch)
	if len(batch.Objects) > 0 {
		wait.For(ctx, f.BatchDelay)
	}
	return max(after, batch.AsOf), nil
}

// usualWatchWait returns how long the store may hold a watch unless there is a reason to read
// sooner.
func (f *Follower) usualWatchWait() time.Duration {
	if f.IsRelay != nil && f.IsRelay() {
		return min(f.WatchWait, f.RelayWatchWait)
	}
	return f.WatchWait
}

// rereadsLate reports whether a watch that is late is followed by another read before the store
// counts as lost. A relay's watches are short enough without it, and it must tell its peers of a
// lost store sooner.
func (f *Follower) rereadsLate(consistency Consistency) bool {
	return consistency == Strong && (f.IsRelay == nil || !f.IsRelay())
}

// rejectEarlierEra handles a response of an earlier era than is known. Stale reads may give one
// for as long as they lag; a strong read that does counts as failed.
func (f *Follower) rejectEarlierEra(ctx context.Context, err error, consistency Consistency) {
	if consistency == Strong {
		f.handleFailure(ctx, err)
		return
	}
	f.handleSuccess()
	f.requireStrong = true
}

// raiseFloor records a strong watch. The floor takes the changes of kinds that are watched
// strongly as no reason to read the others.
func (f *Follower) raiseFloor(after Position, batch Batch) {
	if f.Consistency != Strong {
		after, batch = 0, Batch{AsOf: batch.AsOf}
	}
	f.Floor.raise(after, batch)
}

// awaitRelay waits while peers relay the store's changes. If they no longer do, the next
// watch is a strong one, because the relay may have been behind at its end. A follower that
// has lost the store doesn't wait: it may be the breaker's prober, on whose next success the
// other followers wait.
func (f *Follower) awaitRelay(ctx context.Context) RelayState {
	if f.Relay == nil || f.consecutiveFailures > 0 {
		return RelayState{}
	}
	state := f.Relay.Await(ctx)
	if state.Relayed {
		f.requireStrong = !state.Behind
	}
	return state
}

// beginCall waits until the breaker admits a call and starts it. The timeout is that of the
// first part of the response.
func (f *Follower) beginCall(ctx context.Context, timeout time.Duration) (*call, error) {
	breakerCtx, release, err := f.Breaker.acquire(ctx, f)
	if err != nil {
		return nil, err
	}
	f.callStarted = time.Now()
	return newCall(breakerCtx, release, timeout), nil
}

func (f *Follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.consecutiveFailures == 0 {
		f.outageStarted = time.Now()
		f.Observer.OutageStarted(err)
	}
	f.requireStrong = true
	if !f.Breaker.recordFailure(f, f.callStarted) {
		f.consecutiveFailures++
		return
	}
	backoff := min(initialBackoff<<min(f.consecutiveFailures, 10), f.MaxBackoff)
	f.consecutiveFailures++
	wait.For(ctx, backoff*3/4+rand.N(backoff/4))
}

// consistency returns the consistency of the next watch. Probes during an outage use the
// cheaper one, and so does the first read of a change that a relay has told of. The first
// watch after a failure is strong.
func (f *Follower) consistency(relay RelayState) Consistency {
	switch {
	case f.consecutiveFailures > 0, relay.Behind:
		return Eventual
	case f.requireStrong:
		return Strong
	}
	return f.Consistency
}

func (f *Follower) handleSuccess() {
	f.Breaker.recordSuccess(f)
	if f.consecutiveFailures == 0 {
		return
	}
	f.consecutiveFailures = 0
	f.Observer.OutageEnded(time.Since(f.outageStarted))
}

// removeAfter returns the time from which on removals take effect.
func (f *Follower) removeAfter() time.Time {
	return f.Breaker.lastFailure().Add(f.RemovalGrace)
}
