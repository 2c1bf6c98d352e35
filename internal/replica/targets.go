package replica

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// TargetDecoder decodes an object of the store into a target.
type TargetDecoder func(Object) (model.Target, error)

// TargetTable receives the complete list of a service's targets whenever it changes.
type TargetTable interface {
	SetTargets(service model.ServiceName, list []model.Target)
}

// TargetObserver is notified of changes to the set of targets. Its methods are
// called with the lock of Targets held and must not call back.
type TargetObserver interface {
	// TargetUpdated reports a new target, or one that starts or stops leaving.
	TargetUpdated(t model.Target, revision Position)
	// TargetRemoved reports a removal; expired is set if it was deferred after an outage.
	TargetRemoved(id model.TargetID, expired bool)
	// TargetRejected reports an object that can't be decoded.
	TargetRejected(name string, err error)
	// StoreReturned reports the first list after the store returned from an older copy.
	StoreReturned(r Return)
}

// Targets keeps a TargetTable up to date. Entries that may be missing only because
// they expired during an outage of the store are removed after a grace period. It
// is safe for concurrent use.
type Targets struct {
	Decode   TargetDecoder
	Table    TargetTable
	Observer TargetObserver
	// OnChange, if set, is called after a change of the entries, with the lock of Targets
	// held.
	OnChange func()
	// ReturnGrace is how long entries stay that the store lacks after it returned from an
	// older copy.
	ReturnGrace time.Duration

	// partEntries, if set, replaces maxPartEntries in tests.
	partEntries int

	mu      sync.Mutex
	entries map[string]*entry
	// asOf is the store's position that the entries reflect.
	asOf Position
	// returning is set while the first list of an era is applied.
	returning bool
	// incomplete is set while the entries are those up to asOf alone, of a list that a relay
	// sends in parts.
	incomplete bool
	// mergedAsOf is the revision of the list last merged from a peer, or 0 after a
	// full list from the store. New entries up to this revision are ignored: a watch
	// that lags behind the peer's list would add entries that are deleted by now.
	mergedAsOf Position
	// digest is the sum of the hashes of all entries.
	digest uint64
	// removals lists the latest removals, the oldest first. It has all of them since
	// removalsSince.
	removals      []removal
	removalsSince Position
	// parts holds the parts sent since the last change, by the revision that they follow.
	parts map[Position]*part
}

type entry struct {
	target   model.Target
	revision Position
	// hash is the entry's part of Targets.digest.
	hash uint64
	// removal is the timer of the entry's pending removal, or nil.
	removal *time.Timer
	// withheld is set if the entry's target gets no requests although the store lists it.
	withheld bool
}

// shown returns the target as the table gets it.
func (e *entry) shown() model.Target {
	target := e.target
	target.Leaving = target.Leaving || e.withheld
	return target
}

// Replace implements View.
func (t *Targets) Replace(snapshot Batch, removeAfter time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if snapshot.AsOf.Era() < t.asOf.Era() {
		return
	}
	if end := t.beginEra(snapshot.AsOf); end != nil {
		defer end()
		removeAfter = t.keepUntil(removeAfter)
	}
	t.advance(snapshot.AsOf)
	t.mergedAsOf, t.incomplete = 0, false
	listed := make(map[string]bool, len(snapshot.Objects))
	affected := make(serviceSet)
	for _, o := range snapshot.Objects {
		listed[o.Name] = true
		t.apply(o, removeAfter, affected)
	}
	for name := range t.entries {
		if !listed[name] {
			t.scheduleRemoval(name, removeAfter, affected)
		}
	}
	t.publish(affected)
}

// Known reports whether all targets of the store are held, as of some revision.
func (t *Targets) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf > 0 && !t.incomplete
}

// Update implements View.
func (t *Targets) Update(changes Batch, removeAfter time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if changes.AsOf.Era() < t.asOf.Era() {
		return
	}
	if changes.AsOf > t.asOf {
		t.incomplete = false
	}
	t.advance(changes.AsOf)
	affected := make(serviceSet)
	for _, o := range changes.Objects {
		t.apply(o, removeAfter, affected)
	}
	t.publish(affected)
}

