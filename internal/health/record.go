package health

import (
	"math/bits"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// historyLength is the number of outcomes that are kept of each target.
	historyLength = 32
	// minHistory is the number of outcomes from which a failure rate is taken.
	minHistory = 16
	// maxFailureRate is the rate from which a target counts as failing.
	maxFailureRate = 0.5
	// soundFailureRate is the rate up to which a target counts as sound.
	soundFailureRate = 0.25
	// failureStreak is the number of failures in a row that needs no rate.
	failureStreak = 5
	// unreachableStreak is the number of refused or unanswered connection
	// attempts in a row after which a target counts as gone.
	unreachableStreak = 2
)

// history is a shift register of the newest outcomes, a failure being 1, in the
// lower half, and the number of outcomes in the upper half.
type history uint64

func (h history) count() int    { return int(h >> historyLength) }
func (h history) failures() int { return bits.OnesCount32(uint32(h)) }

func (h history) add(failed bool) history {
	outcomes := uint32(h) << 1
	if failed {
		outcomes |= 1
	}
	count := min(h.count()+1, historyLength)
	return history(count)<<historyLength | history(outcomes)
}

// rate returns the share of failures, or 0 if there are too few outcomes.
func (h history) rate() float64 {
	if h.count() < minHistory {
		return 0
	}
	return float64(h.failures()) / float64(h.count())
}

func (h history) failing() bool {
	const streak = 1<<failureStreak - 1
	return h.count() >= failureStreak && uint32(h)&streak == streak || h.rate() >= maxFailureRate
}

// record is what an instance knows of one target. The atomic fields are written
// by exchanges; the others belong to Table.mu.
type record struct {
	service model.ServiceName
	id      model.TargetID

	history     atomic.Uint64
	unreachable atomic.Int32
	successes   atomic.Int32
	answeredAt  atomic.Int64
	triedAt     atomic.Int64
	// drainAt is when this instance last saw or heard a sign that the target is leaving.
	drainAt atomic.Int64
	// drainSaid is set if an answer carried the sign; health endpoints can't undo it.
	drainSaid atomic.Bool

	standing routing.Standing
	// since is when the standing was taken.
	since time.Time
	// hold is the length of the latest ejection.
	hold time.Duration
	// hearsay is set while an ejection rests on a peer's word alone.
	hearsay bool
	// probes counts successful (above 0) or failed (below 0) probes in a row.
	probes int
	// stopped is set once a probe has failed since the target began to drain.
	stopped bool
	// checkAt is when the target is next considered for a probe.
	checkAt time.Time
	// heard are the stamps of the newest facts that were taken in.
	heardHealth, heardDrain events.Timestamp
	// untold is set while the standing has not been published.
	untold bool
	toldAt time.Time
}

// note adds the outcome of an exchange and reports whether it may change the
// target's standing.
func (r *record) note(o Outcome, now time.Time) bool {
	if o == Cancelled {
		return false
	}
	r.triedAt.Store(now.UnixNano())
	failed := o != Answered
	h := r.push(failed)
	if o == Unreachable {
		return r.unreachable.Add(1) >= unreachableStreak || h.failing()
	}
	r.unreachable.Store(0)
	if failed {
		r.successes.Store(0)
		return true
	}
	r.answeredAt.Store(now.UnixNano())
	return r.successes.Add(1) == provingAnswers
}

func (r *record) push(failed bool) history {
	for {
		old := r.history.Load()
		next := history(old).add(failed)
		if r.history.CompareAndSwap(old, uint64(next)) {
			return next
		}
	}
}

// restart forgets the outcomes before a new standing.
func (r *record) restart() {
	r.history.Store(0)
	r.unreachable.Store(0)
	r.successes.Store(0)
	r.probes = 0
	r.stopped = false
}

func (r *record) answeredSince(t time.Time) bool { return r.answeredAt.Load() > t.UnixNano() }

func (r *record) triedSince(t time.Time) bool { return r.triedAt.Load() > t.UnixNano() }

// drains reports whether the target has lately shown that it is leaving.
func (r *record) drains(now time.Time) bool {
	at := r.drainAt.Load()
	return at != 0 && now.UnixNano()-at < int64(r.drainLifetime())
}

// drainLifetime is how long after its last sign a drain is believed in.
func (r *record) drainLifetime() time.Duration {
	if r.drainSaid.Load() {
		return saidDrainMemory
	}
	return drainMemory
}

// endDrain ends the drain of a target that answers probes as if it stayed: if
// only probes had shown the drain, or if the target has been down in between.
func (r *record) endDrain(now time.Time) {
	at := r.drainAt.Load()
	if at == 0 || r.probes < provingProbes || now.UnixNano()-at < int64(drainMemory/3) {
		return
	}
	if !r.drainSaid.Load() || r.stopped {
		r.drainAt.Store(0)
		r.drainSaid.Store(false)
	}
}
