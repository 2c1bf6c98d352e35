package catalog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// TargetDecoder turns an object into a target.
type TargetDecoder func(Object) (model.Target, error)

// TargetTable takes the targets of a service.
type TargetTable interface {
	SetTargets(service model.ServiceName, list []model.Target)
}

// TargetObserver learns how the list of targets changes.
type TargetObserver interface {
	TargetLearnt(t model.Target, revision uint64)
	TargetGone(id model.TargetID, lapsed bool)
	TargetRejected(name string, err error)
}

// Targets keeps a TargetTable up to date. Removals that may be due to entries
// that lapsed while the store was away wait until the store has settled.
type Targets struct {
	Decode   TargetDecoder
	Table    TargetTable
	Observer TargetObserver

	mu      sync.Mutex
	entries map[string]*entry
	// asOf is the store's revision that the entries reflect.
	asOf uint64
	// adopted is the revision of the last list that a peer told; a watch that is
	// further behind brings entries that are gone by then.
	adopted uint64
}

type entry struct {
	target   model.Target
	revision uint64
	// lapse ends the entry's life unless it comes back before.
	lapse *time.Timer
}

// Replace implements View.
func (v *Targets) Replace(all Batch, settled time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asOf = max(v.asOf, all.AsOf)
	v.adopted = 0
	listed := make(map[string]bool, len(all.Objects))
	touched := make(services)
	for _, o := range all.Objects {
		listed[o.Name] = true
		v.apply(o, settled, touched)
	}
	for name := range v.entries {
		if !listed[name] {
			v.remove(name, settled, touched)
		}
	}
	v.publish(touched)
}

// Update implements View.
func (v *Targets) Update(changes Batch, settled time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asOf = max(v.asOf, changes.AsOf)
	touched := make(services)
	for _, o := range changes.Objects {
		v.apply(o, settled, touched)
	}
	v.publish(touched)
}

// services is a set of services whose lists have changed.
type services map[model.ServiceName]bool

func (v *Targets) apply(o Object, settled time.Time, touched services) {
	if o.Deleted {
		if e := v.entries[o.Name]; e != nil && o.Revision >= e.revision {
			v.remove(o.Name, settled, touched)
		}
		return
	}
	target, err := v.Decode(o)
	if err != nil {
		v.Observer.TargetRejected(o.Name, err)
		v.drop(o.Name, false, touched)
		return
	}
	v.put(Listed{Name: o.Name, Revision: o.Revision, Target: target}, touched)
}

func (v *Targets) put(l Listed, touched services) {
	old := v.entries[l.Name]
	if old == nil && l.Revision <= v.adopted {
		return
	}
	if old != nil {
		v.keep(old)
		if old.revision >= l.Revision {
			return
		}
		touched[old.target.Service] = true
	}
	if v.entries == nil {
		v.entries = make(map[string]*entry)
	}
	v.entries[l.Name] = &entry{target: l.Target, revision: l.Revision}
	touched[l.Target.Service] = true
	if old == nil || old.target.Leaving != l.Target.Leaving {
		v.Observer.TargetLearnt(l.Target, l.Revision)
	}
}

// keep cancels a removal that was waiting.
func (v *Targets) keep(e *entry) {
	if e.lapse != nil {
		e.lapse.Stop()
		e.lapse = nil
	}
}

func (v *Targets) remove(name string, settled time.Time, touched services) {
	e := v.entries[name]
	if e == nil {
		return
	}
	wait := time.Until(settled)
	if wait <= 0 {
		v.drop(name, false, touched)
		return
	}
	if e.lapse == nil {
		e.lapse = time.AfterFunc(wait, func() { v.lapse(name, e) })
	}
}

// lapse removes an entry that did not come back in time.
func (v *Targets) lapse(name string, e *entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.entries[name] != e || e.lapse == nil {
		return
	}
	touched := make(services)
	v.drop(name, true, touched)
	v.publish(touched)
}

func (v *Targets) drop(name string, lapsed bool, touched services) {
	e := v.entries[name]
	if e == nil {
		return
	}
	v.keep(e)
	delete(v.entries, name)
	touched[e.target.Service] = true
	v.Observer.TargetGone(e.target.ID, lapsed)
}

// publish hands the lists of the services that changed to the table.
func (v *Targets) publish(touched services) {
	for service := range maps.Keys(touched) {
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
