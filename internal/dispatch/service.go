package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// Budget bounds the arrivals at targets beyond the first of each request.
type Budget struct {
	// Share is the part of a service's requests that may be sent once more.
	Share float64
	// Burst is what one instance may spend at once after a pause. A process starts
	// with none of it.
	Burst float64
}

// services finds the state of a service.
type services struct {
	// share holds Budget.Share as bits; it may change while the process runs.
	share  atomic.Uint64
	burst  float64
	byName sync.Map
}

func (s *services) setShare(share float64) { s.share.Store(math.Float64bits(share)) }

// service is what an instance remembers of one service between requests.
type service struct {
	all   *services
	extra limit.Ratio
	// idle holds what work took at idle targets at their usual pace.
	idle limit.Latency
}

func (s *services) current() float64 { return math.Float64frombits(s.share.Load()) }

func (s *services) get(name model.ServiceName) *service {
	if known, ok := s.byName.Load(name); ok {
		return known.(*service)
	}
	fresh := &service{all: s, extra: limit.Ratio{Burst: s.burst}}
	fresh.extra.Exhaust()
	known, _ := s.byName.LoadOrStore(name, fresh)
	return known.(*service)
}

// received counts a request, which earns a part of an extra arrival.
func (s *service) received() { s.extra.Earn(s.all.current()) }

// spend reports whether the budget allows one more arrival.
func (s *service) spend() bool { return s.extra.Spend(s.all.current()) }

const (
	// typicalShare is the expected work as a share of the objective until it was
	// measured.
	typicalShare = 0.4
	// usualPaceBelow bounds the pace, in percent, at which work is measured.
	usualPaceBelow = 115
)

// expected returns what work is expected to take at an idle target. The median
// leaves out requests that targets answer at once.
func (s *service) expected(objective time.Duration) time.Duration {
	if known, ok := s.idle.Quantile(0.5); ok {
		return known
	}
	return time.Duration(typicalShare * float64(objective))
}

// learn measures work that ran at an idle target at its usual pace.
func (s *service) learn(c routing.Candidate, took time.Duration) {
	if c.Err == nil && c.Report.Running+c.Report.Waiting == 0 && c.Report.Pace <= usualPaceBelow {
		s.idle.Observe(took)
	}
}
