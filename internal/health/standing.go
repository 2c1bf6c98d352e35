package health

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// recentAnswer is the age up to which an own answer outweighs what probes and
	// peers say.
	recentAnswer = 10 * time.Second
	// failedProbes is the number of failed probes in a row that ejects a target
	// without recent answers.
	failedProbes = 3
	// probationFailures ejects a target that is not yet proven.
	probationFailures = 2
)

// settle brings a record's standing in step with what is known, applies it to the
// routing table and tells the fleet. The caller holds t.mu.
func (t *Table) settle(r *record) {
	now := t.Now()
	t.takeFacts(r, now)
	switch {
	case r.drains(now):
		if r.standing != routing.Draining {
			t.enter(r, routing.Draining, now, events.TargetDraining)
		}
	case r.standing == routing.Draining:
		t.enter(r, routing.Unproven, now, events.TargetReadmitted)
	case r.standing == routing.Proven:
		t.settleProven(r, now)
	case r.standing == routing.Unproven:
		t.settleUnproven(r, now)
	case now.Sub(r.since) >= r.hold:
		t.enter(r, routing.Unproven, now, events.TargetReadmitted)
	}
	t.tell(r, now)
}

func (t *Table) settleProven(r *record, now time.Time) {
	gone := r.unreachable.Load() >= unreachableStreak
	failing := history(r.history.Load()).failing() && t.outlier(r)
	silent := r.probes <= -failedProbes && !r.answeredSince(now.Add(-recentAnswer))
	if gone || failing || silent && t.outlier(r) {
		t.eject(r, now)
	}
}

func (t *Table) settleUnproven(r *record, now time.Time) {
	h := history(r.history.Load())
	switch {
	case h.failures() >= probationFailures, r.unreachable.Load() >= unreachableStreak, r.probes <= -failedProbes:
		if t.outlier(r) {
			t.eject(r, now)
		}
	case r.successes.Load() >= provingAnswers, r.probes >= provingProbes && h.failures() == 0:
		t.enter(r, routing.Proven, now, events.TargetReadmitted)
	}
}

// eject takes a target out of use; each ejection in a row lasts twice as long.
func (t *Table) eject(r *record, now time.Time) {
	if r.standing == routing.Proven && now.Sub(r.since) > holdMemory {
		r.hold = 0
	}
	r.hold = min(max(minHold, 2*r.hold), maxHold)
	r.hearsay = false
	t.enter(r, routing.Ejected, now, events.TargetEjected)
}

// enter gives a target a new standing that this instance vouches for.
func (t *Table) enter(r *record, s routing.Standing, now time.Time, kind events.Kind) {
	was := r.standing
	t.apply(r, s, now)
	r.untold = s != routing.Unproven || was == routing.Draining
	t.Recorder.Record(events.Event{Kind: kind, Service: r.service, Target: r.id, Detail: s.String()})
}

func (t *Table) apply(r *record, s routing.Standing, now time.Time) {
	r.standing = s
	r.since = now
	r.checkAt = now
	r.restart()
	t.Routing.SetStanding(r.service, r.id, s)
}

// outlier reports whether at least half of the service's targets, other than
// this one, are sound. When most of them fail, the fault is not the target's, and
// ejecting it would only move its load.
func (t *Table) outlier(r *record) bool {
	pool := t.Routing.Snapshot().Pool(r.service)
	if pool == nil {
		return false
	}
	records := *t.records.Load()
	total, unsound := 0, 1
	for _, e := range pool.Endpoints {
		if e.Standing == routing.Draining {
			continue
		}
		total++
		if e.Target.ID != r.id && !sound(records[e.Target.ID]) {
			unsound++
		}
	}
	return 2*unsound <= total
}

func sound(r *record) bool {
	return r == nil || r.standing != routing.Ejected && history(r.history.Load()).rate() <= soundFailureRate
}

// Probed takes the result of a probe in.
func (t *Table) Probed(id model.TargetID, result ProbeResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := (*t.records.Load())[id]
	if r == nil {
		return
	}
	now := t.Now()
	switch {
	case result == ProbeDraining:
		r.drainAt.Store(now.UnixNano())
	case result == ProbeFailed:
		r.probes = min(r.probes, 0) - 1
		r.stopped = true
	default:
		r.probes = max(r.probes, 0) + 1
		r.endDrain(now)
	}
	t.settle(r)
}
