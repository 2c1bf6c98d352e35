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
	// listed. Digest is a hash of the list.
	AsOf   uint64 `cbor:"2,keyasint,omitempty"`
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Assured is set while the instance reaches the store and uses only strong reads.
	Assured bool `cbor:"4,keyasint,omitempty"`
}

// State is what one instance sends to another: its versions, and the routes and
// targets that the other lacks.
type State struct {
	Versions Versions      `cbor:"1,keyasint"`
	Routes   *route.Config `cbor:"2,keyasint,omitempty"`
	// Targets are the entries that changed since the other's list. Present holds the
	// name hashes of all entries; it is empty if the lists are equal.
	Targets []Listed `cbor:"3,keyasint,omitempty"`
	Present []byte   `cbor:"4,keyasint,omitempty"`
}

// nameHashBytes is the size of a name's hash. With 4 bytes, 1 in 600 lists of 3,700
// entries contains two names with the same hash.
const nameHashBytes = 4

func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Listed is a target with its name and revision in the store.
type Listed struct {
	Name     string       `cbor:"1,keyasint"`
	Revision uint64       `cbor:"2,keyasint"`
	Target   model.Target `cbor:"3,keyasint"`
}

// Known is an instance's local copy of the store's routes and targets. It is safe
// for concurrent use.
type Known struct {
	Routes  *Routes
	Targets *Targets
	// Assured, if set, provides Versions.Assured.
	Assured func() bool
}

// Versions returns the versions of the routes and targets held.
func (k *Known) Versions() Versions {
	v := k.Targets.versions()
	if t := k.Routes.Holder.Current(); t != nil {
		v.Routes = t.Revision
	}
	v.Assured = k.Assured != nil && k.Assured()
	return v
}

// Beyond returns the parts that an instance with the given versions lacks.
func (k *Known) Beyond(other Versions) State {
	own := k.Versions()
	s := State{Versions: own}
	if own.Routes > other.Routes {
		config := k.Routes.Holder.Current().Config()
		s.Routes = &config
	}
	if own.AsOf > other.AsOf && own.Digest != other.Digest {
		s.Targets, s.Present = k.Targets.changesSince(other.AsOf)
	}
	return s
}

// Adopt merges what another instance sent, as far as it is newer.
func (k *Known) Adopt(s State) {
	if s.Routes != nil {
		k.Routes.apply(*s.Routes)
	}
	k.Targets.mergeState(s)
}

func (v *Targets) versions() Versions {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Versions{AsOf: v.asOf, Digest: v.digest()}
}

// MarkBytes returns the size in bytes of the name hashes of all entries, which are
// sent with every changed list.
func (v *Targets) MarkBytes() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return nameHashBytes * len(v.entries)
}

// digest returns a hash of the entries. The caller must hold v.mu.
func (v *Targets) digest() uint64 {
	h := xxhash.New()
	var revision [8]byte
	for _, l := range v.sortedEntries() {
		binary.BigEndian.PutUint64(revision[:], l.Revision)
		_, _ = h.WriteString(l.Name)
		_, _ = h.Write(revision[:])
	}
	return h.Sum64()
}

// changesSince returns the entries that changed after a revision and the name hashes
// of all entries.
func (v *Targets) changesSince(revision uint64) (changed []Listed, present []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range v.sortedEntries() {
		present = binary.BigEndian.AppendUint32(present, nameHash(l.Name))
		if l.Revision > revision {
			changed = append(changed, l)
		}
	}
	return changed, present
}

// sortedEntries returns the entries sorted by name. The caller must hold v.mu.
func (v *Targets) sortedEntries() []Listed {
	list := make([]Listed, 0, len(v.entries))
	for name, e := range v.entries {
		list = append(list, Listed{Name: name, Revision: e.revision, Target: e.target})
	}
	slices.SortFunc(list, func(a, b Listed) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// mergeState merges the list of a peer if it is newer than the own one.
func (v *Targets) mergeState(s State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Versions.AsOf <= v.asOf {
		return
	}
	if s.Versions.Digest == v.digest() {
		v.asOf = s.Versions.AsOf
		return
	}
	if len(s.Present) == 0 {
		return
	}
	v.mergeEntries(s.Targets, s.Present)
	v.asOf, v.mergedAsOf = s.Versions.AsOf, s.Versions.AsOf
}

// mergeEntries applies changed entries and deletes those whose name hash is missing.
// The caller must hold v.mu.
func (v *Targets) mergeEntries(changed []Listed, present []byte) {
	affected := make(serviceSet)
	presentHashes := make(map[uint32]bool, len(present)/nameHashBytes)
	for ; len(present) >= nameHashBytes; present = present[nameHashBytes:] {
		presentHashes[binary.BigEndian.Uint32(present)] = true
	}
	for _, l := range changed {
		v.upsert(l, affected)
	}
	for name := range v.entries {
		if !presentHashes[nameHash(name)] {
			v.deleteEntry(name, false, affected)
		}
	}
	v.publish(affected)
}
