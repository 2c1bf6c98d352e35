package replica

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// Versions identifies the routes and targets that an instance holds.
type Versions struct {
	// Routes is the revision in force, or 0 without routes.
	Routes model.Revision `cbor:"1,keyasint,omitempty"`
	// AsOf is the store's position that the targets reflect, or 0 if they were never
	// listed.
	AsOf Position `cbor:"2,keyasint,omitempty"`
	// Digest is a hash of the names and revisions of the targets.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Key 4 is reserved: older builds send it.

	// AcceptsRemovals is set if Delta.Removed may replace Delta.NameHashes in a response.
	// It is not set by older builds, nor by an instance that has to compare all names.
	AcceptsRemovals bool `cbor:"5,keyasint,omitempty"`
	// RoutesAsOf is the store's position that the routes reflect, or 0 if they were never
	// read from the store.
	RoutesAsOf Position `cbor:"6,keyasint,omitempty"`
	// Current is set while the instance follows the store closely enough to relay its
	// changes to others.
	Current bool `cbor:"7,keyasint,omitempty"`
	// Evacuations identifies the evacuations of failure domains; zero if none are followed.
	Evacuations EvacuationsVersion `cbor:"8,keyasint,omitzero"`
	// ConfirmedMillis is the age of the confirmation of the routes in milliseconds, plus 1; 0
	// without one. Only relays send it.
	ConfirmedMillis int64 `cbor:"9,keyasint,omitempty"`
	// AcceptsParts is set if Delta.Packed may replace Delta.Targets and a list may come in
	// parts. It is not set by older builds.
	AcceptsParts bool `cbor:"10,keyasint,omitempty"`
	// RoutesUnwritten is set while the store lacks the routes in force, since it returned from
	// an older copy.
	RoutesUnwritten bool `cbor:"11,keyasint,omitempty"`
}

// SetConfirmation sets ConfirmedMillis. The confirmation must have been loaded before the
// versions.
func (v *Versions) SetConfirmation(c route.Confirmation) {
	if age := c.Age(); age >= 0 {
		v.ConfirmedMillis = (age + time.Millisecond).Milliseconds() + 1
	}
}

// ConfirmedAge returns the age of the confirmation of the routes, and whether there is one.
func (v *Versions) ConfirmedAge() (age time.Duration, confirmed bool) {
	return time.Duration(v.ConfirmedMillis-1) * time.Millisecond, v.ConfirmedMillis > 0
}

// Delta is what one instance sends to another: its versions, and the routes and
// targets that the other lacks.
type Delta struct {
	Versions Versions      `cbor:"1,keyasint"`
	Routes   *route.Config `cbor:"2,keyasint,omitempty"`
	// Targets are the entries that changed since the other's list.
	Targets []TargetEntry `cbor:"3,keyasint,omitempty"`
	// NameHashes holds the name hashes of all entries. It is empty if the other's list
	// is equal or at least as new, or if Since is set.
	NameHashes []byte `cbor:"4,keyasint,omitempty"`
	// Since is the position of the other's list from which Targets and Removed lead to the
	// sender's list, or 0 if NameHashes tells what was removed.
	Since Position `cbor:"5,keyasint,omitempty"`
	// Removed holds the name hashes of the entries removed after Since.
	Removed []byte `cbor:"6,keyasint,omitempty"`
	// Packed, if set, holds the changed entries in place of Targets.
	Packed *PackedEntries `cbor:"8,keyasint,omitempty"`
	// More is set if this is a part of the changes: those up to Versions.AsOf, and of the
	// later ones all removals and all entries that are leaving. The rest follows on the next
	// request.
	More bool `cbor:"9,keyasint,omitempty"`
	// Location is where the sender runs, in responses to the search for a relay.
	Location *model.Location `cbor:"10,keyasint,omitempty"`
	// Evacuations are all failure domains to evacuate, or nil if the other holds the same or
	// newer ones.
	Evacuations *EvacuationList `cbor:"7,keyasint,omitempty"`
	// HeldMillis is for how many milliseconds the sender held the request that the delta
	// answers, rounded down.
	HeldMillis int64 `cbor:"11,keyasint,omitempty"`
}

