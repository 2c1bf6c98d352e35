package store

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// outageThreshold is the number of failures in a row that start an outage.
	outageThreshold = 3
	probeBase       = 100 * time.Millisecond
	probeMax        = 5 * time.Second
)

// gate bounds the calls of one client. Every call takes one token of the budget;
// a part of it is kept for writes, so that reads can't use it up.
// In an outage one call at a time is let through as a probe, after pauses that
// grow; all others fail at once. It is safe for concurrent use.
type gate struct {
	reads   *rate.Limiter
	writes  *rate.Limiter
	onState func(up bool)

	mu       sync.Mutex
	failures int
	down     bool
	probing  bool
	probeAt  time.Time
	backoff  Backoff
}

func newGate(o ClientOptions) *gate {
	return &gate{
		reads:   rate.NewLimiter(rate.Limit(o.CallsPerSecond-o.WritesPerSecond), o.Burst),
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.Burst),
		onState: o.OnState,
		backoff: Backoff{Base: probeBase, Max: probeMax},
	}
}

// enter admits a call and reports whether it is a probe.
func (g *gate) enter(op string, write bool) (probe bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		if wait := time.Until(g.probeAt); g.probing || wait > 0 {
			return false, &UnavailableError{Op: op, Cause: &OutageError{RetryAfter: max(wait, 0)}}
		}
	}
	budget := g.reads
	if write {
		budget = g.writes
	}
	if !budget.Allow() {
		return false, &BudgetError{Op: op}
	}
	g.probing = g.down
	return g.down, nil
}

// success notes that the platform answered a call.
func (g *gate) success(probe bool) {
	g.mu.Lock()
	up := g.down && probe
	if probe || !g.down {
		g.failures = 0
		g.down = false
		g.probing = false
	}
	if up {
		g.backoff.Reset()
	}
	g.mu.Unlock()
	if up {
		g.onState(true)
	}
}

// failure notes a call without an answer.
func (g *gate) failure(probe bool) {
	g.mu.Lock()
	g.failures++
	started := !g.down && g.failures >= outageThreshold
	if started || probe {
		g.down = true
		g.probing = false
		g.probeAt = time.Now().Add(g.backoff.Next())
	}
	g.mu.Unlock()
	if started {
		g.onState(false)
	}
}

// abandoned notes a call that its caller gave up, which says nothing about the platform.
func (g *gate) abandoned(probe bool) {
	if !probe {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
}
