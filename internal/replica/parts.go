package replica

import (
	"cmp"
	"slices"
)

// maxPartEntries is the number of entries in a part of the changes, about 9 kB. A relay on a
// link of 10 Mbit/s sends a part to each of 100 peers in 0.7 s, within the time for a response.
const maxPartEntries = 256

// part is what a relay sends to the instances whose lists reflect one revision.
type part struct {
	asOf    Position
	entries *PackedEntries
	removed []byte
	more    bool
}

// addPart adds to d the changes since the list of an instance, which may be none, or the first
// part of them. A list older than the removals that are known is replaced as a whole.
func (t *Targets) addPart(d *Delta, other Versions) error {
	t.mu.Lock()
	known := other.AsOf == 0 || other.AsOf >= t.removalsSince
	if !known {
		t.mu.Unlock()
		t.addChanges(d, other)
		d.PackFor(other)
		return nil
	}
	defer t.mu.Unlock()
	p, err := t.partAfter(other.AsOf)
	if err != nil {
		return err
	}
	d.Versions.AsOf, d.Versions.Digest = p.asOf, t.digest
	d.Since, d.Packed, d.Removed, d.More = other.AsOf, p.entries, p.removed, p.more
	return nil
}

// partAfter returns the part that follows a revision. It is kept until the entries change,
// because the peers of a relay ask for the same ones. The caller must hold t.mu.
func (t *Targets) partAfter(revision Position) (*part, error) {
	if p := t.parts[revision]; p != nil {
		return p, nil
	}
	var changed []TargetEntry
	for name, e := range t.entries {
		if e.revision > revision {
			changed = append(changed, newTargetEntry(name, e))
		}
	}
	slices.SortFunc(changed, func(a, b TargetEntry) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
	})
	p := new(part)
	if revision > 0 {
		p.removed = t.removedSince(revision)
	}
	changed, p.asOf, p.more = firstPart(changed, cmp.Or(t.partEntries, maxPartEntries), t.asOf)
	p.entries = &PackedEntries{Entries: changed}
	if _, err := p.entries.MarshalCBOR(); err != nil {
		return nil, err
	}
	if t.parts == nil {
		t.parts = make(map[Position]*part)
	}
	t.parts[revision] = p
	return p, nil
}

// firstPart returns the first entries of the changed ones, which are sorted by revision: size of
// them, those of the same revision as the last one, and the later ones that are leaving. The
// revision is the one that a list reflects with them, asOf with all of them; more is set if
// others remain.
func firstPart(changed []TargetEntry, size int, asOf Position) (first []TargetEntry, revision Position, more bool) {
	end := min(size, len(changed))
	for end > 0 && end < len(changed) && changed[end].Revision == changed[end-1].Revision {
		end++
	}
	if end == len(changed) {
		return changed, asOf, false
	}
	first = changed[:end:end]
	for _, e := range changed[end:] {
		if e.Target.Leaving {
			first = append(first, e)
		}
	}
	return first, changed[end-1].Revision, true
}
