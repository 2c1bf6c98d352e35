package route

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/clock"
)

// Source is from whom an instance learnt something about routes. Its values appear in logs and
// don't change.
type Source string

// Sources of routes and of confirmations.
const (
	// FromStore is a read of the store. Only strong ones confirm routes.
	FromStore Source = "store"
	// FromRelay is a seed that follows the store. It confirms routes and sends none.
	FromRelay Source = "relay"
	// FromPeer is an exchange with a seed while the store is unavailable. It confirms nothing.
	FromPeer Source = "peer"
)

// Confirmation tells when and by whom the routes in force were last known to be the store's
// latest.
type Confirmation struct {
	// At is when the read that confirmed the routes began, or earlier: they reflect all changes
	// that the store had acknowledged before.
	At time.Time
	By Source
}

// Age returns the time since the confirmation, as clock.Since tells it, or -1 s if there was
// none.
func (c Confirmation) Age() time.Duration {
	if c.At.IsZero() {
		return -time.Second
	}
	return clock.Since(c.At)
}
