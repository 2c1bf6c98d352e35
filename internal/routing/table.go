package routing

import (
	"sync"
	"sync/atomic"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Pool holds the endpoints of one service. It is immutable.
type Pool struct {
	Endpoints []*Endpoint
}

// Snapshot maps services to pools. It is immutable.
type Snapshot struct {
	pools map[model.ServiceName]*Pool
}

// Pool returns the pool of a service, or nil.
func (s *Snapshot) Pool(service model.ServiceName) *Pool { return s.pools[service] }

// Table publishes snapshots by atomic swap. Readers never wait; writers take
// turns. Loads are kept by target ID over snapshots.
type Table struct {
	self    model.Location
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex
	loads     map[model.TargetID]*Load
	targets   map[model.ServiceName][]model.Target
	standings map[model.TargetID]Standing
}

// NewTable returns an empty table of an instance at the given location.
func NewTable(self model.Location) *Table {
	t := &Table{
		self:      self,
		loads:     make(map[model.TargetID]*Load),
		targets:   make(map[model.ServiceName][]model.Target),
		standings: make(map[model.TargetID]Standing),
	}
	t.current.Store(&Snapshot{})
	return t
}

// Snapshot returns the current snapshot.
func (t *Table) Snapshot() *Snapshot { return t.current.Load() }

// SetTargets replaces the targets of one service.
func (t *Table) SetTargets(service model.ServiceName, list []model.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(list) == 0 {
		delete(t.targets, service)
	} else {
		t.targets[service] = list
	}
	t.publish(service)
}

// SetStanding changes what is believed of one target.
func (t *Table) SetStanding(service model.ServiceName, id model.TargetID, s Standing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.standings[id] == s {
		return
	}
	t.standings[id] = s
	t.publish(service)
}

// publish swaps in a snapshot whose pool of one service is rebuilt; the other
// pools are shared with the old snapshot. The caller holds t.mu.
func (t *Table) publish(service model.ServiceName) {
	old := t.current.Load()
	pools := make(map[model.ServiceName]*Pool, len(old.pools)+1)
	for name, pool := range old.pools {
		pools[name] = pool
	}
	delete(pools, service)
	if list := t.targets[service]; len(list) > 0 {
		pools[service] = t.build(list)
	}
	t.current.Store(&Snapshot{pools: pools})
}

func (t *Table) build(list []model.Target) *Pool {
	pool := &Pool{Endpoints: make([]*Endpoint, 0, len(list))}
	for _, target := range list {
		pool.Endpoints = append(pool.Endpoints, t.endpoint(target))
	}
	return pool
}

func (t *Table) endpoint(target model.Target) *Endpoint {
	load := t.loads[target.ID]
	if load == nil {
		load = new(Load)
		t.loads[target.ID] = load
	}
	standing := t.standings[target.ID]
	if target.Leaving {
		standing = Draining
	}
	return &Endpoint{
		Target:   target,
		Distance: t.self.DistanceTo(target.Location),
		Standing: standing,
		Load:     load,
	}
}