// Entries returns the changed entries in either encoding.
func (d *Delta) Entries() []TargetEntry {
	if d.Packed != nil {
		return d.Packed.Entries
	}
	return d.Targets
}

// HasTargets reports whether the delta changes the other's list of targets.
func (d *Delta) HasTargets() bool { return d.Since > 0 || len(d.NameHashes) > 0 || d.Packed != nil }

// nameHashBytes is the size of a name's hash. With 4 bytes, 1 in 600 lists of 3,700
// entries contains two names with the same hash.
const nameHashBytes = 4

func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// TargetEntry is a target with its name and revision in the store.
type TargetEntry struct {
	Name     string       `cbor:"1,keyasint"`
	Revision Position     `cbor:"2,keyasint"`
	Target   model.Target `cbor:"3,keyasint"`
	// ColdMillis is how long the target is still cold by its entry, at the time of sending or
	// earlier.
	ColdMillis int64 `cbor:"4,keyasint,omitempty"`
}

// newTargetEntry returns an entry to send now.
func newTargetEntry(name string, e *entry) TargetEntry {
	coldLeft := max(time.Until(e.target.ColdEndsAt), 0)
	return TargetEntry{Name: name, Revision: e.revision, Target: e.target, ColdMillis: coldLeft.Milliseconds()}
}

// received returns the entry with its times by this instance's clock.
func (e TargetEntry) received() TargetEntry {
	now := time.Now()
	e.Target.ColdEndsAt, e.Target.ColdKnownAt = now.Add(time.Duration(e.ColdMillis)*time.Millisecond), now
	return e
}

// Replica is an instance's local copy of the store's routes and targets. It is safe
// for concurrent use.
type Replica struct {
	Routes  *Routes
	Targets *Targets
	// Evacuations is nil if evacuations of failure domains aren't followed.
	Evacuations *Evacuations
	// Current, if set, provides the field of Versions of the same name.
	Current func() bool

	mu sync.Mutex
	// changed is closed at the next change; it is nil while nobody waits.
	changed chan struct{}
}

// Changed returns a channel that is closed when the routes, the targets or what Current
// returns change. It must be called before the state is read that the change is waited
// for.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// NotifyChanged closes the channel returned by Changed.
func (r *Replica) NotifyChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Versions returns the versions of the routes and targets held.
func (r *Replica) Versions() Versions {
	v := r.Targets.versions()
	v.RoutesAsOf, v.RoutesUnwritten = r.Routes.position(), r.Routes.unwritten()
	if t := r.Routes.Holder.Current(); t != nil {
		v.Routes = t.Revision
	}
	v.AcceptsRemovals, v.AcceptsParts = true, true
	v.Evacuations = r.Evacuations.version()
	v.Current = r.Current != nil && r.Current()
	return v
}

// DeltaFor returns the parts that an instance with the given versions lacks.
func (r *Replica) DeltaFor(other Versions) Delta {
	own := r.Versions()
	d := Delta{Versions: own}
	if own.Routes > other.Routes {
		config := r.Routes.Holder.Current().Config()
		d.Routes = &config
	}
	if own.AsOf > other.AsOf && own.Digest != other.Digest {
		r.Targets.addChanges(&d, other)
	}
	r.Evacuations.addTo(&d, other.Evacuations)
	return d
}

// PackFor packs the changed entries if the instance with the given versions accepts that.
func (d *Delta) PackFor(other Versions) {
	if other.AcceptsParts && len(d.Targets) > 0 {
		d.Packed, d.Targets = &PackedEntries{Entries: d.Targets}, nil
	}
}

// PartFor is like DeltaFor without the routes, and with at most a part of the targets if the
// other instance accepts that.
func (r *Replica) PartFor(other Versions) (Delta, error) {
	own := r.Versions()
	d := Delta{Versions: own}
	r.Evacuations.addTo(&d, other.Evacuations)
	if own.AsOf <= other.AsOf || own.Digest == other.Digest {
		return d, nil
	}
	if other.AcceptsParts && other.AcceptsRemovals {
		return d, r.Targets.addPart(&d, other)
	}
	r.Targets.addChanges(&d, other)
	return d, nil
}

// HasState reports whether the delta changes anything that the other holds.
func (d *Delta) HasState() bool { return d.Routes != nil || d.HasTargets() || d.Evacuations != nil }

