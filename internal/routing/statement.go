package routing

// Statement is what a target states about itself in a response. The zero value states
// nothing.
type Statement struct {
	// Limited is set if the target takes only LimitPerSecond requests a second from all
	// instances together.
	Limited        bool
	LimitPerSecond float64
}

// Statement returns the latest statement of the target.
func (l *Load) Statement() Statement {
	if s := l.statement.Load(); s != nil {
		return *s
	}
	return Statement{}
}

// SetStatement replaces the target's statement and returns the one before.
func (l *Load) SetStatement(s Statement) (before Statement) {
	if old := l.statement.Swap(&s); old != nil {
		return *old
	}
	return Statement{}
}
