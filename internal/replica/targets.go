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
	TargetUpdated(t model.Target, revision uint64)
	// TargetRemoved reports a removal; expired is set if it was deferred after an outage.
	TargetRemoved(id model.TargetID, expired bool)
	// TargetRejected reports an object that can't be decoded.
	TargetRejected(name string, err error)
}

// Targets keeps a TargetTable up to date. Entries that may be missing only because
// they expired during an outage of the store are removed after a grace period. It
// is safe for concurrent use.
type Targets struct {
	Decode   TargetDecoder
	Table    TargetTable
	Observer TargetObserver

	mu      sync.Mutex
	entries map[string]*entry
	// asOf is the store's revision that the entries reflect.
	asOf uint64
	// mergedAsOf is the revision of the list last merged from a peer, or 0 after a
	// full list from the store. New entries up to this revision are ignored: a watch
	// that lags behind the peer's list would add entries that are deleted by now.
	mergedAsOf uint64
}

type entry struct {
	target   model.Target
	revision uint64
	// removal is the timer of the entry's pending removal, or nil.
	removal *time.Timer
}

// Replace implements View.
func (v *Targets) Replace(snapshot Batch, removeAfter time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asOf = max(v.asOf, snapshot.AsOf)
	v.mergedAsOf = 0
	listed := make(map[string]bool, len(snapshot.Objects))
	affected := make(serviceSet)
	for _, o := range snapshot.Objects {
		listed[o.Name] = true
		v.apply(o, removeAfter, affected)
	}
	for name := range v.entries {
		if !listed[name] {
			v.scheduleRemoval(name, removeAfter, affected)
		}
	}
	v.publish(affected)
}

// Update implements View.
func (v *Targets) Update(changes Batch, removeAfter time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asOf = max(v.asOf, changes.AsOf)
	affected := make(serviceSet)
	for _, o := range changes.Objects {
		v.apply(o, removeAfter, affected)
	}
	v.publish(affected)
}

// serviceSet is the set of services whose target lists have changed.
type serviceSet map[model.ServiceName]bool

func (v *Targets) apply(o Object, removeAfter time.Time, affected serviceSet) {
	if o.Deleted {
		if e := v.entries[o.Name]; e != nil && o.Revision >= e.revision {
			v.scheduleRemoval(o.Name, removeAfter, affected)
		}
		return
	}
	target, err := v.Decode(o)
	if err != nil {
		v.Observer.TargetRejected(o.Name, err)
		v.deleteEntry(o.Name, false, affected)
		return
	}
	v.upsert(TargetEntry{Name: o.Name, Revision: o.Revision, Target: target}, affected)
}

// upsert adds or replaces an entry unless the one held is as new or newer.
func (v *Targets) upsert(l TargetEntry, affected serviceSet) {
	old := v.entries[l.Name]
	if old == nil && l.Revision <= v.mergedAsOf {
		return
	}
	if old != nil {
		v.cancelRemoval(old)
		if old.revision >= l.Revision {
			return
		}
		affected[old.target.Service] = true
	}
	if v.entries == nil {
		v.entries = make(map[string]*entry)
	}
	v.entries[l.Name] = &entry{target: l.Target, revision: l.Revision}
	affected[l.Target.Service] = true
	if old == nil || old.target.Leaving != l.Target.Leaving {
		v.Observer.TargetUpdated(l.Target, l.Revision)
	}
}

// cancelRemoval stops the entry's pending removal, if any.
func (v *Targets) cancelRemoval(e *entry) {
	if e.removal != nil {
		e.removal.Stop()
		e.removal = nil
	}
}

// scheduleRemoval removes an entry at removeAfter, or at once if that has passed.
func (v *Targets) scheduleRemoval(name string, removeAfter time.Time, affected serviceSet) {
	e := v.entries[name]
	if e == nil {
		return
	}
	delay := time.Until(removeAfter)
	if delay <= 0 {
		v.deleteEntry(name, false, affected)
		return
	}
	if e.removal == nil {
		e.removal = time.AfterFunc(delay, func() { v.expire(name, e) })
	}
}

// expire removes an entry that was not registered again within the grace period.
func (v *Targets) expire(name string, e *entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.entries[name] != e || e.removal == nil {
		return
	}
	affected := make(serviceSet)
	v.deleteEntry(name, true, affected)
	v.publish(affected)
}

func (v *Targets) deleteEntry(name string, expired bool, affected serviceSet) {
	e := v.entries[name]
	if e == nil {
		return
	}
	v.cancelRemoval(e)
	delete(v.entries, name)
	affected[e.target.Service] = true
	v.Observer.TargetRemoved(e.target.ID, expired)
}

// publish passes the lists of the changed services to the table.
func (v *Targets) publish(affected serviceSet) {
	for service := range maps.Keys(affected) {
		v.Table.SetTargets(service, v.list(service))
	}
}

func (v *Targets) list(service model.ServiceName) []model.Target {
	var list []model.Target
	for _, e := range v.entries {
		if e.target.Service == service {
			list = append(list, e.target)
		}
	}
	slices.SortFunc(list, func(a, b model.Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
