// Package standin has small stand-ins for the platform and for upstream servers.
// It serves tests and the quick start and is not part of the shipped binary.
package standin

import (
	"strings"
	"sync"

	"redwingpoint.org/redwingpoint/internal/platform"
)

// Objects is an in-memory versioned object store.
type Objects struct {
	mu      sync.Mutex
	version platform.Version
	objects map[string]platform.Change
	wake    chan struct{}
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{objects: make(map[string]platform.Change), wake: make(chan struct{})}
}

// Get returns the object and whether it exists.
func (o *Objects) Get(key string) (platform.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.objects[key]
	return c.Object, ok && !c.Deleted
}

// Write stores or deletes an object if its version is expect. It returns the
// object's version afterwards and whether the condition held.
func (o *Objects) Write(key string, expect platform.Version, value []byte, deleted bool) (platform.Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.objects[key]
	if current.Deleted {
		current.Version = 0
	}
	if current.Version != expect {
		return current.Version, false
	}
	o.version++
	o.objects[key] = platform.Change{
		Object:  platform.Object{Key: key, Version: o.version, Value: value},
		Deleted: deleted,
	}
	close(o.wake)
	o.wake = make(chan struct{})
	return o.version, true
}

// Since returns the newest state of the objects under prefix written after a
// version, the store's version, and a channel closed at the next write.
func (o *Objects) Since(prefix string, after platform.Version) (platform.Batch, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := platform.Batch{Next: o.version}
	for key, c := range o.objects {
		if c.Version > after && strings.HasPrefix(key, prefix) && (after > 0 || !c.Deleted) {
			batch.Changes = append(batch.Changes, c)
		}
	}
	return batch, o.wake
}
