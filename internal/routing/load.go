package routing

import (
	"sync/atomic"
	"time"
)

// maxReportAge is the age above which a target's load report is ignored.
const maxReportAge = 20 * time.Millisecond

// processStart is the origin of Clock readings.
var processStart = time.Now()

// Clock returns the monotonic time since the process started.
type Clock func() time.Duration

// Monotonic is the Clock of the process.
func Monotonic() time.Duration { return time.Since(processStart) }

// Load holds the load counters of one target. It outlives snapshots. Its times are
// readings of a Clock in nanoseconds. All methods are lock-free and safe for concurrent
// use.
type Load struct {
	inFlight atomic.Int32
	// otherInFlight is the number of requests of other instances, derived from the
	// target's last report.
	otherInFlight atomic.Int32
	reported      atomic.Int32
	reportedAt    atomic.Int64
	// progressAt is when an exchange last ended, or began while no other was in
	// flight.
	progressAt atomic.Int64
	// beginTimes is a ring buffer of the times at which the latest own exchanges
	// began.
	beginTimes [beginRingSize]atomic.Int64
	beginCount atomic.Uint32
	// Reliability tracks the failure risk of exchanges with the target.
	Reliability Reliability
	// statements is what the target stated about itself, or nil.
	statements atomic.Pointer[statements]
	// cold is what the target said of its start.
	cold coldState
}

// beginRingSize is the number of own exchanges whose begin times are kept. No more
// than that begin between a probe and its response.
const beginRingSize = 8

// CountBegunSince returns how many own exchanges began at or after a reading of a Clock, at
// most beginRingSize.
func (l *Load) CountBegunSince(since time.Duration) int {
	n := 0
	for i := range l.beginTimes {
		if at := l.beginTimes[i].Load(); at != 0 && at >= int64(since) {
			n++
		}
	}
	return n
}

// Begin counts an exchange that starts now.
func (l *Load) Begin() { l.BeginAt(Monotonic()) }

// BeginAt counts an exchange that starts at a reading of a Clock.
func (l *Load) BeginAt(now time.Duration) {
	l.beginTimes[l.beginCount.Add(1)%beginRingSize].Store(int64(now))
	if l.inFlight.Add(1) == 1 {
		l.progressAt.Store(int64(now))
	}
}

// End counts an exchange that ends now.
func (l *Load) End() { l.EndAt(Monotonic()) }

// EndAt counts an exchange that ends at a reading of a Clock.
func (l *Load) EndAt(now time.Duration) {
	l.inFlight.Add(-1)
	l.progressAt.Store(int64(now))
}

// StallTime returns how long own exchanges have been in flight without one ending, or 0
// if none is in flight.
func (l *Load) StallTime(now time.Duration) time.Duration {
	if l.inFlight.Load() == 0 {
		return 0
	}
	return now - time.Duration(l.progressAt.Load())
}

// InFlight returns the number of this instance's exchanges in flight.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Report stores the number of requests that the target reported in a response. It must
// be called before End of the exchange that carried the report.
func (l *Load) Report(requests int, at time.Time) { l.ReportAt(requests, at.Sub(processStart)) }

// ReportAt is Report with the time as a reading of a Clock.
func (l *Load) ReportAt(requests int, at time.Duration) {
	l.reported.Store(int32(requests))
	l.otherInFlight.Store(max(0, int32(requests)-l.inFlight.Load()))
	l.reportedAt.Store(int64(at))
}

// Reported returns the last reported number of requests and when the report arrived.
func (l *Load) Reported() (requests int, at time.Time) {
	return int(l.reported.Load()), processStart.Add(time.Duration(l.reportedAt.Load()))
}

// HasFreeSlots reports whether the target has free slots according to a recent report,
// with own exchanges begun since then counted in. Reports are used only for this
// check, not to rank targets: they are too old for that when they arrive.
func (l *Load) HasFreeSlots(slots int, now time.Duration) bool {
	age := now - time.Duration(l.reportedAt.Load())
	return age <= maxReportAge && int(l.inFlight.Load()+l.otherInFlight.Load()) < slots
}
