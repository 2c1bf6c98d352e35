package replica

import (
	"encoding/binary"
	"slices"

	"redwingpoint.org/redwingpoint/internal/model"
)

// maxRemovals is the number of removals that are kept for peers: those of some minutes
// when the targets of all services are replaced one after the other.
const maxRemovals = 1024

// removal is an entry that was removed.
type removal struct {
	// revision is the store's revision from which on lists lack the entry.
	revision Position
	name     string
	process  model.ProcessID
}

// advance raises the position that the entries reflect. Removals are known from the first
// list of an era on. The caller must hold t.mu.
func (t *Targets) advance(asOf Position) {
	if t.asOf == 0 || asOf.Era() > t.asOf.Era() {
		t.removalsSince = asOf
	}
	if asOf > t.asOf {
		t.asOf, t.parts = asOf, nil
	}
}

// recordRemoval keeps a removal for peers. The caller must hold t.mu.
func (t *Targets) recordRemoval(name string, process model.ProcessID, revision Position) {
	if len(t.removals) >= maxRemovals {
		dropped := t.removals[:maxRemovals/2]
		for _, r := range dropped {
			t.removalsSince = max(t.removalsSince, r.revision)
		}
		t.removals = slices.Delete(t.removals, 0, len(dropped))
	}
	t.removals = append(t.removals, removal{revision: revision, name: name, process: process})
}

// removedSince returns the name hashes of the entries that were removed after a revision
// and haven't been added again. The caller must hold t.mu.
func (t *Targets) removedSince(revision Position) (hashes []byte) {
	for _, r := range t.removals {
		if r.revision > revision && t.entries[r.name] == nil {
			hashes = binary.BigEndian.AppendUint32(hashes, nameHash(r.name))
		}
	}
	return hashes
}

// wasRemoved reports whether a removal of the process is known. The caller must hold t.mu.
func (t *Targets) wasRemoved(process model.ProcessID) bool {
	return slices.ContainsFunc(t.removals, func(r removal) bool { return r.process == process })
}
