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
	// sweepMargin is kept beyond the retention before a slice is swept.
	sweepMargin = time.Minute
	// sweepSlices is the largest number of slices swept at a time.
	sweepSlices = 120
	// sweepPause spreads the calls of a sweep.
	sweepPause = 100 * time.Millisecond
)

// floor is the stored horizon of a service's slices. Both numbers only rise.
type floor struct {
	// Lowest is the first slice that may hold claims.
	Lowest int64 `cbor:"1,keyasint"`
	// Swept is the first slice whose objects may still exist.
	Swept int64 `cbor:"2,keyasint"`
}

// floors reads and raises the horizons of services. It is safe for concurrent use.
type floors struct {
	store store.Store
	now   func() time.Time

	mu     sync.Mutex
	cached map[model.ServiceName]store.Object
	// next holds, for each service, the confirmation that has not begun yet.
	next map[model.ServiceName]*confirmation
	// turn is held by the confirmation under way, per service.
	turn map[model.ServiceName]chan struct{}
}

// confirmation is one reading of a horizon that several writers wait for.
type confirmation struct {
	done    chan struct{}
	horizon floor
	err     error
}

func newFloors(objects store.Store, now func() time.Time) *floors {
	return &floors{
		store:  objects,
		now:    now,
		cached: make(map[model.ServiceName]store.Object),
		next:   make(map[model.ServiceName]*confirmation),
		turn:   make(map[model.ServiceName]chan struct{}),
	}
}

func floorKey(service model.ServiceName) string {
	return store.LedgerPrefix + string(service) + "/floor"
}

// confirm returns the horizon as it was after the call began. A read may come
// from an old replica; the conditional write of the unchanged value proves that
// it did not. Callers that wait for their turn share one write.
func (f *floors) confirm(ctx context.Context, place Place) (floor, error) {
	c, turn := f.join(place.Service)
	if turn == nil {
		select {
		case <-c.done:
			return c.horizon, c.err
		case <-ctx.Done():
			return floor{}, eris.Wrap(ctx.Err(), "wait for ledger horizon")
		}
	}
	turn <- struct{}{}
	f.mu.Lock()
	delete(f.next, place.Service)
	f.mu.Unlock()
	c.horizon, c.err = f.readFresh(ctx, place)
	<-turn
	close(c.done)
	return c.horizon, c.err
}

// join returns the next confirmation of a service. The first to ask for it also
// gets the turn to carry it out; nobody joins once it has begun.
func (f *floors) join(service model.ServiceName) (*confirmation, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.turn[service] == nil {
		f.turn[service] = make(chan struct{}, 1)
	}
	if c := f.next[service]; c != nil {
		return c, nil
	}
	c := &confirmation{done: make(chan struct{})}
	f.next[service] = c
	return c, f.turn[service]
}

// readFresh reads the horizon by writing it, and creates it if there is none.
func (f *floors) readFresh(ctx context.Context, place Place) (floor, error) {
	return f.rewrite(ctx, place.Service, func(object store.Object) (floor, error) {
		if object.Version == 0 {
			lowest := min(place.Slice, sliceOf(f.now().Add(-place.Retention)))
			return floor{Lowest: lowest, Swept: lowest}, nil
		}
		return decodeFloor(object.Value)
	})
}

// raise moves the horizon towards a slice, by a bounded step, and returns it.
// The bound limits what one instance with a wrong clock can refuse.
func (f *floors) raise(ctx context.Context, service model.ServiceName, lowest int64) (floor, error) {
	return f.rewrite(ctx, service, func(object store.Object) (floor, error) {
		h, err := decodeFloor(object.Value)
		h.Lowest = max(h.Lowest, min(lowest, h.Lowest+sweepSlices))
		return h, err
	})
}

// swept notes that the objects below a slice are gone.
func (f *floors) swept(ctx context.Context, service model.ServiceName, below int64) error {
	_, err := f.rewrite(ctx, service, func(object store.Object) (floor, error) {
		h, err := decodeFloor(object.Value)
		h.Swept = max(h.Swept, below)
		return h, err
	})
	return err
}

// rewrite updates the horizon conditionally until a write is confirmed. The
// update must be a function of the stored state alone.
func (f *floors) rewrite(ctx context.Context, service model.ServiceName, update func(store.Object) (floor, error)) (floor, error) {
	pause := store.Backoff{Base: conflictBase, Max: conflictMax}
	object, err := f.known(ctx, service)
	for err == nil {
		var next floor
		next, err = f.tryRewrite(ctx, service, object, update)
		if err == nil {
			return next, nil
		}
		if !contested(err) {
			return floor{}, err
		}
		if pause.Wait(ctx) != nil {
			return floor{}, err
		}
		object, err = store.GetOrZero(ctx, f.store, floorKey(service))
	}
	return floor{}, err
}

func (f *floors) tryRewrite(ctx context.Context, service model.ServiceName, object store.Object, update func(store.Object) (floor, error)) (floor, error) {
	next, err := update(object)
	if err != nil {
		return floor{}, err
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return floor{}, eris.Wrap(err, "encode ledger horizon")
	}
	version, err := f.store.Put(ctx, object.Key, object.Version, value)
	if err != nil {
		return floor{}, err
	}
	f.remember(service, store.Object{Key: object.Key, Version: version, Value: value})
	return next, nil
}

// contested reports whether a conditional write may be tried again on new state.
func contested(err error) bool {
	var conflict *store.ConflictError
	return errors.As(err, &conflict) || store.IsUnknownOutcome(err)
}

func (f *floors) known(ctx context.Context, service model.ServiceName) (store.Object, error) {
	f.mu.Lock()
	object, ok := f.cached[service]
	f.mu.Unlock()
	if ok {
		return object, nil
	}
	return store.GetOrZero(ctx, f.store, floorKey(service))
}

func (f *floors) remember(service model.ServiceName, object store.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if object.Version > f.cached[service].Version {
		f.cached[service] = object
	}
}

func decodeFloor(value []byte) (floor, error) {
	var h floor
	if err := cbor.Unmarshal(value, &h); err != nil {
		return floor{}, eris.Wrap(err, "decode ledger horizon")
	}
	return h, nil
}

// sweep raises the horizon of a service towards the end of its retention and
// deletes objects below it. It returns the number deleted.
func (f *floors) sweep(ctx context.Context, service model.ServiceName, retention time.Duration) (int, error) {
	present, err := store.GetOrZero(ctx, f.store, floorKey(service))
	if err != nil || present.Version == 0 {
		return 0, err
	}
	h, err := f.raise(ctx, service, sliceOf(f.now().Add(-retention-sweepMargin)))
	if err != nil {
		return 0, err
	}
	deleted := 0
	end := min(h.Lowest, h.Swept+sweepSlices)
	for number := h.Swept; number < end; number++ {
		n, err := f.removeSlice(ctx, service, number)
		deleted += n
		if err != nil {
			return deleted, errors.Join(err, f.swept(ctx, service, number))
		}
	}
	if end == h.Swept {
		return 0, nil
	}
	return deleted, f.swept(ctx, service, end)
}

func (f *floors) removeSlice(ctx context.Context, service model.ServiceName, number int64) (int, error) {
	deleted := 0
	for n := range timedShards {
		key := sliceObject(service, number, strconv.Itoa(n))
		object, err := store.GetOrZero(ctx, f.store, key)
		if err != nil {
			return deleted, err
		}
		if object.Version == 0 {
			continue
		}
		if err := f.store.Delete(ctx, key, object.Version); err != nil {
			return deleted, err
		}
		deleted++
	}
	time.Sleep(sweepPause)
	return deleted, nil
}
