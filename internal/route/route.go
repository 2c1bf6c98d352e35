// Package route holds the routes by which a gateway finds the service of a
// request: hosts, path prefixes, weighted splits, and what each route promises.
// A Table is immutable; a Holder swaps tables and never goes back.
package route

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Rule says where requests of one host and path prefix go. All fields but the
// split's position are immutable.
type Rule struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Class  model.Class
	// Objective is the time within which an answer is worth most to the caller.
	Objective time.Duration
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// MaxAttempts is the number of targets to which one request may be sent.
	MaxAttempts int
	// Priority is the rank among requests, 0 being the highest.
	Priority int
	// Backends has one entry, or several that share the requests by weight.
	Backends []Backend

	total    int
	position atomic.Uint64
}

// Backend is one service of a rule.
type Backend struct {
	Service model.ServiceName
	// Weight is relative to the other backends' weights.
	Weight int
}

// Service says how the targets of one service are talked to.
type Service struct {
	Name model.ServiceName
	// HealthPath answers at once with the target's load.
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all
	// instances together.
	MaxConnections int
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes accepted.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the arrival of a header, IdleTimeout the time without
	// a request on an open connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// goldenRatio spreads successive positions evenly over [0, 1).
const goldenRatio = 0.6180339887498949

// Backend returns the service for the next request. Any run of requests is
// shared nearly as the weights say. It is safe for concurrent use.
func (r *Rule) Backend() model.ServiceName {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	_, place := math.Modf(float64(r.position.Add(1)) * goldenRatio)
	left := int(place * float64(r.total))
	for _, b := range r.Backends {
		if left -= b.Weight; left < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// copy returns the rule as its source delivered it.
func (r *Rule) copy() *Rule {
	return &Rule{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Class: r.Class, Objective: r.Objective, Timeout: r.Timeout,
		MaxAttempts: r.MaxAttempts, Priority: r.Priority, Backends: r.Backends,
	}
}

// prepare adds up the weights and begins the split at a random place, so that
// instances don't send their first requests to the same service.
func (r *Rule) prepare() {
	r.total = 0
	for _, b := range r.Backends {
		r.total += b.Weight
	}
	r.position.Store(rand.Uint64N(1 << 20))
}
