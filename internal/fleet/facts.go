package fleet

import (
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

type factID struct {
	kind FactKind
	key  string
}

// Facts is the Board of one instance. Merge feeds it from peers.
type Facts struct {
	self  model.InstanceID
	clock *events.Clock
	now   func() time.Time

	mu          sync.Mutex
	facts       map[factID]Fact
	subscribers map[FactKind][]func(Fact)
}

var _ Board = (*Facts)(nil)

// NewFacts returns an empty board of an instance.
func NewFacts(self model.InstanceID, clock *events.Clock, now func() time.Time) *Facts {
	return &Facts{
		self:        self,
		clock:       clock,
		now:         now,
		facts:       make(map[factID]Fact),
		subscribers: make(map[FactKind][]func(Fact)),
	}
}

// Publish implements Board.
func (b *Facts) Publish(kind FactKind, key string, value []byte, ttl time.Duration) {
	f := Fact{Kind: kind, Key: key, Stamp: b.clock.Now(), Origin: b.self, Value: value}
	if ttl > 0 {
		f.Expires = b.now().Add(ttl).UnixMilli()
	}
	b.Merge(f)
}

// Merge takes a fact in if it is newer than what is known, and reports whether it was.
func (b *Facts) Merge(f Fact) bool {
	b.clock.Observe(f.Stamp)
	if f.ExpiredAt(b.now()) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id := factID{f.Kind, f.Key}
	if old, ok := b.facts[id]; ok && !f.newer(&old) {
		return false
	}
	b.facts[id] = f
	for _, notify := range b.subscribers[f.Kind] {
		notify(f)
	}
	return true
}

// Lookup implements Board.
func (b *Facts) Lookup(kind FactKind, key string) (Fact, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.facts[factID{kind, key}]
	return f, ok && !f.ExpiredAt(b.now())
}

// Each implements Board.
func (b *Facts) Each(kind FactKind, visit func(Fact)) {
	for _, f := range b.all(kind) {
		visit(f)
	}
}

func (b *Facts) all(kind FactKind) []Fact {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Fact
	for id, f := range b.facts {
		if id.kind == kind && !f.ExpiredAt(b.now()) {
			out = append(out, f)
		}
	}
	return out
}

// Subscribe implements Board.
func (b *Facts) Subscribe(kind FactKind, notify func(Fact)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscribers[kind] = append(b.subscribers[kind], notify)
}
