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
	// historyLength is the number of outcomes that are kept per target.
	historyLength = 32
	// minHistory is the number of outcomes below which no failure rate is calculated.
	minHistory = 16
	// maxFailureRate is the failure rate at which a target counts as failing.
	maxFailureRate = 0.5
	// healthyFailureRate is the highest failure rate of a target that counts as
	// healthy.
	healthyFailureRate = 0.25
	// failureStreak is the number of consecutive failures at which a target counts as
	// failing whatever its failure rate.
	failureStreak = 5
	// unreachableStreak is the number of consecutive failed connection attempts after
	// which a target counts as down.
	unreachableStreak = 2
)

// history holds the latest outcomes in its lower 32 bits, as a shift register in which
// 1 is a failure, and the number of outcomes, at most historyLength, in its upper 32
// bits.
type history uint64

func (h history) count() int    { return int(h >> historyLength) }
func (h history) failures() int { return bits.OnesCount32(uint32(h)) }

// add returns the history with one more outcome.
func (h history) add(failed bool) history {
	outcomes := uint32(h) << 1
	if failed {
		outcomes |= 1
	}
	count := min(h.count()+1, historyLength)
	return history(count)<<historyLength | history(outcomes)
}

// rate returns the failure rate, or 0 if there are fewer than minHistory outcomes.
func (h history) rate() float64 {
	if h.count() < minHistory {
		return 0
	}
	return float64(h.failures()) / float64(h.count())
}

// failing reports whether the latest failureStreak outcomes or at least maxFailureRate
// of all are failures.
func (h history) failing() bool {
	const streak = 1<<failureStreak - 1
	return h.count() >= failureStreak && uint32(h)&streak == streak || h.rate() >= maxFailureRate
}

// record is what this instance knows about one target. The atomic fields are updated
// by exchanges; the others are guarded by Table.mu.
type record struct {
	service model.ServiceName
	id      model.TargetID

	// history, unreachable and successes are reset at every state change. unreachable
	// counts consecutive failed connection attempts; successes counts responses since
	// the last failure other than Unreachable.
	history     atomic.Uint64
	unreachable atomic.Int32
	successes   atomic.Int32
	// answeredAt and triedAt are the Unix times, in nanoseconds, of the last answered
	// exchange and of the last exchange that wasn't cancelled.
	answeredAt atomic.Int64
	triedAt    atomic.Int64
	// drainAt is the Unix time, in nanoseconds, of the latest evidence that the target
	// is draining, by this instance or a peer, or 0.
	drainAt atomic.Int64
	// drainAnnounced is set if a response announced the drain. Successful probes alone
	// don't end such a drain.
	drainAnnounced atomic.Bool

	state routing.TargetState
	// stateSince is when the target entered its state.
	stateSince time.Time
	// ejectionTime is the length of the latest ejection.
	ejectionTime time.Duration
	// ejectedByPeer is set while an ejection relies on a peer's fact alone.
	ejectedByPeer bool
	// probeStreak counts consecutive probes: above 0 the successful ones, below 0 the
	// failed ones.
	probeStreak int
	// downSinceDrain is set once a probe has failed since the target began to drain.
	downSinceDrain bool
	// nextCheck is when the target is next considered for a probe.
	nextCheck time.Time
	// seenHealth and seenDrain are the timestamps of the latest facts that were
	// processed.
	seenHealth, seenDrain events.Timestamp
	// unpublished is set while the state still has to be published.
	unpublished bool
	// publishedAt is when a fact about the target was last published, or a drain fact
	// received.
	publishedAt time.Time
}

// addOutcome adds the outcome of an exchange and reports whether the state of the
// target has to be re-evaluated.
func (r *record) addOutcome(o Outcome, now time.Time) bool {
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
	return r.successes.Add(1) == provingResponses
}

// push adds an outcome to the history atomically and returns the new history.
func (r *record) push(failed bool) history {
	for {
		old := r.history.Load()
		next := history(old).add(failed)
		if r.history.CompareAndSwap(old, uint64(next)) {
			return next
		}
	}
}

// resetCounters discards the evidence that led to the previous state. The caller must
// hold Table.mu.
func (r *record) resetCounters() {
	r.history.Store(0)
	r.unreachable.Store(0)
	r.successes.Store(0)
	r.probeStreak = 0
	r.downSinceDrain = false
}

func (r *record) answeredSince(t time.Time) bool { return r.answeredAt.Load() > t.UnixNano() }

func (r *record) triedSince(t time.Time) bool { return r.triedAt.Load() > t.UnixNano() }

// draining reports whether there is recent evidence that the target is draining.
func (r *record) draining(now time.Time) bool {
	at := r.drainAt.Load()
	return at != 0 && now.UnixNano()-at < int64(r.drainTTL())
}

// drainTTL returns how long after its latest evidence a drain is assumed to continue.
func (r *record) drainTTL() time.Duration {
	if r.drainAnnounced.Load() {
		return announcedDrainTTL
	}
	return probedDrainTTL
}

// clearDrain ends the drain of a target with enough successful probes, if only probes
// had shown the drain or the target has been down since. The caller must hold
// Table.mu.
func (r *record) clearDrain(now time.Time) {
	at := r.drainAt.Load()
	if at == 0 || r.probeStreak < provingProbes || now.UnixNano()-at < int64(probedDrainTTL/3) {
		return
	}
	if !r.drainAnnounced.Load() || r.downSinceDrain {
		r.drainAt.Store(0)
		r.drainAnnounced.Store(false)
	}
}
