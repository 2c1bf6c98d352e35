package routing

import "time"

// Statement is what a target states about itself in a response. The zero value states
// nothing.
type Statement struct {
	// Limited is set if the target takes only LimitPerSecond requests a second from all
	// instances together, for as long as it says so.
	Limited        bool
	LimitPerSecond float64
	// Pause is for how long the target takes no request from this instance; zero if it
	// didn't ask for a pause.
	Pause time.Duration
	// Leaving is set if the target will stop and takes no new requests.
	Leaving bool
}

// statements is what is known of a target from its statements.
type statements struct {
	latest Statement
	// limitAt is the reading of a Clock at which the limit was last stated or withdrawn,
	// pausedUntil the end of the latest pause.
	limitAt, pausedUntil time.Duration
}

// Statement returns the latest statement of the target and the reading of a Clock at which
// its limit was stated or withdrawn.
func (l *Load) Statement() (s Statement, limitAt time.Duration) {
	known := l.knownStatements()
	return known.latest, known.limitAt
}

func (l *Load) knownStatements() statements {
	if s := l.statements.Load(); s != nil {
		return *s
	}
	return statements{}
}

// RecordStatement records a statement received at a reading of a Clock and returns the
// latest ones before and after it. A statement without a limit withdraws the limit only if
// withdraws is set. A pause ends only with its time, and a target that leaves doesn't return:
// responses of its earlier requests may still arrive.
func (l *Load) RecordStatement(s Statement, withdraws bool, now time.Duration) (before, after Statement) {
	for {
		old := l.statements.Load()
		known := l.knownStatements()
		before = known.latest
		if s.Limited || withdraws {
			known.limitAt = now
		} else {
			s.Limited, s.LimitPerSecond = before.Limited, before.LimitPerSecond
		}
		s.Leaving = s.Leaving || before.Leaving
		known.latest = s
		known.pausedUntil = max(known.pausedUntil, now+s.Pause)
		if l.statements.CompareAndSwap(old, &known) {
			return before, s
		}
	}
}

// isLimited reports whether the target has stated a limit.
func (l *Load) isLimited() bool { return l.knownStatements().latest.Limited }

// pauseLeft returns how long the pause that the target asked for lasts from a reading of a
// Clock on, or zero.
func (l *Load) pauseLeft(now time.Duration) time.Duration {
	return max(0, l.knownStatements().pausedUntil-now)
}

// isLeaving reports whether the platform or the target itself stated that it will stop.
func (e *Endpoint) isLeaving() bool {
	return e.State == Draining || e.Load.knownStatements().latest.Leaving
}

// takesRequests reports whether the target takes new requests at a reading of a Clock.
func (e *Endpoint) takesRequests(now time.Duration) bool {
	return !e.isLeaving() && !e.domain.isEvacuated() && e.Load.pauseLeft(now) == 0
}