// Merge merges what another instance sent, as far as it is newer. Evacuations come first, so
// that a target that is new with them gets nothing.
func (r *Replica) Merge(d Delta) {
	r.Evacuations.merge(d)
	if d.Routes != nil {
		r.Routes.apply(*d.Routes, route.FromPeer)
	}
	r.Targets.mergeDelta(d)
}

func (t *Targets) versions() Versions {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Versions{AsOf: t.asOf, Digest: t.digest}
}

// NameHashBytes returns the size in bytes of the name hashes of all entries.
func (t *Targets) NameHashBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return nameHashBytes * len(t.entries)
}

// entryHash returns the hash of an entry in the digest.
func entryHash(name string, revision Position) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(name)
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(revision)))
	return h.Sum64()
}

// addChanges adds to d what an instance with the given versions lacks: the entries that
// changed after its list and, as far as they are still known, the removals since then. Entries
// that are incomplete are not offered: others would take those missing for removed.
func (t *Targets) addChanges(d *Delta, other Versions) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incomplete {
		return
	}
	d.Versions.AsOf, d.Versions.Digest = t.asOf, t.digest
	for name, e := range t.entries {
		if e.revision > other.AsOf {
			d.Targets = append(d.Targets, newTargetEntry(name, e))
		}
	}
	slices.SortFunc(d.Targets, func(a, b TargetEntry) int { return cmp.Compare(a.Name, b.Name) })
	if other.AcceptsRemovals && other.AsOf > 0 && other.AsOf >= t.removalsSince {
		d.Since, d.Removed = other.AsOf, t.removedSince(other.AsOf)
		return
	}
	for name := range t.entries {
		d.NameHashes = binary.BigEndian.AppendUint32(d.NameHashes, nameHash(name))
	}
}

// mergeDelta merges a peer's list if it is newer than the own one.
func (t *Targets) mergeDelta(d Delta) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.Versions.AsOf <= t.asOf {
		return
	}
	if d.Versions.Digest == t.digest {
		t.advance(d.Versions.AsOf)
		t.incomplete = false
		return
	}
	// Changes since no list are for an instance that has none.
	sinceNone := d.Since == 0 && len(d.NameHashes) == 0
	if !d.HasTargets() || d.Since > t.asOf || sinceNone && t.asOf > 0 {
		return
	}
	var removeAfter time.Time
	if end := t.beginEra(d.Versions.AsOf); end != nil {
		defer end()
		removeAfter = t.keepUntil(removeAfter)
	}
	t.advance(d.Versions.AsOf)
	affected := make(serviceSet)
	if d.Since > 0 {
		t.mergeRemovals(d.Removed, affected)
	} else {
		t.removeUnlisted(d, removeAfter, affected)
	}
	for _, e := range d.Entries() {
		t.upsert(e.received(), affected)
	}
	t.publish(affected)
	t.mergedAsOf, t.incomplete = d.Versions.AsOf, d.More
}

// mergeRemovals deletes the entries with the given name hashes. The caller must hold t.mu.
func (t *Targets) mergeRemovals(hashes []byte, affected serviceSet) {
	removed := decodeNameHashes(hashes)
	if len(removed) == 0 {
		return
	}
	for name := range t.entries {
		if removed[nameHash(name)] {
			t.deleteEntry(name, t.asOf, false, affected)
		}
	}
}

// removeUnlisted removes the entries that the list of a delta lacks, at removeAfter or at once
// if that has passed. The caller must hold t.mu.
func (t *Targets) removeUnlisted(d Delta, removeAfter time.Time, affected serviceSet) {
	listed := decodeNameHashes(d.NameHashes)
	for name := range t.entries {
		if !listed[nameHash(name)] {
			t.scheduleRemoval(name, removeAfter, affected)
		}
	}
}

// decodeNameHashes returns the set of concatenated name hashes.
func decodeNameHashes(hashes []byte) map[uint32]bool {
	set := make(map[uint32]bool, len(hashes)/nameHashBytes)
	for ; len(hashes) >= nameHashBytes; hashes = hashes[nameHashBytes:] {
		set[binary.BigEndian.Uint32(hashes)] = true
	}
	return set
}
