package ledger

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// sweepMargin is the time beyond the retention until a bucket may be swept.
	sweepMargin = time.Minute
	// maxSweepBuckets is the maximum number of buckets by which one sweep advances the
	// watermark, and of buckets that it deletes.
	maxSweepBuckets = 120
	// sweepPause is the pause after each bucket, which limits the call rate of a sweep.
	sweepPause = 100 * time.Millisecond
)

// watermark is the stored low watermark of a service's buckets. Both numbers only
// increase.
type watermark struct {
	// LowestLive is the lowest bucket that may hold valid claims.
	LowestLive int64 `cbor:"1,keyasint"`
	// LowestStored is the lowest bucket whose objects may still exist.
	LowestStored int64 `cbor:"2,keyasint"`
}

// watermarks reads and advances the watermarks of services. It is safe for
// concurrent use.
type watermarks struct {
	store store.Store
	now   func() time.Time

	mu     sync.Mutex
	cached map[model.ServiceName]store.Object
	// queued holds, for each service, the read that has not begun yet.
	queued map[model.ServiceName]*sharedRead
	// slots holds a semaphore per service, which the read in progress occupies.
	slots map[model.ServiceName]chan struct{}
}

// sharedRead is one read of a watermark whose result several writers wait for.
type sharedRead struct {
	done chan struct{}
	mark watermark
	err  error
}

func newWatermarks(objects store.Store, now func() time.Time) *watermarks {
	return &watermarks{
		store:  objects,
		now:    now,
		cached: make(map[model.ServiceName]store.Object),
		queued: make(map[model.ServiceName]*sharedRead),
		slots:  make(map[model.ServiceName]chan struct{}),
	}
}

func watermarkKey(service model.ServiceName) string {
	return store.LedgerPrefix + string(service) + "/floor"
}

// readConfirmed returns the watermark as it was at some time after the call began.
// A read may return the state of a stale replica; a conditional write of the
// unchanged value proves that it did not. Concurrent calls share one write.
func (w *watermarks) readConfirmed(ctx context.Context, ref ShardRef) (watermark, error) {
	read, slot := w.joinRead(ref.Service)
	if slot == nil {
		select {
		case <-read.done:
			return read.mark, read.err
		case <-ctx.Done():
			return watermark{}, eris.Wrap(ctx.Err(), "wait for ledger horizon")
		}
	}
	slot <- struct{}{}
	w.mu.Lock()
	delete(w.queued, ref.Service)
	w.mu.Unlock()
	read.mark, read.err = w.readByRewrite(ctx, ref)
	<-slot
	close(read.done)
	return read.mark, read.err
}

// joinRead returns the next read of a service. The call that creates the read also
// gets the semaphore and must execute the read; for other calls the semaphore is
// nil. A read that has begun cannot be joined.
func (w *watermarks) joinRead(service model.ServiceName) (*sharedRead, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slots[service] == nil {
		w.slots[service] = make(chan struct{}, 1)
	}
	if read := w.queued[service]; read != nil {
		return read, nil
	}
	read := &sharedRead{done: make(chan struct{})}
	w.queued[service] = read
	return read, w.slots[service]
}

// readByRewrite reads the watermark by writing it unchanged, and creates it if there
// is none.
func (w *watermarks) readByRewrite(ctx context.Context, ref ShardRef) (watermark, error) {
	return w.update(ctx, ref.Service, func(object store.Object) (watermark, error) {
		if object.Version == 0 {
			lowest := min(ref.Bucket, bucketOf(w.now().Add(-ref.Retention)))
			return watermark{LowestLive: lowest, LowestStored: lowest}, nil
		}
		return decodeWatermark(object.Value)
	})
}

// advance moves the watermark towards a bucket, by at most maxSweepBuckets, and
// returns it. The bound limits how many buckets an instance with a wrong clock can
// close.
func (w *watermarks) advance(ctx context.Context, service model.ServiceName, lowest int64) (watermark, error) {
	return w.update(ctx, service, func(object store.Object) (watermark, error) {
		mark, err := decodeWatermark(object.Value)
		mark.LowestLive = max(mark.LowestLive, min(lowest, mark.LowestLive+maxSweepBuckets))
		return mark, err
	})
}

// recordSwept records that the objects below a bucket are deleted.
func (w *watermarks) recordSwept(ctx context.Context, service model.ServiceName, below int64) error {
	_, err := w.update(ctx, service, func(object store.Object) (watermark, error) {
		mark, err := decodeWatermark(object.Value)
		mark.LowestStored = max(mark.LowestStored, below)
		return mark, err
	})
	return err
}

