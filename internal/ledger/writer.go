package ledger

import (
	"context"
	"errors"
	"time"

	"redwingpoint.org/redwingpoint/internal/store"
)

// writer commits the ops of one shard, one batch at a time. Its queue, running
// and place belong to the committer's lock, the rest to the goroutine in run.
type writer struct {
	c       *GroupCommitter
	place   Place
	queue   []*pending
	running bool
	arrived chan struct{}

	// retention is that of the batch in work.
	retention time.Duration
	// state is the shard at version, or nil if it is not known.
	state   *shard
	version store.Version
	// least is the lowest version that a read may show.
	least store.Version
	// opened is set once this object is known to precede any sweep of its slice.
	opened    bool
	lastWrite time.Time
	outage    store.Backoff
}

const (
	outageBase = 100 * time.Millisecond
	outageMax  = 2 * time.Second
)

// newWriter expects that the object of a slice to come does not exist yet.
func newWriter(c *GroupCommitter, place Place) *writer {
	w := &writer{
		c:       c,
		place:   place,
		arrived: make(chan struct{}, 1),
		outage:  store.Backoff{Base: outageBase, Max: outageMax},
	}
	if place.Slice > sliceOf(c.now()) {
		w.state = new(shard)
	}
	return w
}

func (w *writer) run() {
	for {
		w.pace()
		batch := w.c.take(w)
		if batch == nil {
			return
		}
		if kept := w.commit(batch); len(kept) > 0 {
			w.c.putBack(w, kept)
			w.await()
		}
	}
}

// pace lets ops gather since the last write.
func (w *writer) pace() {
	if wait := writeInterval - w.c.now().Sub(w.lastWrite); wait > 0 {
		time.Sleep(wait)
	}
}

// await waits out an outage; a new op ends the wait, so that a claim is refused at once.
func (w *writer) await() {
	timer := time.NewTimer(w.outage.Next())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.arrived:
	}
}

// commit finishes the ops of a batch and returns the outcomes to be tried again.
func (w *writer) commit(batch []*pending) []*pending {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	pause := store.Backoff{Base: conflictBase, Max: conflictMax}
	fresh, uncertain := false, false
	for {
		if w.state == nil {
			if err := w.load(ctx); err != nil {
				return w.fail(batch, err, uncertain)
			}
			fresh = true
		}
		next, verdicts, changed := w.apply(batch)
		if !changed && !fresh && !allFinal(batch, verdicts) {
			w.state = nil
			continue
		}
		err := w.write(ctx, next, changed)
		if err == nil {
			return w.deliver(ctx, batch, verdicts)
		}
		if overBudget(err) && pause.Wait(ctx) == nil {
			continue
		}
		uncertain = uncertain || store.IsUnknownOutcome(err)
		if !contested(err) {
			return w.fail(batch, err, uncertain)
		}
		w.forget(err)
		if pause.Wait(ctx) != nil {
			return w.fail(batch, err, uncertain)
		}
	}
}

// load reads the shard; an answer older than what is known to exist is refused.
func (w *writer) load(ctx context.Context) error {
	pause := store.Backoff{Base: conflictBase, Max: conflictMax}
	for {
		object, err := store.GetOrZero(ctx, w.c.store, w.place.Object)
		if overBudget(err) && pause.Wait(ctx) == nil {
			continue
		}
		if err != nil {
			return err
		}
		if object.Version < w.least {
			if pause.Wait(ctx) != nil {
				return &store.StaleError{Have: w.least, Got: object.Version}
			}
			continue
		}
		state, err := decodeShard(object.Value)
		if err != nil {
			return err
		}
		w.state = state
		w.version = object.Version
		w.opened = state.Opened
		return nil
	}
}

// overBudget reports a call that was not made. Ops gather while it waits.
func overBudget(err error) bool {
	var over *store.RateLimitError
	return errors.As(err, &over)
}

func (w *writer) apply(batch []*pending) (*shard, []Verdict, bool) {
	next := w.state.clone()
	verdicts := make([]Verdict, len(batch))
	changed := false
	for i, p := range batch {
		v, mutated := w.applyOne(next, p.op)
		verdicts[i] = v
		changed = changed || mutated
	}
	return next, verdicts, changed
}