// serviceSet is the set of services whose target lists have changed.
type serviceSet map[model.ServiceName]bool

func (t *Targets) apply(o Object, removeAfter time.Time, affected serviceSet) {
	if o.Deleted {
		if e := t.entries[o.Name]; e != nil && o.Revision >= e.revision {
			t.scheduleRemoval(o.Name, removeAfter, affected)
		}
		return
	}
	target, err := t.Decode(o)
	if err != nil {
		t.Observer.TargetRejected(o.Name, err)
		t.deleteEntry(o.Name, t.asOf, false, affected)
		return
	}
	t.upsert(TargetEntry{Name: o.Name, Revision: o.Revision, Target: target}, affected)
}

// upsert adds or replaces an entry unless the one held is as new or newer.
func (t *Targets) upsert(e TargetEntry, affected serviceSet) {
	old := t.entries[e.Name]
	if old == nil && e.Revision <= t.mergedAsOf {
		return
	}
	if old != nil {
		t.cancelRemoval(old)
		if old.revision >= e.Revision {
			return
		}
		affected[old.target.Service] = true
		t.digest -= old.hash
	}
	if t.entries == nil {
		t.entries = make(map[string]*entry)
	}
	t.parts = nil
	added := &entry{target: e.Target, revision: e.Revision, hash: entryHash(e.Name, e.Revision)}
	if t.returning {
		t.compareWithKnown(added, old)
	}
	t.entries[e.Name] = added
	t.digest += added.hash
	affected[e.Target.Service] = true
	if shown := added.shown(); old == nil || old.shown().Leaving != shown.Leaving {
		t.Observer.TargetUpdated(shown, e.Revision)
	}
}

// cancelRemoval stops the entry's pending removal, if any.
func (t *Targets) cancelRemoval(e *entry) {
	if e.removal != nil {
		e.removal.Stop()
		e.removal = nil
	}
}

// scheduleRemoval removes an entry at removeAfter, or at once if that has passed.
func (t *Targets) scheduleRemoval(name string, removeAfter time.Time, affected serviceSet) {
	e := t.entries[name]
	if e == nil {
		return
	}
	delay := time.Until(removeAfter)
	if delay <= 0 {
		t.deleteEntry(name, t.asOf, false, affected)
		return
	}
	if e.removal == nil {
		e.removal = time.AfterFunc(delay, func() { t.expire(name, e) })
	}
}

// expire removes an entry that was not registered again within the grace period.
func (t *Targets) expire(name string, e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[name] != e || e.removal == nil {
		return
	}
	affected := make(serviceSet)
	// A peer whose list is of the same revision learns of this removal with the next one.
	t.deleteEntry(name, t.asOf+1, true, affected)
	t.publish(affected)
}

// deleteEntry removes an entry, if it exists, as of a revision of the store.
func (t *Targets) deleteEntry(name string, revision Position, expired bool, affected serviceSet) {
	e := t.entries[name]
	if e == nil {
		return
	}
	t.cancelRemoval(e)
	delete(t.entries, name)
	t.parts = nil
	t.digest -= e.hash
	t.recordRemoval(name, e.target.Process(), revision)
	affected[e.target.Service] = true
	t.Observer.TargetRemoved(e.target.ID, expired)
}

// publish passes the lists of the changed services to the table.
func (t *Targets) publish(affected serviceSet) {
	for service := range maps.Keys(affected) {
		t.Table.SetTargets(service, t.list(service))
	}
	if len(affected) > 0 && t.OnChange != nil {
		t.OnChange()
	}
}

func (t *Targets) list(service model.ServiceName) []model.Target {
	var list []model.Target
	for _, e := range t.entries {
		if e.target.Service == service {
			list = append(list, e.shown())
		}
	}
	slices.SortFunc(list, func(a, b model.Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
