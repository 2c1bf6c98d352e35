// Package standin provides fakes of the platform and of targets, with injected faults,
// for tests and the quick start. It is not part of the released binary.
package standin

import (
	"strings"
	"sync"

	"redwingpoint.org/redwingpoint/internal/store"
)

// maxStatesPerKey is the number of states kept of each object. It exceeds maxReplicaLag,
// so that a stale read finds the state that it has to show.
const maxStatesPerKey = 8

// Objects is an in-memory versioned object store. It is safe for concurrent use.
type Objects struct {
	mu      sync.Mutex
	version store.Version
	// objects holds the states of each key, the newest last.
	objects map[string][]store.Change
	// nextWrite is closed and replaced at each write.
	nextWrite chan struct{}
	// oldest is the lowest cursor that watches may resume from.
	oldest store.Version
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{objects: make(map[string][]store.Change), nextWrite: make(chan struct{})}
}

// Get returns the newest state of an object and whether it exists.
func (o *Objects) Get(key string) (store.Object, bool) { return o.GetAsOf(key, o.Version()) }

// GetAsOf returns an object as of an earlier version of the store, and whether it
// existed then.
func (o *Objects) GetAsOf(key string, at store.Version) (store.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.asOf(key, at)
	return c.Object, c.Version > 0 && !c.Deleted
}

// Version returns the version of the store: the number of writes so far.
func (o *Objects) Version() store.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// Write stores or deletes an object if its version is expect; an absent object has
// version 0. It returns the object's version afterwards and whether the condition held.
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
	if len(states) > maxStatesPerKey {
		states = append([]store.Change{}, states[1:]...)
	}
	o.objects[key] = states
	close(o.nextWrite)
	o.nextWrite = make(chan struct{})
	return o.version, true
}

// ExpireCursors makes watches from cursors before the current version fail, as after a
// compaction of the store's history.
func (o *Objects) ExpireCursors() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.oldest = o.version
}

// NextWrite returns a channel that is closed at the next write. A watch that gets it before it
// reads the version misses no write.
func (o *Objects) NextWrite() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.nextWrite
}

// Since returns the newest state of the objects under prefix that were written after a
// version, with the version of the store.
func (o *Objects) Since(prefix string, after store.Version) store.Batch {
	return o.SinceAsOf(prefix, after, o.Version())
}

// SinceAsOf is Since as of version at: it ignores later writes.
func (o *Objects) SinceAsOf(prefix string, after, at store.Version) store.Batch {
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
	return batch
}

// CursorExpired reports whether a watch may no longer resume from a cursor.
func (o *Objects) CursorExpired(after store.Version) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return after < o.oldest
}

// asOf returns the state of a key as of a version, or the zero Change if there was none.
// The caller holds o.mu.
func (o *Objects) asOf(key string, at store.Version) store.Change {
	states := o.objects[key]
	for i := len(states) - 1; i >= 0; i-- {
		if states[i].Version <= at {
			return states[i]
		}
	}
	return store.Change{}
}
