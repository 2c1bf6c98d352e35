package replica

import "time"

// believeAfter is how long after a return of the store a process that was known to leave, or
// to be gone, gets no requests although the store lists it as ready. Targets write every 1.5 s,
// and an entry lapses when three writes are missing.
const believeAfter = 6 * time.Second

// Return describes the first list after the store returned from an older copy.
type Return struct {
	// Before is the position known before, After that of the list.
	Before, After Position
	// Kept is the number of entries that the list lacks and that stay for ReturnGrace;
	// Withheld is that of targets that get no requests although the list has them.
	Kept, Withheld int
}

// beginEra returns nil unless the list as of a position is the first one of a later era than
// that of the entries held. Then it returns a function to call once the list was applied. The
// caller must hold t.mu.
func (t *Targets) beginEra(asOf Position) (end func()) {
	before := t.asOf
	if before == 0 || asOf.Era() <= before.Era() {
		return nil
	}
	t.returning = true
	return func() {
		t.returning = false
		r := Return{Before: before, After: asOf}
		r.Kept, r.Withheld = t.countExceptions()
		t.Observer.StoreReturned(r)
		if r.Withheld > 0 {
			time.AfterFunc(believeAfter, func() { t.believe(asOf.Era()) })
		}
	}
}

// keepUntil returns the time at which entries are removed that the first list of an era lacks.
func (t *Targets) keepUntil(removeAfter time.Time) time.Time {
	if until := time.Now().Add(t.ReturnGrace); until.After(removeAfter) {
		return until
	}
	return removeAfter
}

// compareWithKnown withholds an entry of the first list of an era whose process was known to
// leave or to be gone, and keeps the target of a later process. The entry held before is nil if
// there is none. The caller must hold t.mu.
func (t *Targets) compareWithKnown(added, old *entry) {
	switch {
	case old == nil:
		added.withheld = t.wasRemoved(added.target.Process())
	case old.target.StartMillis > added.target.StartMillis:
		added.target, added.withheld = old.target, old.withheld
	case old.target.Process() == added.target.Process():
		added.withheld = old.shown().Leaving && !added.target.Leaving
	}
}

// believe ends the withholding of entries, unless the store has returned once more.
func (t *Targets) believe(era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asOf.Era() != era {
		return
	}
	affected := make(serviceSet)
	for _, e := range t.entries {
		if e.withheld {
			e.withheld = false
			affected[e.target.Service] = true
			t.Observer.TargetUpdated(e.target, e.revision)
		}
	}
	t.publish(affected)
}

// countExceptions returns the number of entries whose removal is pending and that of those
// that are withheld. The caller must hold t.mu.
func (t *Targets) countExceptions() (kept, withheld int) {
	for _, e := range t.entries {
		if e.removal != nil {
			kept++
		}
		if e.withheld {
			withheld++
		}
	}
	return kept, withheld
}

// Exceptions returns the number of entries that stay although the store lacks them, for a
// while after an outage or a return, and that of targets that get no requests although the
// store lists them.
func (t *Targets) Exceptions() (kept, withheld int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countExceptions()
}

// Era returns the era of the entries held.
func (t *Targets) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf.Era()
}
