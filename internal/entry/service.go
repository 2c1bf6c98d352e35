package entry

import (
	"maps"
	"sync"
	"sync/atomic"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
)

// service is what an instance remembers of one service between requests.
type service struct {
	latency limit.LatencyWindow
	retries limit.RatioBudget
	hedges  limit.RatioBudget
	volume  limit.TransferLimiter
	queue   *limit.Queue
	metrics *serviceMetrics
}

// services finds the state of a service by read-copy-update: readers take no lock.
type services struct {
	current atomic.Pointer[map[model.ServiceName]*service]
	mu      sync.Mutex
}

func newServices() *services {
	s := new(services)
	s.current.Store(&map[model.ServiceName]*service{})
	return s
}

// get returns the state of a configured service and creates it at first use.
func (s *services) get(p *model.Policy) *service {
	if svc := (*s.current.Load())[p.Service]; svc != nil {
		return svc
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.current.Load()
	if svc := old[p.Service]; svc != nil {
		return svc
	}
	svc := &service{queue: limit.NewQueue(), hedges: limit.RatioBudget{Burst: hedgeBurst}}
	svc.metrics = newServiceMetrics(p, svc)
	next := maps.Clone(old)
	next[p.Service] = svc
	s.current.Store(&next)
	return svc
}
