package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// maxEndedTargets is the number of targets that may end under a request before it is
	// quarantined.
	maxEndedTargets = 2
	// clearedTTL is how long a request that a target survived is remembered, so that
	// instances that exchange marks late don't suspect it again.
	clearedTTL = 30 * time.Second
	// maxMarks is the largest number of marks that an instance remembers.
	maxMarks = 1024
)

// Mark is what the instances of a fleet know about one request under which targets ended.
// Marks of the same request merge to the union of their ended processes; a cleared one
// supersedes the others.
type Mark struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Ended are the lowest maxEndedTargets of the processes that ended under the request,
	// in order.
	Ended []model.ProcessID `cbor:"2,keyasint,omitempty"`
	// Cleared is set if a target ran the request to its end, so that others ended by
	// coincidence.
	Cleared bool `cbor:"3,keyasint,omitempty"`
	// TTLMillis is how much longer the mark is valid, in milliseconds.
	TTLMillis int64 `cbor:"4,keyasint"`
}

// mark is a Mark as an instance holds it.
type mark struct {
	ended   []model.ProcessID
	cleared bool
	expires time.Time
	// changedAt is the change of the registry by which the mark got its value, reportedAt
	// the latest one that was reported by this instance itself.
	changedAt, reportedAt uint64
}

// quarantined reports whether enough targets ended; it may be called on nil.
func (m *mark) quarantined() bool {
	return m != nil && !m.cleared && len(m.ended) >= maxEndedTargets
}

// Registry holds the marks that one instance knows. Instances exchange them, so that all
// recognize a request that ends targets whichever instance it reaches. The zero value is
// ready to use. It is safe for concurrent use.
type Registry struct {
	// Isolated, if set, reports whether this instance can't exchange marks with any other.
	// It then quarantines a request under the first target that ends, since others may know
	// of a second one.
	Isolated func() bool
	// OnQuarantine, if set, is called with the mark of a request that becomes quarantined.
	// It must not block or call back.
	OnQuarantine func(Mark)

	count atomic.Int32

	mu    sync.Mutex
	marks map[Fingerprint]*mark
	// changes counts the changes of marks.
	changes uint64
	// changed is closed at the next change; it is nil while nobody waits.
	changed chan struct{}
}

// Empty reports whether there are no marks. It takes no lock.
func (r *Registry) Empty() bool { return r.count.Load() == 0 }

// Find reports whether a request is quarantined, and until when.
func (r *Registry) Find(f Fingerprint) (until time.Time, found bool) {
	if r.Empty() {
		return time.Time{}, false
	}
	isolated := r.Isolated != nil && r.Isolated()
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.marks[f]
	if m == nil || m.cleared || !time.Now().Before(m.expires) {
		return time.Time{}, false
	}
	return m.expires, m.quarantined() || (isolated && len(m.ended) > 0)
}

// ReportEnd records that a target's process ended under a request.
func (r *Registry) ReportEnd(f Fingerprint, p model.ProcessID) {
	r.update(Mark{Fingerprint: f, Ended: []model.ProcessID{p}, TTLMillis: Duration.Milliseconds()}, true)
}

// ReportSuccess records that a target ran a request to its end. It has no effect on a request
// without a mark.
func (r *Registry) ReportSuccess(f Fingerprint) {
	if r.Empty() {
		return
	}
	r.mu.Lock()
	suspected := r.marks[f] != nil && !r.marks[f].cleared
	r.mu.Unlock()
	if suspected {
		r.update(Mark{Fingerprint: f, Cleared: true, TTLMillis: clearedTTL.Milliseconds()}, true)
	}
}

// Merge adds what another instance knows.
func (r *Registry) Merge(marks []Mark) {
	for _, m := range marks {
		r.update(m, false)
	}
}

