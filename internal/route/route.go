// Package route holds the routing rules that map a request's host and path prefix to
// a service, with weighted splits, timeouts and limits. A Table is immutable; a
// Holder publishes the current one and never reverts to an older revision.
package route

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Rule routes the requests of one host and path prefix. Its exported fields must not
// change once it is part of a Table.
type Rule struct {
	Name string
	Host string
	// Prefix must begin and end with a slash.
	Prefix string
	Class  model.Class
	// Objective is the latency objective: a later response is worth less to the caller.
	Objective time.Duration
	// Timeout is the total time allowed for a request, including retries.
	Timeout time.Duration
	// MaxAttempts is the maximum number of targets to which a request is sent.
	MaxAttempts int
	// Priority is the priority of requests; 0 is the highest.
	Priority int
	// Backends are the services among which requests are split by weight.
	Backends []Backend
	// Homes are the regions in which requests may be served; none means all. Those of the
	// request's organisation bind as well.
	Homes []model.Region
	// Public requests need no key.
	Public bool

	totalWeight int
	// position counts the requests that were split, from a random start.
	position atomic.Uint64
}

// Backend is a service in a rule's split.
type Backend struct {
	Service model.ServiceName
	// Weight is relative to the sum of the rule's weights; zero gets no requests.
	Weight int
}

// Service is the configuration of a service's targets.
type Service struct {
	Name model.ServiceName
	// HealthPath is the path of the health check. Targets respond to it at once, with
	// their load.
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all
	// instances together.
	MaxConnections int
	// ColdPerSecond is the number of requests a second that a cold target takes from all
	// instances together; zero means that it is not limited.
	ColdPerSecond float64
	// ColdStart is how long a target is cold after its start.
	ColdStart time.Duration
}

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes in bytes.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time to receive a header, IdleTimeout the time that a
	// connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
}

// goldenRatio is the fractional part of the golden ratio; its successive multiples
// modulo 1 are evenly distributed.
const goldenRatio = 0.6180339887498949

// NextService returns the service for the next request. Every sequence of requests is
// split nearly in proportion to the weights. It is safe for concurrent use.
func (r *Rule) NextService() model.ServiceName {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	_, fraction := math.Modf(float64(r.position.Add(1)) * goldenRatio)
	remaining := int(fraction * float64(r.totalWeight))
	for _, b := range r.Backends {
		if remaining -= b.Weight; remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// copy returns a copy of the exported fields; Backends is shared.
func (r *Rule) copy() *Rule {
	return &Rule{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Class: r.Class, Objective: r.Objective, Timeout: r.Timeout,
		MaxAttempts: r.MaxAttempts, Priority: r.Priority, Backends: r.Backends,
		Homes: r.Homes, Public: r.Public,
	}
}

// prepare sums the weights and starts the split at a random position, so that
// instances don't all send their first requests to the same service.
func (r *Rule) prepare() {
	r.totalWeight = 0
	for _, b := range r.Backends {
		r.totalWeight += b.Weight
	}
	r.position.Store(rand.Uint64N(1 << 20))
}
