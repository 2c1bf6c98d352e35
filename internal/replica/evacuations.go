package replica

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// EvacuationDecoder returns the failure domain that an object of the store asks to evacuate.
// Deleted objects have no value.
type EvacuationDecoder func(Object) (model.FailureDomain, error)

// EvacuationTable receives the complete set of evacuated failure domains whenever it changes.
type EvacuationTable interface {
	SetEvacuated(domains map[model.FailureDomain]bool)
}

// EvacuationObserver is notified of changes to the evacuated failure domains. Its methods are
// called with the lock of Evacuations held and must not call back.
type EvacuationObserver interface {
	// EvacuationStarted reports a failure domain to evacuate, EvacuationEnded one that takes
	// requests again. The state reflects the store's revision asOf.
	EvacuationStarted(d model.FailureDomain, revision, asOf Position, from route.Source)
	EvacuationEnded(d model.FailureDomain, asOf Position, from route.Source)
	// EvacuationRejected reports an object that can't be decoded, once for each name.
	EvacuationRejected(name string, err error)
}

// EvacuationsVersion identifies the evacuations that an instance holds.
type EvacuationsVersion struct {
	// AsOf is the store's revision that the evacuations reflect, or 0 if none was ever read.
	AsOf Position `cbor:"1,keyasint,omitempty"`
	// Digest is a hash of the failure domains and the revisions of their entries.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Followed is set if the instance follows evacuations at all.
	Followed bool `cbor:"3,keyasint,omitempty"`
}

// Evacuation is a failure domain to evacuate and the revision of its entry in the store.
type Evacuation struct {
	Domain   model.FailureDomain `cbor:"1,keyasint"`
	Revision Position            `cbor:"2,keyasint"`
}

// EvacuationList is the complete list of evacuations as of a revision of the store.
type EvacuationList struct {
	List []Evacuation `cbor:"1,keyasint,omitempty"`
}

// Evacuations keeps an EvacuationTable up to date. The state held never goes back to that of
// an earlier position of the store. It is safe for concurrent use.
type Evacuations struct {
	Decode   EvacuationDecoder
	Table    EvacuationTable
	Observer EvacuationObserver
	// OnChange, if set, is called after a change, with the lock of Evacuations held.
	OnChange func()
	// ReturnGrace is how long evacuations stay in force that the store lacks after it returned
	// from an older copy.
	ReturnGrace time.Duration

	mu sync.Mutex
	// revisions holds the position of the entry of each evacuated failure domain.
	revisions map[model.FailureDomain]Position
	asOf      Position
	// kept holds those of revisions that stay for ReturnGrace.
	kept map[model.FailureDomain]Position
	// rejected holds the names of the objects that were reported as rejected.
	rejected    map[string]bool
	confirmedAt time.Time
}

// Replace implements View. Entries of the operator don't expire, so that those missing from
// the snapshot are removed at once.
func (e *Evacuations) Replace(snapshot Batch, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if snapshot.AsOf < e.asOf {
		return
	}
	listed := make(map[model.FailureDomain]Position)
	for _, o := range snapshot.Objects {
		domain, err := e.Decode(o)
		if err != nil {
			e.reject(o.Name, err)
			continue
		}
		listed[domain] = o.Revision
	}
	e.confirm(snapshot.Strong)
	e.keepUnlisted(listed, snapshot.AsOf)
	e.set(listed, snapshot.AsOf, route.FromStore)
}

// Update implements View.
func (e *Evacuations) Update(changes Batch, _ time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if changes.AsOf.Era() < e.asOf.Era() {
		return
	}
	next := make(map[model.FailureDomain]Position, len(e.revisions))
	for domain, revision := range e.revisions {
		next[domain] = revision
	}
	for _, o := range changes.Objects {
		e.apply(o, next)
	}
	e.confirm(changes.Strong)
	e.set(next, max(e.asOf, changes.AsOf), route.FromStore)
}

// apply applies one change. A watch that lags behind what a peer told repeats older ones,
// which the state held already reflects.
func (e *Evacuations) apply(o Object, next map[model.FailureDomain]Position) {
	domain, err := e.Decode(o)
	if err != nil {
		e.reject(o.Name, err)
		return
	}
	held, evacuated := next[domain]
	switch {
	case o.Deleted && evacuated && o.Revision >= held:
		delete(next, domain)
	case !o.Deleted && o.Revision > max(held, e.asOf):
		next[domain] = o.Revision
	}
}

