// Package health tracks the state of every target: from the outcomes of requests, from
// a limited number of probes, and from facts that other instances publish. It sets the
// states in the routing table.
package health

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// Outcome is how an exchange with a target ended.
type Outcome uint8

const (
	// Answered means a complete response with a status below 500.
	Answered Outcome = iota
	// ServerError means a complete response with a status of 500 or above.
	ServerError
	// Shed means that the target rejected the request without starting it.
	Shed
	// Unreachable means that no connection could be made.
	Unreachable
	// ConnectionLost means that the connection was lost during the exchange.
	ConnectionLost
	// TimedOut means that no response arrived in time.
	TimedOut
	// Cancelled means that this instance gave up the exchange; it is no evidence about
	// the target.
	Cancelled
)

// Observation is what one exchange showed about its target.
type Observation struct {
	Endpoint *routing.Endpoint
	Outcome  Outcome
	// Latency is the time from the first byte sent to the header of the response.
	Latency time.Duration
	// Draining is set if the response announced that the target is draining.
	Draining bool
}

// Observer receives observations. Implementations never block and are safe for
// concurrent use.
type Observer interface {
	Observe(Observation)
}
