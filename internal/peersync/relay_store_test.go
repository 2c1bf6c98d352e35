package peersync

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/replica"
)

var errStoreDown = errors.New("store is down")

// relayStore is a store with routes and targets and one counter of revisions.
type relayStore struct {
	mu       sync.Mutex
	revision replica.Position
	// floor is the revision up to which the history is gone.
	floor   replica.Position
	objects map[string]map[string]replica.Object
	changed chan struct{}
	downFor func(node, kind string) bool
	// strongRefused is set while strong watches fail and cheap ones show no change.
	strongRefused bool
	// withoutEras is the node whose build knows no eras, or "".
	withoutEras string
	calls       map[string]int
	// responseDelay, if set, returns the time from the state that a watch shows to its return.
	responseDelay func() time.Duration
}

func newRelayStore(targets int) *relayStore {
	s := &relayStore{
		objects: map[string]map[string]replica.Object{"routes": {}, "targets": {}, "evacuations": {}},
		changed: make(chan struct{}), calls: make(map[string]int), downFor: func(string, string) bool { return false },
	}
	s.put("routes", "main", "1")
	for i := range targets {
		s.put("targets", strconv.Itoa(i), "a")
	}
	return s
}

func (s *relayStore) put(kind, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects[kind][name] = replica.Object{Name: name, Revision: s.revision, Value: []byte(value), Deleted: value == ""}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the calls for which downFor returns true fail, waiting watches included.
func (s *relayStore) setDown(downFor func(node, kind string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downFor = downFor
	close(s.changed)
	s.changed = make(chan struct{})
}

// relayCopy is the state of a relayStore at some time.
type relayCopy struct {
	revision replica.Position
	objects  map[string]map[string]replica.Object
}

func (s *relayStore) copy() relayCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := relayCopy{revision: s.revision, objects: make(map[string]map[string]replica.Object)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// restore makes the store return from an older copy and returns the latest states that it lost.
func (s *relayStore) restore(c relayCopy) (lost relayCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost.objects = make(map[string]map[string]replica.Object)
	era := s.revision.Era() + 1
	for kind, objects := range s.objects {
		lost.objects[kind] = make(map[string]replica.Object)
		restored := make(map[string]replica.Object)
		for name, o := range objects {
			if o.Revision.Revision() != c.objects[kind][name].Revision.Revision() || string(o.Value) != string(c.objects[kind][name].Value) {
				lost.objects[kind][name] = o
			}
		}
		for name, o := range c.objects[kind] {
			o.Revision = inEra(era, o.Revision)
			restored[name] = o
		}
		s.objects[kind] = restored
	}
	s.revision, s.floor = inEra(era, c.revision), 0
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// inEra returns the position of the same revision in an era.
func inEra(era uint64, p replica.Position) replica.Position {
	moved, err := replica.NewPosition(era, p.Revision())
	if err != nil {
		panic(err)
	}
	return moved
}

func (s *relayStore) loseHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.floor = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// takeCalls returns the number of calls of a node by operation and resets it.
func (s *relayStore) takeCalls(node string) (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lists, watches = s.calls[node+" list"], s.calls[node+" watch"]
	s.calls[node+" list"], s.calls[node+" watch"] = 0, 0
	return lists, watches
}

// relaySource is one node's view of the objects of one kind.
type relaySource struct {
	*relayStore
	node, kind string
}

// changesAfter returns the objects changed after a revision. s.mu must be held.
func (s relaySource) changesAfter(after replica.Position, deleted bool) replica.Batch {
	batch := replica.Batch{AsOf: s.revision}
	for _, o := range s.objects[s.kind] {
		if o.Revision > after && (deleted || !o.Deleted) {
			batch.Objects = append(batch.Objects, o)
		}
	}
	if s.node == s.withoutEras {
		batch.AsOf = inEra(0, batch.AsOf)
		for i := range batch.Objects {
			batch.Objects[i].Revision = inEra(0, batch.Objects[i].Revision)
		}
	}
	return batch
}

func (s relaySource) List(_ context.Context, maxPages int, _ func()) (replica.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[s.node+" list"]++
	if s.downFor(s.node, s.kind) {
		return replica.Batch{}, errStoreDown
	}
	batch := s.changesAfter(0, false)
	if maxPages > 0 && len(batch.Objects) > maxPages*pageObjects {
		return replica.Batch{}, &replica.TooLongError{Pages: maxPages}
	}
	return batch, nil
}

// pageObjects is the number of objects in a page of the store.
const pageObjects = 500

func (s relaySource) Watch(ctx context.Context, after replica.Position, wait time.Duration, c replica.Consistency, _ func()) (replica.Batch, error) {
	s.mu.Lock()
	s.calls[s.node+" watch"]++
	refused := s.strongRefused && s.node == "node"
	s.mu.Unlock()
	if refused && c == replica.Strong {
		return replica.Batch{}, errStoreDown
	}
	if refused {
		return replica.Batch{AsOf: after}, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		// A store knows the revision alone.
		from := inEra(s.revision.Era(), after)
		down, gone, batch, changed := s.downFor(s.node, s.kind), from < s.floor || from > s.revision, s.changesAfter(from, true), s.changed
		s.mu.Unlock()
		switch {
		case down:
			return replica.Batch{}, errStoreDown
		case gone:
			return replica.Batch{}, &replica.HistoryGoneError{After: after}
		case len(batch.Objects) > 0:
			return batch, s.awaitResponse(ctx)
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, s.awaitResponse(ctx)
		case <-ctx.Done():
			return replica.Batch{}, ctx.Err()
		}
	}
}

// awaitResponse waits for responseDelay.
func (s relaySource) awaitResponse(ctx context.Context) error {
	if s.responseDelay == nil {
		return nil
	}
	select {
	case <-time.After(s.responseDelay()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