// update merges a mark into the registry; reported is set if it stems from this instance.
func (r *Registry) update(received Mark, reported bool) {
	r.mu.Lock()
	before := r.marks[received.Fingerprint].quarantined()
	m, changed := r.merge(received)
	if !changed {
		r.mu.Unlock()
		return
	}
	r.changes++
	m.changedAt = r.changes
	if reported {
		m.reportedAt = r.changes
	}
	r.notify()
	added := m.quarantined() && !before
	current := m.toMark(received.Fingerprint, time.Now())
	r.mu.Unlock()
	if added && r.OnQuarantine != nil {
		r.OnQuarantine(current)
	}
}

// merge merges a mark and reports whether that changed the one held. The caller must hold
// r.mu.
func (r *Registry) merge(received Mark) (m *mark, changed bool) {
	now := time.Now()
	ttl := min(time.Duration(received.TTLMillis)*time.Millisecond, Duration)
	if ttl <= 0 {
		return nil, false
	}
	m = r.marks[received.Fingerprint]
	if m == nil || !now.Before(m.expires) {
		m = &mark{}
	}
	ended := mergeEnded(m.ended, received.Ended)
	switch {
	case m.cleared, !received.Cleared && slices.Equal(ended, m.ended):
		return nil, false
	case received.Cleared:
		*m = mark{cleared: true, expires: now.Add(ttl)}
	default:
		m.ended, m.expires = ended, later(m.expires, now.Add(ttl))
	}
	r.put(received.Fingerprint, m)
	return m, true
}

// mergeEnded returns the lowest maxEndedTargets processes of two ordered lists.
func mergeEnded(a, b []model.ProcessID) []model.ProcessID {
	union := slices.Concat(a, b)
	slices.Sort(union)
	union = slices.Compact(union)
	return union[:min(len(union), maxEndedTargets)]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// put stores a mark. If there are too many, it removes the one that expires first. The
// caller must hold r.mu.
func (r *Registry) put(f Fingerprint, m *mark) {
	if r.marks == nil {
		r.marks = make(map[Fingerprint]*mark)
	}
	if r.marks[f] == nil && len(r.marks) >= maxMarks {
		r.removeOldest()
	}
	r.marks[f] = m
	r.count.Store(int32(len(r.marks)))
}

func (r *Registry) removeOldest() {
	var oldest Fingerprint
	for f, m := range r.marks {
		if oldest == "" || m.expires.Before(r.marks[oldest].expires) {
			oldest = f
		}
	}
	delete(r.marks, oldest)
}

// notify wakes those that wait for a change. The caller must hold r.mu.
func (r *Registry) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Changed returns a channel that is closed at the next change. It must be called before
// the marks are read whose change is waited for.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// ChangedSince returns the marks that changed after the given change, and the number of the
// latest change.
func (r *Registry) ChangedSince(change uint64) (marks []Mark, latest uint64) {
	return r.selectMarks(func(m *mark) bool { return m.changedAt > change })
}

// ReportedSince is like ChangedSince for what this instance itself has reported.
func (r *Registry) ReportedSince(change uint64) (marks []Mark, latest uint64) {
	return r.selectMarks(func(m *mark) bool { return m.reportedAt > change })
}

// selectMarks returns the marks that match, ordered by fingerprint, and removes the expired
// ones.
func (r *Registry) selectMarks(match func(*mark) bool) (marks []Mark, latest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for f, m := range r.marks {
		switch {
		case !now.Before(m.expires):
			delete(r.marks, f)
		case match(m):
			marks = append(marks, m.toMark(f, now))
		}
	}
	r.count.Store(int32(len(r.marks)))
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return marks, r.changes
}

func (m *mark) toMark(f Fingerprint, now time.Time) Mark {
	return Mark{Fingerprint: f, Ended: slices.Clone(m.ended), Cleared: m.cleared, TTLMillis: m.expires.Sub(now).Milliseconds()}
}

// QuarantinedCount returns the number of quarantined requests.
func (r *Registry) QuarantinedCount() int {
	marks, _ := r.selectMarks((*mark).quarantined)
	return len(marks)
}
