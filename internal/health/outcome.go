// Package health decides what may be expected of each target, from the answers
// of real requests, from few probes and from what other instances have learnt.
package health

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// Outcome is how an exchange with a target ended.
type Outcome uint8

const (
	// Answered means a whole answer below status 500.
	Answered Outcome = iota
	// Erred means a whole answer with a status of 500 or above.
	Erred
	// Shed means that the target refused the request unstarted.
	Shed
	// Unreachable means that no connection was made.
	Unreachable
	// Broken means that the connection ended in the middle of the exchange.
	Broken
	// TimedOut means that no answer came in time.
	TimedOut
	// Cancelled means that this side gave the exchange up; it says nothing of the target.
	Cancelled
)

// Observation is what one exchange showed of its target.
type Observation struct {
	Endpoint *routing.Endpoint
	Outcome  Outcome
	// Latency is the time from the first byte sent to the answer's header.
	Latency time.Duration
	// Draining is set when the target said that it is leaving.
	Draining bool
}

// Observer takes observations in. It never blocks and is safe for concurrent use.
type Observer interface {
	Observe(Observation)
}