// update applies a change to the watermark with conditional writes until one is
// confirmed; it also retries calls for which the call budget was spent. The change must depend only on the stored state, since it may be
// applied several times.
func (w *watermarks) update(ctx context.Context, service model.ServiceName, update func(store.Object) (watermark, error)) (watermark, error) {
	backoff := store.Backoff{Base: conflictBackoffBase, Max: conflictBackoffMax}
	read := w.cachedOrRead
	for {
		object, err := read(ctx, service)
		if err == nil {
			var next watermark
			next, err = w.tryUpdate(ctx, service, object, update)
			if err == nil {
				return next, nil
			}
			if isRetryableWrite(err) {
				read = w.read
			}
		}
		if !isRetryableWrite(err) && !isOverCallBudget(err) || backoff.Wait(ctx) != nil {
			return watermark{}, err
		}
	}
}

// tryUpdate writes the changed watermark on condition that object is current.
func (w *watermarks) tryUpdate(ctx context.Context, service model.ServiceName, object store.Object, update func(store.Object) (watermark, error)) (watermark, error) {
	next, err := update(object)
	if err != nil {
		return watermark{}, err
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return watermark{}, eris.Wrap(err, "encode ledger horizon")
	}
	version, err := w.store.Put(ctx, object.Key, object.Version, value)
	if err != nil {
		return watermark{}, err
	}
	w.updateCache(service, store.Object{Key: object.Key, Version: version, Value: value})
	return next, nil
}

// isRetryableWrite reports whether a conditional write may be retried after the
// state is read again: it met a conflict or its effect is uncertain.
func isRetryableWrite(err error) bool {
	var conflict *store.ConflictError
	return errors.As(err, &conflict) || store.IsUnknownOutcome(err)
}

// cachedOrRead returns the cached watermark object, which may be outdated, or reads
// it from the store.
func (w *watermarks) cachedOrRead(ctx context.Context, service model.ServiceName) (store.Object, error) {
	w.mu.Lock()
	object, ok := w.cached[service]
	w.mu.Unlock()
	if ok {
		return object, nil
	}
	return w.read(ctx, service)
}

// read reads the watermark object from the store.
func (w *watermarks) read(ctx context.Context, service model.ServiceName) (store.Object, error) {
	return store.GetOrZero(ctx, w.store, watermarkKey(service))
}

// updateCache caches a watermark object unless a later version is cached.
func (w *watermarks) updateCache(service model.ServiceName, object store.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if object.Version > w.cached[service].Version {
		w.cached[service] = object
	}
}

func decodeWatermark(value []byte) (watermark, error) {
	var mark watermark
	if err := cbor.Unmarshal(value, &mark); err != nil {
		return watermark{}, eris.Wrap(err, "decode ledger horizon")
	}
	return mark, nil
}

// sweep advances the watermark of a service past the buckets whose retention has
// ended and deletes objects below it. It returns the number of deleted objects.
func (w *watermarks) sweep(ctx context.Context, service model.ServiceName, retention time.Duration) (int, error) {
	present, err := store.GetOrZero(ctx, w.store, watermarkKey(service))
	if err != nil || present.Version == 0 {
		return 0, err
	}
	mark, err := w.advance(ctx, service, bucketOf(w.now().Add(-retention-sweepMargin)))
	if err != nil {
		return 0, err
	}
	deleted := 0
	end := min(mark.LowestLive, mark.LowestStored+maxSweepBuckets)
	for bucket := mark.LowestStored; bucket < end; bucket++ {
		n, err := w.deleteBucket(ctx, service, bucket)
		deleted += n
		if err != nil {
			return deleted, errors.Join(err, w.recordSwept(ctx, service, bucket))
		}
	}
	if end == mark.LowestStored {
		return 0, nil
	}
	return deleted, w.recordSwept(ctx, service, end)
}

// deleteBucket deletes the objects of a bucket and returns their number.
func (w *watermarks) deleteBucket(ctx context.Context, service model.ServiceName, bucket int64) (int, error) {
	deleted := 0
	for n := range shardsPerBucket {
		key := bucketObject(service, bucket, strconv.Itoa(n))
		object, err := store.GetOrZero(ctx, w.store, key)
		if err != nil {
			return deleted, err
		}
		if object.Version == 0 {
			continue
		}
		if err := w.store.Delete(ctx, key, object.Version); err != nil {
			return deleted, err
		}
		deleted++
	}
	time.Sleep(sweepPause)
	return deleted, nil
}
