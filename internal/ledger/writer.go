package ledger

import (
	"context"
	"errors"
	"time"

	"redwingpoint.org/redwingpoint/internal/store"
)

// writer commits the ops of one shard, one batch at a time. The committer's mutex
// guards queue, running and ref.Retention; the other fields that change are used
// only by the goroutine that executes run.
type writer struct {
	committer *GroupCommitter
	ref       ShardRef
	queue     []*pendingOp
	running   bool
	newOp     chan struct{}

	// retention is the retention of the current batch.
	retention time.Duration
	// state is the cached shard at version, or nil if it must be read.
	state   *shard
	version store.Version
	// minVersion is the lowest version that a read may return; lower ones are stale.
	minVersion store.Version
	// unswept is set once the object is known to precede any sweep of its bucket.
	unswept       bool
	lastWrite     time.Time
	outageBackoff store.Backoff
}

const (
	// outageBackoffBase is the initial delay before outcomes are retried during an outage.
	outageBackoffBase = 100 * time.Millisecond
	// outageBackoffMax is the maximum delay between two such retries.
	outageBackoffMax = 2 * time.Second
)

// newWriter returns a writer for a shard. It assumes that the object of a future
// bucket does not exist yet; the conditional write detects it if it does.
func newWriter(c *GroupCommitter, ref ShardRef) *writer {
	w := &writer{
		committer:     c,
		ref:           ref,
		newOp:         make(chan struct{}, 1),
		outageBackoff: store.Backoff{Base: outageBackoffBase, Max: outageBackoffMax},
	}
	if ref.Bucket > bucketOf(c.now()) {
		w.state = new(shard)
	}
	return w
}

// run commits batches until the queue is empty.
func (w *writer) run() {
	for {
		w.waitWriteInterval()
		batch := w.committer.takeBatch(w)
		if batch == nil {
			return
		}
		if retries := w.commit(batch); len(retries) > 0 {
			w.committer.requeue(w, retries)
			w.waitOutage()
		}
	}
}

// waitWriteInterval waits until writeInterval has passed since the last write, so
// that ops accumulate in the queue.
func (w *writer) waitWriteInterval() {
	if wait := writeInterval - w.committer.now().Sub(w.lastWrite); wait > 0 {
		time.Sleep(wait)
	}
}

// waitOutage waits before outcomes are retried during an outage of the store. A
// new op ends the wait, so that claims fail fast.
func (w *writer) waitOutage() {
	timer := time.NewTimer(w.outageBackoff.Next())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.newOp:
	}
}

// commit completes the ops of a batch. It returns the outcomes that must be retried.
func (w *writer) commit(batch []*pendingOp) []*pendingOp {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	backoff := store.Backoff{Base: conflictBackoffBase, Max: conflictBackoffMax}
	justRead, uncertain := false, false
	for {
		if w.state == nil {
			if err := w.readShard(ctx); err != nil {
				return w.failBatch(batch, err, uncertain)
			}
			justRead = true
		}
		next, results, changed := w.apply(batch)
		if !changed && !justRead && !allFinal(batch, results) {
			w.state = nil
			continue
		}
		err := w.write(ctx, next, changed)
		if err == nil {
			return w.finishBatch(ctx, batch, results)
		}
		if isOverCallBudget(err) && backoff.Wait(ctx) == nil {
			continue
		}
		uncertain = uncertain || store.IsUnknownOutcome(err)
		if !isRetryableWrite(err) {
			return w.failBatch(batch, err, uncertain)
		}
		w.invalidate(err)
		if backoff.Wait(ctx) != nil {
			return w.failBatch(batch, err, uncertain)
		}
	}
}

// readShard reads the shard. It retries reads that return a version older than one
// known to exist.
func (w *writer) readShard(ctx context.Context) error {
	backoff := store.Backoff{Base: conflictBackoffBase, Max: conflictBackoffMax}
	for {
		object, err := store.GetOrZero(ctx, w.committer.store, w.ref.Object)
		if isOverCallBudget(err) && backoff.Wait(ctx) == nil {
			continue
		}
		if err != nil {
			return err
		}
		if object.Version < w.minVersion {
			if backoff.Wait(ctx) != nil {
				return &store.StaleError{Have: w.minVersion, Got: object.Version}
			}
			continue
		}
		state, err := decodeShard(object.Value)
		if err != nil {
			return err
		}
		w.state = state
		w.version = object.Version
		w.unswept = state.Unswept
		return nil
	}
}

// isOverCallBudget reports whether the client made no call because its call budget
// was exhausted. Such a call is safe to retry; ops accumulate meanwhile.
func isOverCallBudget(err error) bool {
	var over *store.RateLimitError
	return errors.As(err, &over)
}

