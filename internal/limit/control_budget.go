// Package limit provides admission queues, rate limits and budgets. They keep the demand
// of one caller or subsystem from harming the others.
package limit

import (
	"sync"
	"time"
)

// Priority orders the uses of the control traffic budget. The least important use is
// refused first.
type Priority uint8

// Priorities, the most important first.
const (
	// PriorityMembership is for heartbeats, drain notices and configuration revisions.
	PriorityMembership Priority = iota
	// PriorityProbe is for health checks of targets.
	PriorityProbe
	// PriorityHint is for load hints.
	PriorityHint
)

// reservedShare is the share of the burst that each priority leaves to the more important
// ones.
var reservedShare = [...]float64{PriorityMembership: 0, PriorityProbe: 0.25, PriorityHint: 0.5}

// ControlBudget is the budget, in bytes per second, of all control traffic that an
// instance sends: health checks, heartbeats, facts and load hints. It is a token bucket
// that is filled by time and does not grow with the request load. It is safe for
// concurrent use.
type ControlBudget struct {
	rate  float64
	burst float64
	now   func() time.Time

	mu     sync.Mutex
	tokens float64
	last   time.Time
	used   uint64
	denied uint64
}

// DefaultControlBytesPerSecond is the default budget of an instance in bytes per second.
const DefaultControlBytesPerSecond = 2048

// burstSeconds is the size of a full bucket in seconds of the budget's rate.
const burstSeconds = 5

// NewControlBudget returns a budget with a full bucket. It reads the time from now.
func NewControlBudget(bytesPerSecond int, now func() time.Time) *ControlBudget {
	burst := float64(bytesPerSecond * burstSeconds)
	return &ControlBudget{rate: float64(bytesPerSecond), burst: burst, now: now, tokens: burst, last: now()}
}

// Take takes bytes at a priority and reports whether the budget allows them.
func (b *ControlBudget) Take(bytes int, p Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens-float64(bytes) < reservedShare[p]*b.burst {
		b.denied++
		return false
	}
	b.tokens -= float64(bytes)
	b.used += uint64(bytes)
	return true
}

// Usage returns the number of bytes taken and the number of refusals so far.
func (b *ControlBudget) Usage() (bytes, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.denied
}
