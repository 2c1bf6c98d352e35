package catalog

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// Versions say how new the routes and targets are that an instance knows.
type Versions struct {
	// Routes is the revision in force, 0 without routes.
	Routes model.Revision `cbor:"1,keyasint,omitempty"`
	// AsOf is the store's revision that the targets reflect, 0 if they were never
	// listed, and Digest stands for the list itself.
	AsOf   uint64 `cbor:"2,keyasint,omitempty"`
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Assured is set while the instance reaches the store and accepts only the newest
	// answers.
	Assured bool `cbor:"4,keyasint,omitempty"`
}

// State is what one instance tells another: its versions, and the parts that the
// other lacks.
type State struct {
	Versions Versions      `cbor:"1,keyasint"`
	Routes   *route.Config `cbor:"2,keyasint,omitempty"`
	// Targets are the entries that have changed since the other's list, and Present
	// holds the marks of all that are listed; it is empty if the lists are the same.
	Targets []Listed `cbor:"3,keyasint,omitempty"`
	Present []byte   `cbor:"4,keyasint,omitempty"`
}

// markBytes is the size of the mark that stands for a name: among 3,700 entries two
// share one in a list of 600.
const markBytes = 4

func mark(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Listed is the entry of a target.
type Listed struct {
	Name     string       `cbor:"1,keyasint"`
	Revision uint64       `cbor:"2,keyasint"`
	Target   model.Target `cbor:"3,keyasint"`
}

// Known is all that an instance has learnt from the store. It is safe for
// concurrent use.
type Known struct {
	Routes  *Routes
	Targets *Targets
	// Assured, if set, says what Versions.Assured tells others.
	Assured func() bool
}

// Versions returns how new it is.
func (k *Known) Versions() Versions {
	v := k.Targets.versions()
	if t := k.Routes.Holder.Current(); t != nil {
		v.Routes = t.Revision
	}
	v.Assured = k.Assured != nil && k.Assured()
	return v
}

// Beyond returns what another instance with the given versions lacks.
func (k *Known) Beyond(other Versions) State {
	own := k.Versions()
	s := State{Versions: own}
	if own.Routes > other.Routes {
		config := k.Routes.Holder.Current().Config()
		s.Routes = &config
	}
	if own.AsOf > other.AsOf && own.Digest != other.Digest {
		s.Targets, s.Present = k.Targets.since(other.AsOf)
	}
	return s
}

// Adopt takes over what another instance has told, as far as it is newer.
func (k *Known) Adopt(s State) {
	if s.Routes != nil {
		k.Routes.put(*s.Routes)
	}
	k.Targets.adopt(s)
}

func (v *Targets) versions() Versions {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Versions{AsOf: v.asOf, Digest: v.digest()}
}

// MarkBytes returns the size of the marks of all entries, which a changed list costs.
func (v *Targets) MarkBytes() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return markBytes * len(v.entries)
}

// digest returns a hash of the entries. The caller holds v.mu.
func (v *Targets) digest() uint64 {
	h := xxhash.New()
	var revision [8]byte
	for _, l := range v.sorted() {
		binary.BigEndian.PutUint64(revision[:], l.Revision)
		_, _ = h.WriteString(l.Name)
		_, _ = h.Write(revision[:])
	}
	return h.Sum64()
}

// since returns the entries that were changed after a revision, and the marks of all.
func (v *Targets) since(revision uint64) (changed []Listed, present []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range v.sorted() {
		present = binary.BigEndian.AppendUint32(present, mark(l.Name))
		if l.Revision > revision {
			changed = append(changed, l)
		}
	}
	return changed, present
}

// sorted returns the entries by name. The caller holds v.mu.
func (v *Targets) sorted() []Listed {
	list := make([]Listed, 0, len(v.entries))
	for name, e := range v.entries {
		list = append(list, Listed{Name: name, Revision: e.revision, Target: e.target})
	}
	slices.SortFunc(list, func(a, b Listed) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// adopt takes a newer list over.
func (v *Targets) adopt(s State) {
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
	v.merge(s.Targets, s.Present)
	v.asOf, v.adopted = s.Versions.AsOf, s.Versions.AsOf
}

// merge puts entries that have changed and drops those without a mark. The caller
// holds v.mu.
func (v *Targets) merge(changed []Listed, present []byte) {
	touched := make(services)
	marked := make(map[uint32]bool, len(present)/markBytes)
	for ; len(present) >= markBytes; present = present[markBytes:] {
		marked[binary.BigEndian.Uint32(present)] = true
	}
	for _, l := range changed {
		v.put(l, touched)
	}
	for name := range v.entries {
		if !marked[mark(name)] {
			v.drop(name, false, touched)
		}
	}
	v.publish(touched)
}
