// Package limit holds the bounds that keep one party's demand from harming the
// others: admission, fairness, budgets for retries, hedges and measuring.
package limit

import (
	"sync"
	"time"
)

// Priority orders the uses of the measuring budget; the least useful goes without first.
type Priority uint8

// Priorities, the most useful first.
const (
	// PriorityMembership is for heartbeats, drains and revisions.
	PriorityMembership Priority = iota
	// PriorityProbe is for probes of targets.
	PriorityProbe
	// PriorityHint is for load hints.
	PriorityHint
)

// reserve is the share of the burst that a priority leaves to those above it.
var reserve = [...]float64{PriorityMembership: 0, PriorityProbe: 0.25, PriorityHint: 0.5}

// Measuring is the one budget, in bytes per second, that everything pays from
// which an instance sends to learn or tell something: probes, heartbeats, facts
// and hints. It does not depend on request load. It is safe for concurrent use.
type Measuring struct {
	rate  float64
	burst float64
	now   func() time.Time

	mu     sync.Mutex
	tokens float64
	last   time.Time
	spent  uint64
	denied uint64
}

// MeasuringBytesPerSecond is the default budget of an instance.
const MeasuringBytesPerSecond = 2048

const measuringBurstSeconds = 5

// NewMeasuring returns a budget with a full bucket.
func NewMeasuring(bytesPerSecond int, now func() time.Time) *Measuring {
	burst := float64(bytesPerSecond * measuringBurstSeconds)
	return &Measuring{rate: float64(bytesPerSecond), burst: burst, now: now, tokens: burst, last: now()}
}

// Take pays for bytes and reports whether the budget allows them.
func (m *Measuring) Take(bytes int, p Priority) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refill()
	if m.tokens-float64(bytes) < reserve[p]*m.burst {
		m.denied++
		return false
	}
	m.tokens -= float64(bytes)
	m.spent += uint64(bytes)
	return true
}

// Spent returns the bytes paid for and the number of denials so far.
func (m *Measuring) Spent() (bytes, denied uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spent, m.denied
}
