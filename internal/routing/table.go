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

// Pool returns the pool of a service, or nil if the service is unknown.
func (s *Snapshot) Pool(service model.ServiceName) *Pool { return s.pools[service] }

// Each calls f for every service, in no particular order.
func (s *Snapshot) Each(f func(model.ServiceName, *Pool)) {
	for name, pool := range s.pools {
		f(name, pool)
	}
}

// Table publishes snapshots of the targets by atomic swap. Readers never block;
// writers are serialized by a mutex. The load and state of a target survive snapshot
// changes for as long as the target is listed, and if its process is listed again.
type Table struct {
	id      model.InstanceID
	self    model.Location
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex
	position Position
	targets  map[model.ServiceName][]model.Target
	entries  map[model.TargetID]*entry
	lapsed   lapsedEntries
	domains  map[model.FailureDomain]*domainState
}

// entry holds what survives snapshot changes for one target.
type entry struct {
	load           *Load
	state          TargetState
	rendezvousHash uint64
}

// NewTable returns an empty table for an unnamed instance at the given location.
func NewTable(self model.Location) *Table { return NewInstanceTable("", self) }

// NewInstanceTable returns an empty table for an instance. The ID seeds the rendezvous
// order, so that instances prefer different targets.
func NewInstanceTable(id model.InstanceID, self model.Location) *Table {
	t := &Table{
		id:      id,
		self:    self,
		targets: make(map[model.ServiceName][]model.Target),
		entries: make(map[model.TargetID]*entry),
		domains: make(map[model.FailureDomain]*domainState),
	}
	t.current.Store(&Snapshot{})
	return t
}

// Snapshot returns the current snapshot.
func (t *Table) Snapshot() *Snapshot { return t.current.Load() }

// SetTargets replaces the targets of one service. A target that joins an already known
// service starts as Unproven; the targets of a service's first list start as Proven.
func (t *Table) SetTargets(service model.ServiceName, list []model.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropUnlisted(service, list)
	t.restoreLapsed(list)
	t.markNewUnproven(service, list)
	if len(list) == 0 {
		delete(t.targets, service)
	} else {
		t.targets[service] = list
	}
	t.publish(service)
}

// dropUnlisted deletes the entries of targets whose process is missing from the new list. A
// target that was restarted under the same ID knows nothing of before.
func (t *Table) dropUnlisted(service model.ServiceName, list []model.Target) {
	kept := make(map[model.ProcessID]bool, len(list))
	for i := range list {
		kept[list[i].Process()] = true
	}
	for _, old := range t.targets[service] {
		if !kept[old.Process()] {
			t.lapsed.put(&old, t.entries[old.ID])
			delete(t.entries, old.ID)
		}
	}
}

// restoreLapsed restores the entries of processes that were listed before.
func (t *Table) restoreLapsed(list []model.Target) {
	for i := range list {
		if t.entries[list[i].ID] != nil {
			continue
		}
		if e := t.lapsed.take(&list[i]); e != nil {
			t.entries[list[i].ID] = e
		}
	}
}

// markNewUnproven creates an entry in state Unproven for each new target of a service
// that is already known.
func (t *Table) markNewUnproven(service model.ServiceName, list []model.Target) {
	if len(t.targets[service]) == 0 {
		return
	}
	for i := range list {
		if t.entries[list[i].ID] == nil {
			t.entry(list[i].ID).state = Unproven
		}
	}
}

// SetState changes the state of one target and publishes a snapshot if it differs
// from the current state.
func (t *Table) SetState(service model.ServiceName, id model.TargetID, s TargetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entry(id)
	if entry.state == s {
		return
	}
	entry.state = s
	t.publish(service)
}

// SetPosition sets this instance's position among the instances that use the same
// targets. It bounds the connections per target and spreads the load over the targets.
// All pools are rebuilt if the position differs from the current one.
func (t *Table) SetPosition(at Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.position == at {
		return
	}
	t.position = at
	pools := make(map[model.ServiceName]*Pool, len(t.targets))
	for service, list := range t.targets {
		pools[service] = t.build(list)
	}
	t.current.Store(&Snapshot{pools: pools})
}

// publish swaps in a snapshot in which the pool of one service is rebuilt; the other
// pools are shared with the old snapshot. The caller must hold t.mu.
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
	instancesPerTarget := t.instancesPerTarget(list)
	for _, target := range list {
		endpoints = append(endpoints, t.endpoint(target, instancesPerTarget))
	}
	return newPool(endpoints, t.position)
}

// instancesPerTarget estimates how many instances of this region use each target of a
// list.
func (t *Table) instancesPerTarget(list []model.Target) int {
	local := 0
	for i := range list {
		if list[i].Location.Region == t.self.Region {
			local++
		}
	}
	if local <= maxSubsetSize {
		return t.position.Instances
	}
	return max(1, t.position.Instances*maxSubsetSize/local)
}

func (t *Table) endpoint(target model.Target, instancesPerTarget int) *Endpoint {
	entry := t.entry(target.ID)
	state := entry.state
	if target.Leaving {
		state = Draining
	}
	e := &Endpoint{
		Target:         target,
		Distance:       t.self.DistanceTo(target.Location),
		State:          state,
		Load:           entry.load,
		domain:         t.domain(target.Location.FailureDomain),
		rendezvousHash: entry.rendezvousHash,
		slotShare:      int32(slotShareOf(target.Slots, instancesPerTarget)),
		maxInFlight:    int32(target.Slots),
	}
	if target.Slots <= 0 {
		e.maxInFlight = unlimited
	}
	if state == Unproven {
		e.slotShare, e.maxInFlight = unprovenMaxInFlight, unprovenMaxInFlight
	}
	return e
}

// entry returns the entry of a target, creating it if needed.
func (t *Table) entry(id model.TargetID) *entry {
	e := t.entries[id]
	if e == nil {
		e = &entry{load: new(Load), rendezvousHash: xxhash.Sum64String(string(t.id) + "\x00" + string(id))}
		t.entries[id] = e
	}
	return e
}
