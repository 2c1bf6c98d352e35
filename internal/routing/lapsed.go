package routing

import (
	"slices"

	"redwingpoint.org/redwingpoint/internal/model"
)

// maxLapsed is the number of processes whose load and statements are kept after their targets
// were listed last.
const maxLapsed = 1024

// lapsedEntries holds the entries of processes that are no longer listed. A target that is cut
// off from the platform alone is listed again later, and what it stated still holds.
type lapsedEntries struct {
	byProcess map[model.ProcessID]*entry
	// order lists the processes, the one that lapsed first first.
	order []model.ProcessID
}

// put keeps the entry of a target that is no longer listed. The process of a target whose start
// is unknown can't be told from a later one, and is forgotten.
func (l *lapsedEntries) put(t *model.Target, e *entry) {
	if t.StartMillis == 0 || e == nil {
		return
	}
	if l.byProcess == nil {
		l.byProcess = make(map[model.ProcessID]*entry)
	}
	process := t.Process()
	if l.byProcess[process] == nil {
		l.order = append(l.order, process)
	}
	l.byProcess[process] = e
	if len(l.order) > maxLapsed {
		delete(l.byProcess, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
}

// take returns the entry of a target's process and forgets it, or nil if there is none.
func (l *lapsedEntries) take(t *model.Target) *entry {
	process := t.Process()
	e := l.byProcess[process]
	if e != nil {
		delete(l.byProcess, process)
		l.order = slices.DeleteFunc(l.order, func(p model.ProcessID) bool { return p == process })
	}
	return e
}
