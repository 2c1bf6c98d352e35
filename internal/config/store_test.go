package config

import (
	"context"
	"slices"
	"strings"
	"testing"

	"redwingpoint.org/redwingpoint/internal/store"
)

// fault is the fault injected into one store call.
type fault int

const (
	ok fault = iota
	// unavailable: the call has no effect and returns store.UnavailableError.
	unavailable
	// requestLost: the call has no effect; a write returns store.UnknownOutcomeError.
	requestLost
	// responseLost: the call takes effect; a write returns store.UnknownOutcomeError.
	responseLost
	// delayed: a write takes effect at the next flush and returns store.UnknownOutcomeError.
	delayed
	// stale: a read returns an older version of the object.
	stale
	faultCount
)

// faultyStore is an in-memory object store that injects a fault into each call. It
// is not safe for concurrent use.
type faultyStore struct {
	t       testing.TB
	version store.Version
	objects map[string][]store.Object
	// next returns the fault of the next Get or Put.
	next func() fault
	// before runs before each Get and Put.
	before        func()
	delayedWrites []func()
	// staleVersions is the number of versions by which a stale read lags behind.
	staleVersions int
}

func newFaultyStore(t testing.TB) *faultyStore {
	return &faultyStore{
		t:             t,
		objects:       make(map[string][]store.Object),
		next:          func() fault { return ok },
		before:        func() {},
		staleVersions: 1,
	}
}

// flush executes the delayed writes.
func (s *faultyStore) flush() {
	for _, write := range s.delayedWrites {
		write()
	}
	s.delayedWrites = nil
}

// latest returns the newest version of an object; version 0 if there is none.
func (s *faultyStore) latest(key string) store.Object {
	if states := s.objects[key]; len(states) > 0 {
		return states[len(states)-1]
	}
	return store.Object{Key: key}
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.before()
	states := s.objects[key]
	switch f := s.next(); {
	case ctx.Err() != nil || f == unavailable || f == requestLost || f == responseLost:
		return store.Object{}, &store.UnavailableError{Op: "get", Cause: context.DeadlineExceeded}
	case f == stale && len(states) >= s.staleVersions:
		states = states[:len(states)-s.staleVersions]
	}
	if len(states) == 0 || states[len(states)-1].Value == nil {
		return store.Object{}, &store.NotFoundError{Key: key}
	}
	return states[len(states)-1], nil
}

func (s *faultyStore) Put(ctx context.Context, key string, expect store.Version, value []byte) (store.Version, error) {
	s.before()
	lost := &store.UnknownOutcomeError{Key: key, Cause: context.DeadlineExceeded}
	switch f := s.next(); {
	case ctx.Err() != nil || f == unavailable:
		return 0, &store.UnavailableError{Op: "write", Cause: context.DeadlineExceeded}
	case f == requestLost:
		return 0, lost
	case f == responseLost:
		_, _ = s.apply(key, expect, value)
		return 0, lost
	case f == delayed:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.apply(key, expect, value) })
		return 0, lost
	}
	return s.apply(key, expect, value)
}

// apply executes a conditional write without a fault.
func (s *faultyStore) apply(key string, expect store.Version, value []byte) (store.Version, error) {
	if current := s.latest(key); current.Version != expect {
		return 0, &store.ConflictError{Key: key, Expect: expect, Current: current.Version}
	}
	s.version++
	s.objects[key] = append(s.objects[key], store.Object{Key: key, Version: s.version, Value: slices.Clone(value)})
	return s.version, nil
}

func (s *faultyStore) Delete(_ context.Context, key string, expect store.Version) error {
	if s.latest(key).Version == expect {
		delete(s.objects, key)
	}
	return nil
}

func (s *faultyStore) List(_ context.Context, prefix string) (store.Batch, error) {
	batch := store.Batch{Next: s.version}
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) {
			batch.Changes = append(batch.Changes, store.Change{Object: s.latest(key)})
		}
	}
	return batch, nil
}

func (s *faultyStore) Watch(context.Context, string, store.Version) (store.Batch, error) {
	return store.Batch{}, &store.UnavailableError{Op: "watch"}
}

// documents returns every document that was ever stored, oldest first.
func (s *faultyStore) documents() []*Document {
	s.t.Helper()
	var out []*Document
	for _, object := range s.objects[store.ConfigKey] {
		d, err := Decode(object.Key, object.Value)
		if err != nil {
			s.t.Fatal(err)
		}
		out = append(out, d)
	}
	return out
}
