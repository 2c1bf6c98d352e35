package discovery

import (
	"cmp"
	"slices"
	"sync"

	"redwingpoint.org/redwingpoint/internal/store"
)

// replica is an instance's copy of the objects under one prefix, received from the
// store or from peers. The version of a key never decreases. It is safe for
// concurrent use.
type replica struct {
	prefix string
	// apply is called with every new state of an object, while mu is held.
	apply func(store.Change)

	mu      sync.Mutex
	objects map[string]store.Change
	// held is the highest version of an object; all changes up to it are known.
	held store.Version
	// cursor is where the next watch starts; it is never less than held.
	cursor store.Version
	// complete is set by the first batch, which is a full list from the store or a peer.
	complete bool
}

func newReplica(prefix string, apply func(store.Change)) *replica {
	return &replica{prefix: prefix, apply: apply, objects: make(map[string]store.Change)}
}

// replaceAll replaces all objects by a complete list. If the list is older than the
// replica, it changes nothing and returns *store.StaleError.
func (r *replica) replaceAll(b store.Batch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Next < r.held {
		return &store.StaleError{Have: r.held, Got: b.Next}
	}
	listed := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		listed[c.Key] = true
	}
	for key, current := range r.objects {
		if !listed[key] && !current.Deleted {
			r.set(store.Change{Object: store.Object{Key: key, Version: b.Next}, Deleted: true})
		}
	}
	r.mergeLocked(b)
	return nil
}

// merge adds the changes that follow a version already held.
func (r *replica) merge(b store.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeLocked(b)
}

func (r *replica) mergeLocked(b store.Batch) {
	for _, c := range b.Changes {
		if c.Version > r.objects[c.Key].Version {
			r.set(c)
		}
	}
	r.cursor = max(r.cursor, b.Next, r.held)
	r.complete = true
}

func (r *replica) set(c store.Change) {
	r.objects[c.Key] = c
	r.held = max(r.held, c.Version)
	r.apply(c)
}

// since returns the objects that changed after a version, in order of version.
func (r *replica) since(after store.Version) store.Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := store.Batch{Next: r.held}
	for _, c := range r.objects {
		if c.Version > after {
			b.Changes = append(b.Changes, c)
		}
	}
	slices.SortFunc(b.Changes, func(x, y store.Change) int { return cmp.Compare(x.Version, y.Version) })
	return b
}

// state returns the highest version held, the cursor of the next watch, and whether
// the replica is complete.
func (r *replica) state() (held, cursor store.Version, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held, r.cursor, r.complete
}
