package health

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// tickInterval is the time between two looks at every target.
	tickInterval = 250 * time.Millisecond
	// minHold and maxHold bound the length of an ejection, which doubles each time.
	minHold = 5 * time.Second
	maxHold = time.Minute
	// holdMemory is how long a target has to be proven until its next ejection is
	// as short as the first.
	holdMemory = 5 * time.Minute
	// provingAnswers and provingProbes are the successes that prove a target.
	provingAnswers = 5
	provingProbes  = 3
	// drainMemory is how long a drain is believed in that only probes have shown.
	drainMemory = 30 * time.Second
	// saidDrainMemory is how long a drain is believed in that an answer announced.
	saidDrainMemory = 10 * time.Minute
	// pendingLength is the number of targets that may wait to be looked at; more
	// wait for the next tick.
	pendingLength = 256
)

// Options are the collaborators of a Table.
type Options struct {
	Self      model.InstanceID
	Routing   *routing.Table
	Board     fleet.FactStore
	Measuring *limit.Measuring
	Recorder  events.Recorder
	Now       func() time.Time
}

// Table keeps the standing of every target and drives the routing table with it.
// Observe only touches atomics; standings change in Run.
type Table struct {
	Options
	records atomic.Pointer[map[model.TargetID]*record]
	pending chan *record

	mu sync.Mutex
}

var _ Observer = (*Table)(nil)

// NewTable returns a Table that listens to the board.
func NewTable(o Options) *Table {
	t := &Table{Options: o, pending: make(chan *record, pendingLength)}
	t.records.Store(&map[model.TargetID]*record{})
	o.Board.Subscribe(fleet.FactTargetHealth, t.hear)
	o.Board.Subscribe(fleet.FactTargetDrain, t.hear)
	return t
}

// Observe implements Observer. Outcomes of targets that no Tick has seen yet are
// not kept.
func (t *Table) Observe(o Observation) {
	r := (*t.records.Load())[o.Endpoint.Target.ID]
	if r == nil {
		return
	}
	now := t.Now()
	if o.Draining {
		r.drainAt.Store(now.UnixNano())
		r.drainSaid.Store(true)
	}
	if r.note(o.Outcome, now) || o.Draining {
		t.queue(r)
	}
}

// hear has the target of a fact looked at. It runs under the board's lock.
func (t *Table) hear(f fleet.Fact) {
	if r := (*t.records.Load())[model.TargetID(f.Key)]; r != nil && f.Origin != t.Self {
		t.queue(r)
	}
}

// queue has a record looked at soon.
func (t *Table) queue(r *record) {
	select {
	case t.pending <- r:
	default:
	}
}

// Run looks at targets until ctx ends.
func (t *Table) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.pending:
			t.settleOne(r)
		case <-ticker.C:
			t.Tick()
		}
	}
}

// Settle looks at the targets that changed since the last call.
func (t *Table) Settle() {
	for {
		select {
		case r := <-t.pending:
			t.settleOne(r)
		default:
			return
		}
	}
}

func (t *Table) settleOne(r *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(r)
}

// Tick looks at every target and forgets those that are no longer listed.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.relist() {
		t.settle(r)
	}
}

// relist brings the records in step with the listed targets and returns them.
func (t *Table) relist() []*record {
	known := *t.records.Load()
	listed := make(map[model.TargetID]*record, len(known))
	order := make([]*record, 0, len(known))
	t.Routing.Snapshot().Each(func(_ model.ServiceName, pool *routing.Pool) {
		for _, e := range pool.Endpoints {
			r := known[e.Target.ID]
			if r == nil {
				r = t.newRecord(e)
			}
			listed[e.Target.ID] = r
			order = append(order, r)
		}
	})
	t.records.Store(&listed)
	return order
}

// newRecord returns a record that starts from the standing in the routing table.
func (t *Table) newRecord(e *routing.Endpoint) *record {
	r := &record{service: e.Target.Service, id: e.Target.ID, since: t.Now(), checkAt: t.Now().Add(quietTime)}
	if e.Standing == routing.Unproven {
		r.standing = routing.Unproven
		r.checkAt = time.Time{}
	}
	return r
}
