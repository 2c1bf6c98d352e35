package replica

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// Versions identifies the routes and targets that an instance holds.
type Versions struct {
	// Routes is the revision in force, or 0 without routes.
	Routes model.Revision `cbor:"1,keyasint,omitempty"`
	// AsOf is the store's revision that the targets reflect, or 0 if they were never
	// listed.
	AsOf uint64 `cbor:"2,keyasint,omitempty"`
	// Digest is a hash of the names and revisions of the targets.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// StrongReads is set while the instance reaches the store and uses only strong reads.
	StrongReads bool `cbor:"4,keyasint,omitempty"`
}

// Delta is what one instance sends to another: its versions, and the routes and
// targets that the other lacks.
type Delta struct {
	Versions Versions      `cbor:"1,keyasint"`
	Routes   *route.Config `cbor:"2,keyasint,omitempty"`
	// Targets are the entries that changed since the other's list.
	Targets []TargetEntry `cbor:"3,keyasint,omitempty"`
	// NameHashes holds the name hashes of all entries. It is empty if the other's list
	// is equal or at least as new.
	NameHashes []byte `cbor:"4,keyasint,omitempty"`
}

// nameHashBytes is the size of a name's hash. With 4 bytes, 1 in 600 lists of 3,700
// entries contains two names with the same hash.
const nameHashBytes = 4

func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// TargetEntry is a target with its name and revision in the store.
type TargetEntry struct {
	Name     string       `cbor:"1,keyasint"`
	Revision uint64       `cbor:"2,keyasint"`
	Target   model.Target `cbor:"3,keyasint"`
}

// Replica is an instance's local copy of the store's routes and targets. It is safe
// for concurrent use.
type Replica struct {
	Routes  *Routes
	Targets *Targets
	// StrongReads, if set, provides Versions.StrongReads.
	StrongReads func() bool
}

// Versions returns the versions of the routes and targets held.
func (r *Replica) Versions() Versions {
	v := r.Targets.versions()
	if t := r.Routes.Holder.Current(); t != nil {
		v.Routes = t.Revision
	}
	v.StrongReads = r.StrongReads != nil && r.StrongReads()
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
		d.Targets, d.NameHashes = r.Targets.changesSince(other.AsOf)
	}
	return d
}

// Merge merges what another instance sent, as far as it is newer.
func (r *Replica) Merge(d Delta) {
	if d.Routes != nil {
		r.Routes.apply(*d.Routes)
	}
	r.Targets.mergeDelta(d)
}

func (t *Targets) versions() Versions {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Versions{AsOf: t.asOf, Digest: t.digest()}
}

// NameHashBytes returns the size in bytes of the name hashes of all entries, which are
// sent with every changed list.
func (t *Targets) NameHashBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return nameHashBytes * len(t.entries)
}

// digest returns a hash of the entries. The caller must hold t.mu.
func (t *Targets) digest() uint64 {
	h := xxhash.New()
	var revision [8]byte
	for _, e := range t.sortedEntries() {
		binary.BigEndian.PutUint64(revision[:], e.Revision)
		_, _ = h.WriteString(e.Name)
		_, _ = h.Write(revision[:])
	}
	return h.Sum64()
}

// changesSince returns the entries that changed after a revision and the name hashes
// of all entries.
func (t *Targets) changesSince(revision uint64) (changed []TargetEntry, nameHashes []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.sortedEntries() {
		nameHashes = binary.BigEndian.AppendUint32(nameHashes, nameHash(e.Name))
		if e.Revision > revision {
			changed = append(changed, e)
		}
	}
	return changed, nameHashes
}

// sortedEntries returns the entries sorted by name. The caller must hold t.mu.
func (t *Targets) sortedEntries() []TargetEntry {
	list := make([]TargetEntry, 0, len(t.entries))
	for name, e := range t.entries {
		list = append(list, TargetEntry{Name: name, Revision: e.revision, Target: e.target})
	}
	slices.SortFunc(list, func(a, b TargetEntry) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// mergeDelta merges a peer's list if it is newer than the own one.
func (t *Targets) mergeDelta(d Delta) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.Versions.AsOf <= t.asOf {
		return
	}
	if d.Versions.Digest == t.digest() {
		t.asOf = d.Versions.AsOf
		return
	}
	if len(d.NameHashes) == 0 {
		return
	}
	t.mergeEntries(d.Targets, d.NameHashes)
	t.asOf, t.mergedAsOf = d.Versions.AsOf, d.Versions.AsOf
}

// mergeEntries applies changed entries and deletes those whose name hash is missing.
// The caller must hold t.mu.
func (t *Targets) mergeEntries(changed []TargetEntry, nameHashes []byte) {
	affected := make(serviceSet)
	presentHashes := make(map[uint32]bool, len(nameHashes)/nameHashBytes)
	for ; len(nameHashes) >= nameHashBytes; nameHashes = nameHashes[nameHashBytes:] {
		presentHashes[binary.BigEndian.Uint32(nameHashes)] = true
	}
	for _, e := range changed {
		t.upsert(e, affected)
	}
	for name := range t.entries {
		if !presentHashes[nameHash(name)] {
			t.deleteEntry(name, false, affected)
		}
	}
	t.publish(affected)
}
