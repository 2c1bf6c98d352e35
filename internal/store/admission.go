package store

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// outageThreshold is the number of consecutive failures after which calls are stopped.
	outageThreshold = 3
	// probeBase is the delay before the first probe of an outage, before jitter.
	probeBase = 100 * time.Millisecond
	// probeMax is the longest delay between two probes, before jitter.
	probeMax = 5 * time.Second
)

// admission decides which calls of a client may be made. It limits the rate of
// calls, separately for reads and writes, so that reads can't use up the share of
// the writes. It is also a circuit breaker: during an outage it admits one call at
// a time as a probe, with exponential delays, and rejects all others at once. It is
// safe for concurrent use.
type admission struct {
	reads          *rate.Limiter
	writes         *rate.Limiter
	onAvailability func(up bool)

	mu       sync.Mutex
	failures int
	outage   bool
	probing  bool
	probeAt  time.Time
	backoff  Backoff
}

func newAdmission(o ClientOptions) *admission {
	return &admission{
		reads:          rate.NewLimiter(rate.Limit(o.CallsPerSecond-o.WritesPerSecond), o.Burst),
		writes:         rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.Burst),
		onAvailability: o.OnAvailability,
		backoff:        Backoff{Base: probeBase, Max: probeMax},
	}
}

// admit admits a call and reports whether it is a probe. The error is *UnavailableError
// with *OutageError as its cause, or *RateLimitError.
func (a *admission) admit(op string, write bool) (probe bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outage {
		if wait := time.Until(a.probeAt); a.probing || wait > 0 {
			return false, &UnavailableError{Op: op, Cause: &OutageError{RetryAfter: max(wait, 0)}}
		}
	}
	limiter := a.reads
	if write {
		limiter = a.writes
	}
	if !limiter.Allow() {
		return false, &RateLimitError{Op: op}
	}
	a.probing = a.outage
	return a.outage, nil
}

// recordSuccess records a call that the platform answered.
func (a *admission) recordSuccess(probe bool) {
	a.mu.Lock()
	recovered := a.outage && probe
	if probe || !a.outage {
		a.failures = 0
		a.outage = false
		a.probing = false
	}
	if recovered {
		a.backoff.Reset()
	}
	a.mu.Unlock()
	if recovered {
		a.onAvailability(true)
	}
}

// recordFailure records a call that failed.
func (a *admission) recordFailure(probe bool) {
	a.mu.Lock()
	a.failures++
	outageStarted := !a.outage && a.failures >= outageThreshold
	if outageStarted || probe {
		a.outage = true
		a.probing = false
		a.probeAt = time.Now().Add(a.backoff.Next())
	}
	a.mu.Unlock()
	if outageStarted {
		a.onAvailability(false)
	}
}

// recordCanceled records a call that its caller canceled, which says nothing about
// the platform.
func (a *admission) recordCanceled(probe bool) {
	if !probe {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probing = false
}
