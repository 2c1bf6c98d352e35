package store

import (
	"context"
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
	// maxBudgetWait is the longest time that a call waits for the call budget. A claim of
	// the ledger takes several calls in turn, all within a second.
	maxBudgetWait = 250 * time.Millisecond
)

// admission decides which calls of a client may be made. It limits the rate of
// calls, separately for reads and writes, so that reads can't use up the share of
// the writes; calls wait for the budget in the order in which they arrive. It is also a circuit breaker: during an outage it admits one call at
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

// admit admits a call and reports whether it is a probe. It may wait up to maxBudgetWait.
// The error is *UnavailableError with *OutageError or the context's error as its cause, or
// *RateLimitError.
func (a *admission) admit(ctx context.Context, op string, write bool) (probe bool, err error) {
	if err := a.checkOutage(op); err != nil {
		return false, err
	}
	limiter := a.reads
	if write {
		limiter = a.writes
	}
	if err := awaitBudget(ctx, limiter, op); err != nil {
		return false, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.outageError(op); err != nil {
		return false, err
	}
	a.probing = a.outage
	return a.outage, nil
}

// checkOutage returns an *UnavailableError if an outage rejects calls at the moment.
func (a *admission) checkOutage(op string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outageError(op)
}

// outageError is checkOutage for callers that hold mu.
func (a *admission) outageError(op string) error {
	if !a.outage {
		return nil
	}
	if wait := time.Until(a.probeAt); a.probing || wait > 0 {
		return &UnavailableError{Op: op, Cause: &OutageError{RetryAfter: max(wait, 0)}}
	}
	return nil
}

// awaitBudget takes one call from the budget. If it is spent, it waits for its turn, up to
// maxBudgetWait. The error is *RateLimitError or, if ctx ends, *UnavailableError.
func awaitBudget(ctx context.Context, limiter *rate.Limiter, op string) error {
	reservation := limiter.Reserve()
	delay := reservation.Delay()
	if !reservation.OK() || delay > maxBudgetWait {
		reservation.Cancel()
		return &RateLimitError{Op: op}
	}
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		reservation.Cancel()
		return &UnavailableError{Op: op, Cause: ctx.Err()}
	}
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
