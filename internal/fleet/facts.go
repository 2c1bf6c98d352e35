package fleet

import (
	"cmp"
	"slices"
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
	sums        digest
	subscribers map[FactKind][]func(Fact)
	// published is told of every fact that Publish states.
	published func(Fact)
	// pending are facts that subscribers have yet to see; notifying is set while
	// a goroutine tells them.
	pending   []Fact
	notifying bool
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

// Publish implements Board. The fact wins over the one known so far, also when
// that one was stamped by a clock that is ahead. Facts above MaxValueBytes are
// kept, but don't spread.
func (b *Facts) Publish(kind FactKind, key string, value []byte, ttl time.Duration) {
	f := Fact{Kind: kind, Key: key, Stamp: b.clock.Now(), Origin: b.self, Value: value}
	if ttl > 0 {
		f.Expires = b.now().Add(ttl).UnixMilli()
	}
	b.mu.Lock()
	if old, ok := b.facts[factID{kind, key}]; ok {
		f.Stamp = max(f.Stamp, old.Stamp+1)
	}
	b.tell(f)
}

// Accuse states a fact about another instance that replaces what it said last.
// Stamp and origin follow from that statement alone: all that accuse the instance
// state the same fact, which spreads once, and any later word of its own wins. A
// key that is not known is left alone.
func (b *Facts) Accuse(kind FactKind, key string, value []byte, ttl time.Duration) {
	expires := b.now().Add(ttl).Truncate(accusationStep).Add(accusationStep)
	b.mu.Lock()
	old, ok := b.facts[factID{kind, key}]
	if !ok {
		b.mu.Unlock()
		return
	}
	f := Fact{Kind: kind, Key: key, Stamp: old.Stamp + 1, Origin: model.InstanceID(key), Expires: expires.UnixMilli(), Value: value}
	b.tell(f)
}

// tell puts a fact and passes it on. The caller holds b.mu, which is released.
func (b *Facts) tell(f Fact) {
	b.put(f)
	published := b.published
	b.mu.Unlock()
	if published != nil {
		published(f)
	}
	b.notify()
}

// accusationStep rounds the end of an accusation's life, so that all that accuse at
// about the same time state the same.
const accusationStep = time.Hour

// Merge takes a fact in if it is newer than what is known, and reports whether it was.
func (b *Facts) Merge(f Fact) bool {
	b.clock.Observe(f.Stamp)
	if f.ExpiredAt(b.now()) {
		return false
	}
	b.mu.Lock()
	old, known := b.facts[factID{f.Kind, f.Key}]
	isNew := !known || f.newer(&old)
	if isNew {
		b.put(f)
	}
	b.mu.Unlock()
	if isNew {
		b.notify()
	}
	return isNew
}

// put replaces a fact. The caller holds b.mu.
func (b *Facts) put(f Fact) {
	id := factID{f.Kind, f.Key}
	if old, ok := b.facts[id]; ok {
		b.sums.toggle(&old)
	}
	b.facts[id] = f
	b.sums.toggle(&f)
	b.pending = append(b.pending, f)
}

// notify tells subscribers of pending facts, one at a time and in order. A call
// made while another one is at work leaves the rest to that one, so that a
// subscriber may publish.
func (b *Facts) notify() {
	b.mu.Lock()
	if b.notifying {
		b.mu.Unlock()
		return
	}
	b.notifying = true
	for len(b.pending) > 0 {
		f := b.pending[0]
		b.pending = b.pending[1:]
		subscribers := b.subscribers[f.Kind]
		b.mu.Unlock()
		for _, tell := range subscribers {
			tell(f)
		}
		b.mu.Lock()
	}
	b.pending = nil
	b.notifying = false
	b.mu.Unlock()
}

// Lookup implements Board.
func (b *Facts) Lookup(kind FactKind, key string) (Fact, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.facts[factID{kind, key}]
	return f, ok && !f.ExpiredAt(b.now())
}

// Each implements Board. Facts come in the order of their keys.
func (b *Facts) Each(kind FactKind, visit func(Fact)) {
	for _, f := range b.selected(func(f *Fact) bool { return f.Kind == kind }) {
		visit(f)
	}
}

// selected returns the unexpired facts that match, ordered by kind and key.
func (b *Facts) selected(match func(*Fact) bool) []Fact {
	b.mu.Lock()
	now := b.now()
	var out []Fact
	for _, f := range b.facts {
		if match(&f) && !f.ExpiredAt(now) {
			out = append(out, f)
		}
	}
	b.mu.Unlock()
	slices.SortFunc(out, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// Subscribe implements Board.
func (b *Facts) Subscribe(kind FactKind, notify func(Fact)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscribers[kind] = append(slices.Clone(b.subscribers[kind]), notify)
}

// forget drops the facts that match and the expired ones.
func (b *Facts) forget(match func(*Fact) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, f := range b.facts {
		if f.ExpiredAt(now) || match(&f) {
			b.sums.toggle(&f)
			delete(b.facts, id)
		}
	}
}

// Len returns the number of facts held.
func (b *Facts) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.facts)
}
