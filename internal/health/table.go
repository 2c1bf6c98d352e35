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
	// tickInterval is the time between two evaluations of all targets.
	tickInterval = 250 * time.Millisecond
	// minEjectionTime is the length of a first ejection; each consecutive one is twice
	// as long as the one before.
	minEjectionTime = 5 * time.Second
	// maxEjectionTime is the longest ejection.
	maxEjectionTime = time.Minute
	// ejectionMemory is how long a target has to be proven before its next ejection
	// counts as a first one.
	ejectionMemory = 5 * time.Minute
	// provingResponses is the number of responses without a failure in between that proves
	// a target.
	provingResponses = 5
	// provingProbes is the number of consecutive successful probes that proves a
	// target.
	provingProbes = 3
	// probedDrainTTL is how long a drain that only probes have shown is assumed to
	// continue after the last of them.
	probedDrainTTL = 30 * time.Second
	// announcedDrainTTL is how long a drain that a response announced is assumed to
	// continue.
	announcedDrainTTL = 10 * time.Minute
	// pendingLength is the capacity of the queue of targets to evaluate. Targets that
	// don't fit are evaluated at the next tick.
	pendingLength = 256
)

// Options are the dependencies of a Table.
type Options struct {
	Self          model.InstanceID
	Routing       *routing.Table
	Facts         fleet.FactStore
	ControlBudget *limit.ControlBudget
	Recorder      events.Recorder
	Now           func() time.Time
}

// Table keeps the state of every target and applies it to the routing table. Observe
// only updates atomic fields; states change in Run, EvaluatePending, Tick and ObserveProbe. All
// methods are safe for concurrent use.
type Table struct {
	Options
	// records is replaced as a whole when the listed targets change.
	records atomic.Pointer[map[model.TargetID]*record]
	pending chan *record

	// mu serializes evaluations.
	mu sync.Mutex
}

var _ Observer = (*Table)(nil)

// NewTable returns a Table that is subscribed to the target facts of o.Facts.
func NewTable(o Options) *Table {
	t := &Table{Options: o, pending: make(chan *record, pendingLength)}
	t.records.Store(&map[model.TargetID]*record{})
	o.Facts.Subscribe(fleet.FactTargetHealth, t.onFact)
	o.Facts.Subscribe(fleet.FactTargetDrain, t.onFact)
	return t
}

// Observe implements Observer. Observations of targets that no Tick has seen yet are
// dropped.
func (t *Table) Observe(o Observation) {
	r := (*t.records.Load())[o.Endpoint.Target.ID]
	if r == nil {
		return
	}
	now := t.Now()
	if o.Draining {
		r.drainAt.Store(now.UnixNano())
		r.drainAnnounced.Store(true)
	}
	if r.addOutcome(o.Outcome, now) || o.Draining {
		t.enqueue(r)
	}
}

// onFact queues the target of a peer's fact for evaluation. As a subscriber it must
// not block.
func (t *Table) onFact(f fleet.Fact) {
	if r := (*t.records.Load())[model.TargetID(f.Key)]; r != nil && f.Origin != t.Self {
		t.enqueue(r)
	}
}

// enqueue queues a record for evaluation, unless the queue is full.
func (t *Table) enqueue(r *record) {
	select {
	case t.pending <- r:
	default:
	}
}

// Run evaluates targets until ctx is cancelled: queued ones at once, all of them at
// every tick.
func (t *Table) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.pending:
			t.evaluateOne(r)
		case <-ticker.C:
			t.Tick()
		}
	}
}

// EvaluatePending evaluates the queued targets without waiting for Run.
func (t *Table) EvaluatePending() {
	for {
		select {
		case r := <-t.pending:
			t.evaluateOne(r)
		default:
			return
		}
	}
}

func (t *Table) evaluateOne(r *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(r)
}

// Tick evaluates every target and drops the records of targets that are no longer
// listed.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.syncRecords() {
		t.evaluate(r)
	}
}

// syncRecords matches the records to the targets of the routing table and returns
// them. The caller must hold t.mu.
func (t *Table) syncRecords() []*record {
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

// newRecord returns a record for an endpoint. A target that is unproven in the routing
// table is due for a probe at once.
func (t *Table) newRecord(e *routing.Endpoint) *record {
	r := &record{service: e.Target.Service, id: e.Target.ID, stateSince: t.Now(), nextCheck: t.Now().Add(idleThreshold)}
	if e.State == routing.Unproven {
		r.state = routing.Unproven
		r.nextCheck = time.Time{}
	}
	return r
}
