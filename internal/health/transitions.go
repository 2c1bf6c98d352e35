package health

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// recentResponseAge is the age up to which an own response outweighs probes and the
	// facts of peers.
	recentResponseAge = 10 * time.Second
	// failedProbeStreak is the number of consecutive failed probes that ejects a
	// target without recent responses.
	failedProbeStreak = 3
	// probationFailures is the number of failures that ejects an unproven target.
	probationFailures = 2
)

// evaluate updates the state of a record from the current evidence, applies it to the
// routing table and publishes it to the fleet. The caller must hold t.mu.
func (t *Table) evaluate(r *record) {
	now := t.Now()
	t.mergePeerFacts(r, now)
	switch {
	case r.draining(now):
		if r.state != routing.Draining {
			t.transition(r, routing.Draining, now, events.TargetDraining)
		}
	case r.state == routing.Draining:
		t.transition(r, routing.Unproven, now, events.TargetReadmitted)
	case r.state == routing.Proven:
		t.evaluateProven(r, now)
	case r.state == routing.Unproven:
		t.evaluateUnproven(r, now)
	case now.Sub(r.stateSince) >= r.ejectionTime:
		t.transition(r, routing.Unproven, now, events.TargetReadmitted)
	}
	t.publish(r, now)
}

// evaluateProven ejects a proven target that is down, fails, or fails its probes
// without recent responses.
func (t *Table) evaluateProven(r *record, now time.Time) {
	down := r.unreachable.Load() >= unreachableStreak
	failing := history(r.history.Load()).failing() && t.outlier(r)
	unresponsive := r.probeStreak <= -failedProbeStreak && !r.answeredSince(now.Add(-recentResponseAge))
	if down || failing || unresponsive && t.outlier(r) {
		t.eject(r, now)
	}
}

// evaluateUnproven ejects an unproven target after a few failures or marks it as
// proven after enough successes.
func (t *Table) evaluateUnproven(r *record, now time.Time) {
	h := history(r.history.Load())
	switch {
	case h.failures() >= probationFailures, r.unreachable.Load() >= unreachableStreak, r.probeStreak <= -failedProbeStreak:
		if t.outlier(r) {
			t.eject(r, now)
		}
	case r.successes.Load() >= provingResponses, r.probeStreak >= provingProbes && h.failures() == 0:
		t.transition(r, routing.Proven, now, events.TargetReadmitted)
	}
}

// eject takes a target out of use. Consecutive ejections double in length, up to
// maxEjectionTime.
func (t *Table) eject(r *record, now time.Time) {
	if r.state == routing.Proven && now.Sub(r.stateSince) > ejectionMemory {
		r.ejectionTime = 0
	}
	r.ejectionTime = min(max(minEjectionTime, 2*r.ejectionTime), maxEjectionTime)
	r.ejectedByPeer = false
	t.transition(r, routing.Ejected, now, events.TargetEjected)
}

// transition moves a target to a new state on the evidence of this instance, and
// records the event.
func (t *Table) transition(r *record, s routing.TargetState, now time.Time, kind events.Kind) {
	previous := r.state
	t.setState(r, s, now)
	r.unpublished = s != routing.Unproven || previous == routing.Draining
	t.Recorder.Record(events.Event{Kind: kind, Service: r.service, Target: r.id, Detail: s.String()})
}

// setState sets the state in the record and in the routing table.
func (t *Table) setState(r *record, s routing.TargetState, now time.Time) {
	r.state = s
	r.stateSince = now
	r.nextCheck = now
	r.resetCounters()
	t.Routing.SetState(r.service, r.id, s)
}

// outlier reports whether, with this target counted as unhealthy, at most half of the
// service's targets are unhealthy. If most targets fail, the cause is probably not the
// target, and ejecting it would only move its load.
func (t *Table) outlier(r *record) bool {
	pool := t.Routing.Snapshot().Pool(r.service)
	if pool == nil {
		return false
	}
	records := *t.records.Load()
	total, unhealthy := 0, 1
	for _, e := range pool.Endpoints {
		if e.State == routing.Draining {
			continue
		}
		total++
		if e.Target.ID != r.id && !healthy(records[e.Target.ID]) {
			unhealthy++
		}
	}
	return 2*unhealthy <= total
}

// healthy reports whether a target is neither ejected nor above healthyFailureRate.
// Unknown targets count as healthy.
func healthy(r *record) bool {
	return r == nil || r.state != routing.Ejected && history(r.history.Load()).rate() <= healthyFailureRate
}

// ObserveProbe updates the state of a target with the result of a probe. Results for
// unknown targets are ignored. It is safe for concurrent use.
func (t *Table) ObserveProbe(id model.TargetID, result ProbeResult) {
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
		r.probeStreak = min(r.probeStreak, 0) - 1
		r.downSinceDrain = true
	default:
		r.probeStreak = max(r.probeStreak, 0) + 1
		r.clearDrain(now)
	}
	t.evaluate(r)
}
