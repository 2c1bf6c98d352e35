package routing

import "time"

// Statement is what a target states about itself in a response. The zero value states
// nothing.
type Statement struct {
	// Limited is set if the target takes only LimitPerSecond requests a second from all
	// instances together, for as long as it says so.
	Limited        bool
	LimitPerSecond float64
}

// timedStatement is a statement with the reading of a Clock at which it was received.
type timedStatement struct {
	Statement
	at time.Duration
}

// Statement returns the latest statement of the target and the reading of a Clock at which
// it was received.
func (l *Load) Statement() (s Statement, at time.Duration) {
	if latest := l.statement.Load(); latest != nil {
		return latest.Statement, latest.at
	}
	return Statement{}, 0
}

// SetStatement replaces the target's statement and returns the one before.
func (l *Load) SetStatement(s Statement, now time.Duration) (before Statement) {
	if old := l.statement.Swap(&timedStatement{s, now}); old != nil {
		return old.Statement
	}
	return Statement{}
}

// isLimited reports whether the target has stated a limit.
func (l *Load) isLimited() bool {
	s, _ := l.Statement()
	return s.Limited
}
