package config

import (
	"context"
	"slices"
	"strings"
	"testing"

	"redwingpoint.org/redwingpoint/internal/store"
)

// fault is what happens to one call of the store.
type fault int

const (
	ok fault = iota
	// unavailable: the call has no effect and the caller knows.
	unavailable
	// lostBefore: the call has no effect and the caller doesn't know.
	lostBefore
	// lostAfter: the call takes effect and the caller doesn't know.
	lostAfter
	// delayed: the call reaches the store later, and the caller doesn't know.
	delayed
	// stale: a read answers with an older state.
	stale
	faults
)

// faultyStore is an object store in which each call may fail in its own way. It
// is used by one goroutine at a time.
type faultyStore struct {
	t       testing.TB
	version store.Version
	objects map[string][]store.Object
	// next returns the fault of the next call.
	next func() fault
	// before runs ahead of each call.
	before  func()
	pending []func()
	// age is how many writes a stale answer lags behind.
	age int
}

func newFaultyStore(t testing.TB) *faultyStore {
	return &faultyStore{
		t:       t,
		objects: make(map[string][]store.Object),
		next:    func() fault { return ok },
		before:  func() {},
		age:     1,
	}
}

// flush lets the delayed writes arrive.
func (s *faultyStore) flush() {
	for _, write := range s.pending {
		write()
	}
	s.pending = nil
}

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
	case ctx.Err() != nil || f == unavailable || f == lostBefore || f == lostAfter:
		return store.Object{}, &store.UnavailableError{Op: "get", Cause: context.DeadlineExceeded}
	case f == stale && len(states) >= s.age:
		states = states[:len(states)-s.age]
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
	case f == lostBefore:
		return 0, lost
	case f == lostAfter:
		_, _ = s.put(key, expect, value)
		return 0, lost
	case f == delayed:
		s.pending = append(s.pending, func() { _, _ = s.put(key, expect, value) })
		return 0, lost
	}
	return s.put(key, expect, value)
}

func (s *faultyStore) put(key string, expect store.Version, value []byte) (store.Version, error) {
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

// documents returns every document that was ever stored, the oldest first.
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
