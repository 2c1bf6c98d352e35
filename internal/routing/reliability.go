package routing

import (
	"math"
	"sync"
	"time"
)

const (
	// riskHalfLife is the time after which an outcome counts half.
	riskHalfLife = 2 * time.Second
	// riskPrior is the number of successes that every target is credited with, so that
	// few outcomes don't give an extreme risk.
	riskPrior = 2
)

// Reliability estimates the risk that an exchange with a target fails from the
// outcomes of this instance's own exchanges, weighted by age. The zero value is ready
// to use. It is safe for concurrent use.
type Reliability struct {
	mu                sync.Mutex
	succeeded, failed float64
	updatedAt         time.Duration
}

// Observe adds the outcome of an exchange at a reading of a Clock.
func (r *Reliability) Observe(ok bool, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	if ok {
		r.succeeded++
	} else {
		r.failed++
	}
}

// Risk returns the expected failure rate, from 0 to 1, at a reading of a Clock.
func (r *Reliability) Risk(now time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	return r.failed / (r.succeeded + r.failed + riskPrior)
}

// decay reduces the weight of earlier outcomes. The caller must hold r.mu.
func (r *Reliability) decay(now time.Duration) {
	factor := math.Exp2(-float64(max(0, now-r.updatedAt)) / float64(riskHalfLife))
	r.succeeded *= factor
	r.failed *= factor
	r.updatedAt = now
}
