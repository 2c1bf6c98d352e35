package discovery

import (
	"cmp"
	"slices"
	"sync"

	"redwingpoint.org/redwingpoint/internal/store"
)

// replica is what an instance knows of the objects under one prefix, learnt from
// the store or from peers. Versions of a key only rise. It is safe for
// concurrent use.
type replica struct {
	prefix string
	// apply is told of every new state, one at a time.
	apply func(store.Change)

	mu      sync.Mutex
	objects map[string]store.Change
	// held is the highest version of an object; all changes up to it are known.
	held store.Version
	// cursor is where the next watch starts; it is never below held.
	cursor store.Version
	// filled is set once the replica holds a complete list.
	filled bool
}

func newReplica(prefix string, apply func(store.Change)) *replica {
	return &replica{prefix: prefix, apply: apply, objects: make(map[string]store.Change)}
}

// takeList takes a complete list in. It returns *store.StaleError, and
// changes nothing, if the list is older than what is known.
func (r *replica) takeList(b store.Batch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Next < r.held {
		return &store.StaleError{Have: r.held, Got: b.Next}
	}
	listed := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		listed[c.Key] = true
	}
	for key, old := range r.objects {
		if !listed[key] && !old.Deleted {
			r.put(store.Change{Object: store.Object{Key: key, Version: b.Next}, Deleted: true})
		}
	}
	r.takeLocked(b)
	return nil
}

// take takes the changes after a version in that was known.
func (r *replica) take(b store.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeLocked(b)
}

func (r *replica) takeLocked(b store.Batch) {
	for _, c := range b.Changes {
		if c.Version > r.objects[c.Key].Version {
			r.put(c)
		}
	}
	r.cursor = max(r.cursor, b.Next, r.held)
	r.filled = true
}

func (r *replica) put(c store.Change) {
	r.objects[c.Key] = c
	r.held = max(r.held, c.Version)
	r.apply(c)
}

// since returns the objects that changed after a version.
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

// state returns the versions held and to watch from, and whether the replica is complete.
func (r *replica) state() (held, cursor store.Version, filled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held, r.cursor, r.filled
}
