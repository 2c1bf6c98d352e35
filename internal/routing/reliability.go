package routing

import (
	"math"
	"sync"
	"time"
)

const (
	// riskHalfLife is the time in which the memory of an outcome halves.
	riskHalfLife = 2 * time.Second
	// riskPrior is the weight of the belief that a target is sound, in outcomes.
	riskPrior = 2
)

// Reliability estimates the risk that an exchange with a target fails, from the
// outcomes of own exchanges. Old outcomes fade. It is safe for concurrent use.
type Reliability struct {
	mu           sync.Mutex
	good, failed float64
	at           time.Duration
}

// Observe adds an outcome.
func (r *Reliability) Observe(ok bool, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fade(now)
	if ok {
		r.good++
	} else {
		r.failed++
	}
}

// Risk returns the expected share of exchanges that fail, 0 to 1.
func (r *Reliability) Risk(now time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fade(now)
	return r.failed / (r.good + r.failed + riskPrior)
}

func (r *Reliability) fade(now time.Duration) {
	keep := math.Exp2(-float64(max(0, now-r.at)) / float64(riskHalfLife))
	r.good *= keep
	r.failed *= keep
	r.at = now
}
