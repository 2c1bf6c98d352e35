// Package standin has small stand-ins for the platform and for upstream servers.
// It serves tests and the quick start and is not part of the shipped binary.
package standin

import (
	"strings"
	"sync"

	"redwingpoint.org/redwingpoint/internal/store"
)

// keptStates is the number of past states of an object that an old replica may show.
const keptStates = 8

// Objects is an in-memory versioned object store.
type Objects struct {
	mu      sync.Mutex
	version store.Version
	// objects holds the states of each key, the newest last.
	objects map[string][]store.Change
	wake    chan struct{}
	// oldest is the lowest cursor that watches may resume from.
	oldest store.Version
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{objects: make(map[string][]store.Change), wake: make(chan struct{})}
}

// Get returns the object and whether it exists.
func (o *Objects) Get(key string) (store.Object, bool) { return o.GetAsOf(key, o.Version()) }

// GetAsOf returns the object as a replica at an earlier version shows it.
func (o *Objects) GetAsOf(key string, at store.Version) (store.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.asOf(key, at)
	return c.Object, c.Version > 0 && !c.Deleted
}

// Version returns the number of writes so far.
func (o *Objects) Version() store.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// Write stores or deletes an object if its version is expect. It returns the
// object's version afterwards and whether the condition held.
func (o *Objects) Write(key string, expect store.Version, value []byte, deleted bool) (store.Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.asOf(key, o.version)
	if current.Deleted {
		current.Version = 0
	}
	if current.Version != expect {
		return current.Version, false
	}
	o.version++
	states := append(o.objects[key], store.Change{
		Object:  store.Object{Key: key, Version: o.version, Value: value},
		Deleted: deleted,
	})
	if len(states) > keptStates {
		states = append([]store.Change{}, states[1:]...)
	}
	o.objects[key] = states
	close(o.wake)
	o.wake = make(chan struct{})
	return o.version, true
}

// ForgetCursors makes watches from cursors before the present version fail.
func (o *Objects) ForgetCursors() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.oldest = o.version
}

// Since returns the newest state of the objects under prefix written after a
// version, the store's version, and a channel closed at the next write.
func (o *Objects) Since(prefix string, after store.Version) (store.Batch, <-chan struct{}) {
	return o.SinceAsOf(prefix, after, o.Version())
}

// SinceAsOf is Since at a replica that has seen the writes up to a version.
func (o *Objects) SinceAsOf(prefix string, after, at store.Version) (store.Batch, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := store.Batch{Next: at}
	for key := range o.objects {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		c := o.asOf(key, at)
		if c.Version > after && (after > 0 || !c.Deleted) {
			batch.Changes = append(batch.Changes, c)
		}
	}
	return batch, o.wake
}

// CursorGone reports whether a watch may no longer resume from a cursor.
func (o *Objects) CursorGone(after store.Version) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return after < o.oldest
}

// asOf returns the state of a key at a version; the caller holds the lock.
func (o *Objects) asOf(key string, at store.Version) store.Change {
	states := o.objects[key]
	for i := len(states) - 1; i >= 0; i-- {
		if states[i].Version <= at {
			return states[i]
		}
	}
	return store.Change{}
}
