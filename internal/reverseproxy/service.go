package reverseproxy

import (
	"maps"
	"sync"
	"sync/atomic"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
)

// serviceState is the state that an instance keeps for one service across
// requests.
type serviceState struct {
	latency           limit.LatencyWindow
	retryBudget       limit.RatioBudget
	hedgeBudget       limit.RatioBudget
	crossRegionBudget limit.TransferLimiter
	queue             *limit.Queue
	metrics           *serviceMetrics
}

// serviceStates maps service names to their state. The map is copied on write, so
// that readers need no lock.
type serviceStates struct {
	current atomic.Pointer[map[model.ServiceName]*serviceState]
	mu      sync.Mutex
}

func newServiceStates() *serviceStates {
	s := new(serviceStates)
	s.current.Store(&map[model.ServiceName]*serviceState{})
	return s
}

// get returns the state of a configured service, which it creates on first use.
func (s *serviceStates) get(p *model.Policy) *serviceState {
	if svc := (*s.current.Load())[p.Service]; svc != nil {
		return svc
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.current.Load()
	if svc := old[p.Service]; svc != nil {
		return svc
	}
	svc := &serviceState{queue: limit.NewQueue(), hedgeBudget: limit.RatioBudget{Burst: hedgeBurst}}
	svc.metrics = newServiceMetrics(p, svc)
	next := maps.Clone(old)
	next[p.Service] = svc
	s.current.Store(&next)
	return svc
}
