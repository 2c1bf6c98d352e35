package replica

import (
	"encoding/binary"
	"slices"
)

// maxRemovals is the number of removals that are kept for peers: those of some minutes
// when the targets of all services are replaced one after the other.
const maxRemovals = 1024

// removal is an entry that was removed.
type removal struct {
	// revision is the store's revision from which on lists lack the entry.
	revision uint64
	name     string
}

// advance raises the revision that the entries reflect. Removals are known from the first
// list on. The caller must hold t.mu.
func (t *Targets) advance(asOf uint64) {
	if t.asOf == 0 {
		t.removalsSince = asOf
	}
	if asOf > t.asOf {
		t.asOf, t.parts = asOf, nil
	}
}

// recordRemoval keeps a removal for peers. The caller must hold t.mu.
func (t *Targets) recordRemoval(name string, revision uint64) {
	if len(t.removals) >= maxRemovals {
		dropped := t.removals[:maxRemovals/2]
		for _, r := range dropped {
			t.removalsSince = max(t.removalsSince, r.revision)
		}
		t.removals = slices.Delete(t.removals, 0, len(dropped))
	}
	t.removals = append(t.removals, removal{revision: revision, name: name})
}

// removedSince returns the name hashes of the entries that were removed after a revision
// and haven't been added again. The caller must hold t.mu.
func (t *Targets) removedSince(revision uint64) (hashes []byte) {
	for _, r := range t.removals {
		if r.revision > revision && t.entries[r.name] == nil {
			hashes = binary.BigEndian.AppendUint32(hashes, nameHash(r.name))
		}
	}
	return hashes
}
