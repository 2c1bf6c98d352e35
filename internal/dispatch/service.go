package dispatch

import (
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// Budget bounds the arrivals at targets beyond the first of each request.
type Budget struct {
	// Share is the part of a service's requests that may be sent once more.
	Share float64
	// Burst is what one instance may spend at once after a pause.
	Burst int64
}

// services finds the state of a service.
type services struct {
	budget Budget
	byName sync.Map
}

// service is what an instance remembers of one service between requests.
type service struct {
	budget Budget
	extra  limit.Ratio
	// idle holds what work took at idle targets at their usual pace.
	idle limit.Latency
}

func (s *services) get(name model.ServiceName) *service {
	if known, ok := s.byName.Load(name); ok {
		return known.(*service)
	}
	fresh := &service{budget: s.budget, extra: limit.Ratio{Burst: s.budget.Burst}}
	known, _ := s.byName.LoadOrStore(name, fresh)
	return known.(*service)
}

// received counts a request, which earns a part of an extra arrival.
func (s *service) received() { s.extra.Earn(s.budget.Share) }

// spend reports whether the budget allows one more arrival.
func (s *service) spend() bool { return s.extra.Spend(s.budget.Share) }

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
