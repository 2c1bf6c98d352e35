package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

// factID identifies a fact: a replica holds at most one fact for each factID.
type factID struct {
	kind FactKind
	key  string
}

// FactReplica implements FactStore as the replica of one instance. Facts received from
// peers are added with Merge. It is safe for concurrent use.
type FactReplica struct {
	self  model.InstanceID
	clock *events.Clock
	now   func() time.Time

	mu          sync.Mutex
	facts       map[factID]Fact
	bucketSums  digest
	subscribers map[FactKind][]func(Fact)
	// onPublish is called, if set, with every fact that Publish or Supersede stores.
	onPublish func(Fact)
	// pending holds the facts that subscribers have not been notified of yet;
	// notifying is set while a goroutine delivers them.
	pending   []Fact
	notifying bool
}

var _ FactStore = (*FactReplica)(nil)

// NewFactReplica returns an empty replica for the instance self. The clock stamps the
// facts that it publishes; now decides whether facts have expired.
func NewFactReplica(self model.InstanceID, clock *events.Clock, now func() time.Time) *FactReplica {
	return &FactReplica{
		self:        self,
		clock:       clock,
		now:         now,
		facts:       make(map[factID]Fact),
		subscribers: make(map[FactKind][]func(Fact)),
	}
}

// Publish implements FactStore. The fact replaces the one stored so far even if that
// one was stamped by a clock that runs ahead: the new stamp is at least one higher.
// Facts with a value above MaxValueBytes are stored but not forwarded to peers.
func (r *FactReplica) Publish(kind FactKind, key string, value []byte, ttl time.Duration) {
	f := Fact{Kind: kind, Key: key, Stamp: r.clock.Now(), Origin: r.self, Value: value}
	if ttl > 0 {
		f.Expires = r.now().Add(ttl).UnixMilli()
	}
	r.mu.Lock()
	if old, ok := r.facts[factID{kind, key}]; ok {
		f.Stamp = max(f.Stamp, old.Stamp+1)
	}
	r.putAndPublish(f)
}

// Supersede publishes, on behalf of another instance, a fact that supersedes the one
// stored under its ID (the key). Stamp and origin are derived from the superseded
// fact alone, so that instances that detect a failure independently publish
// identical facts, which are forwarded only once, and any later fact of the
// instance itself wins. Supersede does nothing if no fact is stored under the key.
func (r *FactReplica) Supersede(kind FactKind, key string, value []byte, ttl time.Duration) {
	expires := r.now().Add(ttl).Truncate(suspicionExpiryStep).Add(suspicionExpiryStep)
	r.mu.Lock()
	old, ok := r.facts[factID{kind, key}]
	if !ok {
		r.mu.Unlock()
		return
	}
	f := Fact{Kind: kind, Key: key, Stamp: old.Stamp + 1, Origin: model.InstanceID(key), Expires: expires.UnixMilli(), Value: value}
	r.putAndPublish(f)
}

// putAndPublish stores a fact, passes it to onPublish and notifies subscribers. The
// caller must hold r.mu, which is released.
func (r *FactReplica) putAndPublish(f Fact) {
	r.put(f)
	onPublish := r.onPublish
	r.mu.Unlock()
	if onPublish != nil {
		onPublish(f)
	}
	r.notify()
}

// suspicionExpiryStep is the granularity to which the expiry of a fact published by
// Supersede is rounded up, so that instances publishing at about the same time produce
// identical facts.
const suspicionExpiryStep = time.Hour

// Merge stores a fact received from a peer if it is unexpired and supersedes the
// stored one, and reports whether it did. It advances the clock to the fact's stamp.
func (r *FactReplica) Merge(f Fact) bool {
	r.clock.Observe(f.Stamp)
	if f.ExpiredAt(r.now()) {
		return false
	}
	r.mu.Lock()
	old, known := r.facts[factID{f.Kind, f.Key}]
	superseding := !known || f.supersedes(&old)
	if superseding {
		r.put(f)
	}
	r.mu.Unlock()
	if superseding {
		r.notify()
	}
	return superseding
}

// put stores a fact, replacing any earlier one, and queues it for notification. The
// caller must hold r.mu.
func (r *FactReplica) put(f Fact) {
	id := factID{f.Kind, f.Key}
	if old, ok := r.facts[id]; ok {
		r.bucketSums.toggle(&old)
	}
	r.facts[id] = f
	r.bucketSums.toggle(&f)
	r.pending = append(r.pending, f)
}

// notify delivers the pending facts to their subscribers, one at a time and in
// order, without holding r.mu. If another call is already delivering, that call also
// delivers the facts queued meanwhile, so a subscriber may publish without deadlock.
func (r *FactReplica) notify() {
	r.mu.Lock()
	if r.notifying {
		r.mu.Unlock()
		return
	}
	r.notifying = true
	for len(r.pending) > 0 {
		f := r.pending[0]
		r.pending = r.pending[1:]
		subscribers := r.subscribers[f.Kind]
		r.mu.Unlock()
		for _, callback := range subscribers {
			callback(f)
		}
		r.mu.Lock()
	}
	r.pending = nil
	r.notifying = false
	r.mu.Unlock()
}

// Lookup implements FactStore.
func (r *FactReplica) Lookup(kind FactKind, key string) (Fact, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.facts[factID{kind, key}]
	return f, ok && !f.ExpiredAt(r.now())
}

// Each implements FactStore. Facts are visited in the order of their keys.
func (r *FactReplica) Each(kind FactKind, visit func(Fact)) {
	for _, f := range r.matching(func(f *Fact) bool { return f.Kind == kind }) {
		visit(f)
	}
}

// matching returns the unexpired facts for which match returns true, ordered by kind
// and key.
func (r *FactReplica) matching(match func(*Fact) bool) []Fact {
	r.mu.Lock()
	now := r.now()
	var out []Fact
	for _, f := range r.facts {
		if match(&f) && !f.ExpiredAt(now) {
			out = append(out, f)
		}
	}
	r.mu.Unlock()
	slices.SortFunc(out, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// Subscribe implements FactStore.
func (r *FactReplica) Subscribe(kind FactKind, notify func(Fact)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[kind] = append(slices.Clone(r.subscribers[kind]), notify)
}

// deleteMatching deletes the expired facts and those for which match returns true.
// Subscribers are not notified.
func (r *FactReplica) deleteMatching(match func(*Fact) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for id, f := range r.facts {
		if f.ExpiredAt(now) || match(&f) {
			r.bucketSums.toggle(&f)
			delete(r.facts, id)
		}
	}
}

// Len returns the number of stored facts, including expired ones that have not been
// deleted yet.
func (r *FactReplica) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.facts)
}
