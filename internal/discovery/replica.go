package discovery

import (
	"cmp"
	"slices"
	"sync"

	"redwingpoint.org/redwingpoint/internal/platform"
)

// replica is what an instance knows of the objects under one prefix, learnt from
// the store or from peers. Versions of a key only rise. It is safe for
// concurrent use.
type replica struct {
	prefix string
	// apply is told of every new state, one at a time.
	apply func(platform.Change)

	mu      sync.Mutex
	objects map[string]platform.Change
	// held is the highest version of an object; all changes up to it are known.
	held platform.Version
	// cursor is where the next watch starts; it is never below held.
	cursor platform.Version
	// filled is set once the replica holds a complete list.
	filled bool
}

func newReplica(prefix string, apply func(platform.Change)) *replica {
	return &replica{prefix: prefix, apply: apply, objects: make(map[string]platform.Change)}
}

// takeList takes a complete list in. It returns *platform.StaleError, and
// changes nothing, if the list is older than what is known.
func (r *replica) takeList(b platform.Batch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Next < r.held {
		return &platform.StaleError{Have: r.held, Got: b.Next}
	}
	listed := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		listed[c.Key] = true
	}
	for key, old := range r.objects {
		if !listed[key] && !old.Deleted {
			r.put(platform.Change{Object: platform.Object{Key: key, Version: b.Next}, Deleted: true})
		}
	}
	r.takeLocked(b)
	return nil
}

// take takes the changes after a version in that was known.
func (r *replica) take(b platform.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeLocked(b)
}

func (r *replica) takeLocked(b platform.Batch) {
	for _, c := range b.Changes {
		if c.Version > r.objects[c.Key].Version {
			r.put(c)
		}
	}
	r.cursor = max(r.cursor, b.Next, r.held)
	r.filled = true
}

func (r *replica) put(c platform.Change) {
	r.objects[c.Key] = c
	r.held = max(r.held, c.Version)
	r.apply(c)
}

// since returns the objects that changed after a version.
func (r *replica) since(after platform.Version) platform.Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := platform.Batch{Next: r.held}
	for _, c := range r.objects {
		if c.Version > after {
			b.Changes = append(b.Changes, c)
		}
	}
	slices.SortFunc(b.Changes, func(x, y platform.Change) int { return cmp.Compare(x.Version, y.Version) })
	return b
}

// state returns the versions held and to watch from, and whether the replica is complete.
func (r *replica) state() (held, cursor platform.Version, filled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held, r.cursor, r.filled
}
