package routing

import (
	"sync/atomic"
	"time"
)

// reportLifetime is the age above which a target's report of its load is not used.
const reportLifetime = 20 * time.Millisecond

// started is the origin of the monotonic readings that loads keep.
var started = time.Now()

// Clock returns the monotonic time since the process started.
type Clock func() time.Duration

// Monotonic is the Clock of the process.
func Monotonic() time.Duration { return time.Since(started) }

// Load holds the counters of one target. They outlive snapshots and are updated
// by every exchange without locks.
type Load struct {
	inFlight   atomic.Int32
	foreign    atomic.Int32
	reported   atomic.Int32
	reportedAt atomic.Int64
	// heardAt is when an exchange last ended, or began at an idle target.
	heardAt atomic.Int64
	// begun holds when the latest own exchanges began, as a ring.
	begun      [begunRing]atomic.Int64
	begunCount atomic.Uint32
	// Reliability is the risk that an exchange fails.
	Reliability Reliability
}

// begunRing is the number of own exchanges whose beginning is remembered; more
// than that don't begin between a probe and its answer.
const begunRing = 8

// BegunSince returns how many of the latest own exchanges began at or after a
// reading of a Clock.
func (l *Load) BegunSince(since time.Duration) int {
	n := 0
	for i := range l.begun {
		if at := l.begun[i].Load(); at != 0 && at >= int64(since) {
			n++
		}
	}
	return n
}

// Begin counts an exchange that starts.
func (l *Load) Begin() { l.BeginAt(Monotonic()) }

// BeginAt is Begin with a reading of a Clock.
func (l *Load) BeginAt(now time.Duration) {
	l.begun[l.begunCount.Add(1)%begunRing].Store(int64(now))
	if l.inFlight.Add(1) == 1 {
		l.heardAt.Store(int64(now))
	}
}

// End counts an exchange that ends.
func (l *Load) End() { l.EndAt(Monotonic()) }

// EndAt is End with a reading of a Clock.
func (l *Load) EndAt(now time.Duration) {
	l.inFlight.Add(-1)
	l.heardAt.Store(int64(now))
}

// Silence returns how long the target has held own exchanges without ending one.
func (l *Load) Silence(now time.Duration) time.Duration {
	if l.inFlight.Load() == 0 {
		return 0
	}
	return now - time.Duration(l.heardAt.Load())
}

// InFlight returns the number of this instance's running exchanges.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Report stores the number of requests that the target said it holds. It is
// called before the exchange that carried the report ends.
func (l *Load) Report(requests int, at time.Time) { l.ReportAt(requests, at.Sub(started)) }

// ReportAt is Report with a reading of a Clock.
func (l *Load) ReportAt(requests int, at time.Duration) {
	l.reported.Store(int32(requests))
	l.foreign.Store(max(0, int32(requests)-l.inFlight.Load()))
	l.reportedAt.Store(int64(at))
}

// Reported returns the last reported number of requests and when it arrived.
func (l *Load) Reported() (requests int, at time.Time) {
	return int(l.reported.Load()), started.Add(time.Duration(l.reportedAt.Load()))
}

// HasSpare reports whether the target said a moment ago that it held fewer
// requests than its slots, the own exchanges begun since counted in. Reports
// don't rank targets: on arrival they are too old for that.
func (l *Load) HasSpare(slots int, now time.Duration) bool {
	age := now - time.Duration(l.reportedAt.Load())
	return age <= reportLifetime && int(l.inFlight.Load()+l.foreign.Load()) < slots
}