func (w *writer) applyOne(next *shard, op Op) (Verdict, bool) {
	if op.Kind != OpOpen {
		return next.apply(op)
	}
	if w.version > 0 {
		return Verdict{Kind: Given}, false
	}
	return Verdict{Kind: Applied}, true
}

func allFinal(batch []*pending, verdicts []Verdict) bool {
	for i, v := range verdicts {
		if !v.final(batch[i].op) {
			return false
		}
	}
	return true
}

// write stores the next state under the condition that the present one is unchanged.
func (w *writer) write(ctx context.Context, next *shard, changed bool) error {
	if !changed {
		return nil
	}
	next.Opened = w.opened
	if w.place.Slice == opaqueSlice {
		next.compact(w.c.now(), w.retention)
	}
	value, err := next.encode(w.place.Object)
	if err != nil {
		return err
	}
	w.lastWrite = w.c.now()
	version, err := w.c.store.Put(ctx, w.place.Object, w.version, value)
	if err != nil {
		return err
	}
	w.state = next
	w.version = version
	w.least = version
	return nil
}

// forget drops the state after a write that did not succeed or is uncertain.
func (w *writer) forget(err error) {
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.Current == 0:
		w.least = 0
	case errors.As(err, &conflict):
		w.least = max(w.least, conflict.Current)
	}
	w.state = nil
	w.opened = false
}

// deliver finishes the ops of a stored batch. What an object says that is not
// known to precede a sweep of its slice is confirmed against the horizon.
func (w *writer) deliver(ctx context.Context, batch []*pending, verdicts []Verdict) []*pending {
	w.outage.Reset()
	if meetsClaim(batch, verdicts) {
		if err := w.open(ctx); err != nil {
			return w.fail(batch, err, true)
		}
		if !w.opened {
			w.discard(ctx)
		}
	}
	for i, p := range batch {
		if !w.opened && concernsClaim(p.op, verdicts[i]) {
			verdicts[i] = Verdict{Kind: Swept}
		}
		p.finish(verdicts[i], nil)
	}
	return nil
}

func meetsClaim(batch []*pending, verdicts []Verdict) bool {
	for i, v := range verdicts {
		if concernsClaim(batch[i].op, v) {
			return true
		}
	}
	return false
}

// concernsClaim reports whether a verdict rests on a claim in the object.
func concernsClaim(op Op, v Verdict) bool {
	created := op.Kind == OpOpen && v.Kind == Applied
	return created || op.Kind == OpClaim && (v.Kind == Applied || v.Kind == Held || v.Kind == Lost)
}

// discard deletes an object that was created again after its slice was swept.
func (w *writer) discard(ctx context.Context) {
	_ = w.c.store.Delete(ctx, w.place.Object, w.version)
	w.state = nil
	w.least = 0
}

// open finds out whether the object precedes every sweep of its slice: it
// exists, and the horizon afterwards is not above the slice. Otherwise it may
// have been created again after a sweep, and its claims are void.
func (w *writer) open(ctx context.Context) error {
	if w.opened || w.place.Slice == opaqueSlice {
		w.opened = true
		return nil
	}
	place := Place{Service: w.place.Service, Slice: w.place.Slice, Retention: w.retention}
	horizon, err := w.c.floors.confirm(ctx, place)
	if err != nil {
		return err
	}
	w.opened = horizon.Lowest <= w.place.Slice
	return nil
}

// fail finishes the claims of a batch with an error, an *UndecidedError if they
// may have been written. Outcomes are kept until their time is up.
func (w *writer) fail(batch []*pending, err error, uncertain bool) []*pending {
	w.state = nil
	w.opened = false
	if uncertain {
		err = &UndecidedError{Cause: err}
	}
	now := w.c.now()
	var kept []*pending
	for _, p := range batch {
		if p.op.Kind != OpClaim && p.op.Kind != OpOpen && now.Before(p.until) {
			kept = append(kept, p)
			continue
		}
		p.finish(Verdict{}, err)
	}
	return kept
}