func (e *Evacuations) reject(name string, err error) {
	if e.rejected[name] {
		return
	}
	if e.rejected == nil {
		e.rejected = make(map[string]bool)
	}
	e.rejected[name] = true
	e.Observer.EvacuationRejected(name, err)
}

// set replaces the state held by one that is as new or newer. The caller must hold e.mu.
func (e *Evacuations) set(next map[model.FailureDomain]Position, asOf Position, from route.Source) {
	old := e.revisions
	e.revisions, e.asOf = next, asOf
	changed := false
	for domain, revision := range next {
		if _, before := old[domain]; !before {
			changed = true
			e.Observer.EvacuationStarted(domain, revision, asOf, from)
		}
	}
	for domain := range old {
		if _, still := next[domain]; !still {
			changed = true
			e.Observer.EvacuationEnded(domain, asOf, from)
		}
	}
	if !changed {
		return
	}
	domains := make(map[model.FailureDomain]bool, len(next))
	for domain := range next {
		domains[domain] = true
	}
	e.Table.SetEvacuated(domains)
	if e.OnChange != nil {
		e.OnChange()
	}
}

// confirm records that the state held is the store's latest, if confirmed is set. The caller
// must hold e.mu.
func (e *Evacuations) confirm(confirmed bool) {
	if confirmed {
		e.confirmedAt = time.Now()
	}
}

// Confirm records that a relay that follows the store holds the same evacuations.
func (e *Evacuations) Confirm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirm(true)
}

// Age returns the time since the evacuations were last known to be the store's latest, or
// -1 s if they never were.
func (e *Evacuations) Age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return route.Confirmation{At: e.confirmedAt}.Age()
}

// Count returns the number of evacuated failure domains.
func (e *Evacuations) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.revisions)
}

// version returns the version held. e may be nil.
func (e *Evacuations) version() EvacuationsVersion {
	if e == nil {
		return EvacuationsVersion{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versionLocked()
}

func (e *Evacuations) versionLocked() EvacuationsVersion {
	v := EvacuationsVersion{AsOf: e.asOf, Followed: true}
	for domain, revision := range e.revisions {
		v.Digest += entryHash(string(domain), revision)
	}
	return v
}

// addTo adds the evacuations to d if an instance with the given version lacks them. e may be
// nil.
func (e *Evacuations) addTo(d *Delta, other EvacuationsVersion) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	own := e.versionLocked()
	d.Versions.Evacuations = own
	if !other.Followed || own.AsOf <= other.AsOf || own.Digest == other.Digest {
		return
	}
	d.Evacuations = new(EvacuationList)
	for domain, revision := range e.revisions {
		d.Evacuations.List = append(d.Evacuations.List, Evacuation{Domain: domain, Revision: revision})
	}
	slices.SortFunc(d.Evacuations.List, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
}

// merge merges a peer's evacuations if they are newer than those held. e may be nil.
func (e *Evacuations) merge(d Delta) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	theirs, own := d.Versions.Evacuations, e.versionLocked()
	switch {
	case theirs.AsOf <= own.AsOf:
	case theirs.Digest == own.Digest:
		e.asOf = theirs.AsOf
	case d.Evacuations != nil:
		next := make(map[model.FailureDomain]Position, len(d.Evacuations.List))
		for _, entry := range d.Evacuations.List {
			next[entry.Domain] = entry.Revision
		}
		from := route.FromPeer
		if d.Versions.Current {
			from = route.FromRelay
		}
		e.keepUnlisted(next, theirs.AsOf)
		e.set(next, theirs.AsOf, from)
	}
}

// keepUnlisted adds to a list as of a position the evacuations that stay in force although it
// lacks them: all that are held if it is the first list of a later era, and those kept from
// then on. The caller must hold e.mu.
func (e *Evacuations) keepUnlisted(listed map[model.FailureDomain]Position, asOf Position) {
	if e.asOf > 0 && asOf.Era() > e.asOf.Era() {
		e.kept = maps.Clone(e.revisions)
		time.AfterFunc(e.ReturnGrace, func() { e.dropKept(asOf.Era()) })
	}
	for domain, position := range e.kept {
		if _, found := listed[domain]; !found && e.revisions[domain] == position {
			listed[domain] = position
		}
	}
}

// dropKept ends the evacuations that were kept and not written again, unless the store has
// returned once more.
func (e *Evacuations) dropKept(era uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.asOf.Era() != era {
		return
	}
	next := maps.Clone(e.revisions)
	maps.DeleteFunc(next, func(domain model.FailureDomain, position Position) bool {
		kept, found := e.kept[domain]
		return found && kept == position
	})
	e.kept = nil
	e.set(next, e.asOf, route.FromStore)
}