// apply applies a batch to a copy of the cached state. It returns the copy, the
// result of each op and whether any op changed the copy.
func (w *writer) apply(batch []*pendingOp) (*shard, []Result, bool) {
	next := w.state.clone()
	results := make([]Result, len(batch))
	changed := false
	for i, p := range batch {
		res, mutated := w.applyOp(next, p.op)
		results[i] = res
		changed = changed || mutated
	}
	return next, results, changed
}

func (w *writer) applyOp(next *shard, op Op) (Result, bool) {
	if op.Kind != OpCreate {
		return next.apply(op)
	}
	if w.version > 0 {
		return Result{Kind: ResultSuperseded}, false
	}
	return Result{Kind: ResultApplied}, true
}

// allFinal reports whether no later state of the shard can change the results of a
// batch that changed nothing.
func allFinal(batch []*pendingOp, results []Result) bool {
	for i, res := range results {
		if !res.isFinal(batch[i].op) {
			return false
		}
	}
	return true
}

// write stores the next state on condition that the object is still at w.version.
// It does nothing if the batch changed nothing.
func (w *writer) write(ctx context.Context, next *shard, changed bool) error {
	if !changed {
		return nil
	}
	next.Unswept = w.unswept
	if w.ref.Bucket == noBucket {
		next.compact(w.committer.now(), w.retention)
	}
	value, err := next.encode(w.ref.Object)
	if err != nil {
		return err
	}
	w.lastWrite = w.committer.now()
	version, err := w.committer.store.Put(ctx, w.ref.Object, w.version, value)
	if err != nil {
		return err
	}
	w.state = next
	w.version = version
	w.minVersion = version
	return nil
}

// invalidate drops the cached state after a write that failed or is uncertain.
func (w *writer) invalidate(err error) {
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.Current == 0:
		w.minVersion = 0
	case errors.As(err, &conflict):
		w.minVersion = max(w.minVersion, conflict.Current)
	}
	w.state = nil
	w.unswept = false
}

// finishBatch completes the ops of a stored batch. Results that depend on a claim
// are valid only if the object precedes every sweep of its bucket; unless that is
// known already, it is verified first.
func (w *writer) finishBatch(ctx context.Context, batch []*pendingOp, results []Result) []*pendingOp {
	w.outageBackoff.Reset()
	if anyDependsOnClaim(batch, results) {
		if err := w.verifyUnswept(ctx); err != nil {
			return w.failBatch(batch, err, true)
		}
		if !w.unswept {
			w.deleteRecreated(ctx)
		}
	}
	for i, p := range batch {
		if !w.unswept && dependsOnClaim(p.op, results[i]) {
			results[i] = Result{Kind: ResultSwept}
		}
		p.finish(results[i], nil)
	}
	return nil
}

func anyDependsOnClaim(batch []*pendingOp, results []Result) bool {
	for i, res := range results {
		if dependsOnClaim(batch[i].op, res) {
			return true
		}
	}
	return false
}

// dependsOnClaim reports whether a result depends on a claim in the object or on the
// creation of the object.
func dependsOnClaim(op Op, res Result) bool {
	created := op.Kind == OpCreate && res.Kind == ResultApplied
	return created || op.Kind == OpClaim && (res.Kind == ResultApplied || res.Kind == ResultHeld || res.Kind == ResultUnknown)
}

// deleteRecreated deletes an object that was created again after its bucket was swept.
// It is best effort: the claims in the object are void in any case.
func (w *writer) deleteRecreated(ctx context.Context) {
	_ = w.committer.store.Delete(ctx, w.ref.Object, w.version)
	w.state = nil
	w.minVersion = 0
}

// verifyUnswept determines whether the object precedes every sweep of its bucket.
// It does if the low watermark, read after the object was found to exist, is not
// above the bucket. Otherwise the object may have been created again after a
// sweep, and its claims are void.
func (w *writer) verifyUnswept(ctx context.Context) error {
	if w.unswept || w.ref.Bucket == noBucket {
		w.unswept = true
		return nil
	}
	ref := ShardRef{Service: w.ref.Service, Bucket: w.ref.Bucket, Retention: w.retention}
	mark, err := w.committer.watermarks.readConfirmed(ctx, ref)
	if err != nil {
		return err
	}
	w.unswept = mark.LowestLive <= w.ref.Bucket
	return nil
}

// failBatch completes the claims of a batch with an error, an *UnconfirmedError if
// they may have been written. It returns the outcomes whose retry time is not over.
func (w *writer) failBatch(batch []*pendingOp, err error, uncertain bool) []*pendingOp {
	w.state = nil
	w.unswept = false
	if uncertain {
		err = &UnconfirmedError{Cause: err}
	}
	now := w.committer.now()
	var retries []*pendingOp
	for _, p := range batch {
		if p.op.Kind != OpClaim && p.op.Kind != OpCreate && now.Before(p.retryUntil) {
			retries = append(retries, p)
			continue
		}
		p.finish(Result{}, err)
	}
	return retries
}
