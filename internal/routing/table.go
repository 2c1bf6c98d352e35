package routing

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Snapshot maps services to pools. It is immutable.
type Snapshot struct {
	pools map[model.ServiceName]*Pool
}

// Pool returns the pool of a service, or nil.
func (s *Snapshot) Pool(service model.ServiceName) *Pool { return s.pools[service] }

// Each calls f for every service.
func (s *Snapshot) Each(f func(model.ServiceName, *Pool)) {
	for name, pool := range s.pools {
		f(name, pool)
	}
}

// Table publishes snapshots by atomic swap. Readers never wait; writers take
// turns. Loads and standings are kept by target ID over snapshots, for as long as
// the target is listed.
type Table struct {
	id      model.InstanceID
	self    model.Location
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	place   Place
	targets map[model.ServiceName][]model.Target
	states  map[model.TargetID]*state
}

// state is what outlives the snapshots of one target.
type state struct {
	load     *Load
	standing Standing
	rank     uint64
}

// NewTable returns an empty table of an instance at the given location.
func NewTable(self model.Location) *Table { return NewInstanceTable("", self) }

// NewInstanceTable is NewTable for a named instance; instances with different
// names prefer different targets.
func NewInstanceTable(id model.InstanceID, self model.Location) *Table {
	t := &Table{
		id:      id,
		self:    self,
		targets: make(map[model.ServiceName][]model.Target),
		states:  make(map[model.TargetID]*state),
	}
	t.current.Store(&Snapshot{})
	return t
}

// Snapshot returns the current snapshot.
func (t *Table) Snapshot() *Snapshot { return t.current.Load() }

// SetTargets replaces the targets of one service. A target that joins a service
// which is known already starts as Unproven; a service's first list is taken as Proven.
func (t *Table) SetTargets(service model.ServiceName, list []model.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(service, list)
	t.welcome(service, list)
	if len(list) == 0 {
		delete(t.targets, service)
	} else {
		t.targets[service] = list
	}
	t.publish(service)
}

// forget drops the states of targets that a new list no longer has.
func (t *Table) forget(service model.ServiceName, list []model.Target) {
	kept := make(map[model.TargetID]bool, len(list))
	for i := range list {
		kept[list[i].ID] = true
	}
	for _, old := range t.targets[service] {
		if !kept[old.ID] {
			delete(t.states, old.ID)
		}
	}
}

func (t *Table) welcome(service model.ServiceName, list []model.Target) {
	if len(t.targets[service]) == 0 {
		return
	}
	for i := range list {
		if t.states[list[i].ID] == nil {
			t.state(list[i].ID).standing = Unproven
		}
	}
}

// SetStanding changes what is believed of one target.
func (t *Table) SetStanding(service model.ServiceName, id model.TargetID, s Standing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	if state.standing == s {
		return
	}
	state.standing = s
	t.publish(service)
}

// SetPlace tells where this instance stands among those that share its targets.
// It bounds the number of connections per target and spreads the load.
func (t *Table) SetPlace(at Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.place == at {
		return
	}
	t.place = at
	pools := make(map[model.ServiceName]*Pool, len(t.targets))
	for service, list := range t.targets {
		pools[service] = t.build(list)
	}
	t.current.Store(&Snapshot{pools: pools})
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
	endpoints := make([]*Endpoint, 0, len(list))
	sharers := t.sharers(list)
	for _, target := range list {
		endpoints = append(endpoints, t.endpoint(target, sharers))
	}
	return newPool(endpoints, t.place)
}

// sharers estimates how many instances of this region use one target of a list.
func (t *Table) sharers(list []model.Target) int {
	own := 0
	for i := range list {
		if list[i].Location.Region == t.self.Region {
			own++
		}
	}
	if own <= maxHomes {
		return t.place.Instances
	}
	return max(1, t.place.Instances*maxHomes/own)
}

func (t *Table) endpoint(target model.Target, sharers int) *Endpoint {
	state := t.state(target.ID)
	standing := state.standing
	if target.Leaving {
		standing = Draining
	}
	e := &Endpoint{
		Target:   target,
		Distance: t.self.DistanceTo(target.Location),
		Standing: standing,
		Load:     state.load,
		rank:     state.rank,
		share:    int32(shareOf(target.Slots, sharers)),
		slots:    int32(target.Slots),
	}
	if target.Slots <= 0 {
		e.slots = unlimited
	}
	if standing == Unproven {
		e.share, e.slots = unprovenSlots, unprovenSlots
	}
	return e
}

func (t *Table) state(id model.TargetID) *state {
	s := t.states[id]
	if s == nil {
		s = &state{load: new(Load), rank: xxhash.Sum64String(string(t.id) + "\x00" + string(id))}
		t.states[id] = s
	}
	return s
}
