package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// AskAgain is the longest time after which a caller that got *SaturatedError
	// asks again.
	AskAgain = 2 * time.Millisecond
	// crossAfter is how long a request waits for its own region before it may
	// cross to another one.
	crossAfter = 50 * time.Millisecond
	// holdLimit is how long the instance's share of slots may hold a request.
	holdLimit = 20 * time.Millisecond
	// staleAfter is the silence of a target after which the own share no longer
	// bounds the exchanges there.
	staleAfter = 100 * time.Millisecond
	// unprovenSlots bounds the own exchanges at a target that is not yet proven.
	unprovenSlots = 1
	// unprovenCost is the cost of a target that is not yet proven, in own
	// exchanges per slot.
	unprovenCost = 0.25
)

// CostPicker picks the target with the fewest own exchanges per slot; among
// equals the nearest, then the first in the instance's own stable order. A target
// is full when the own exchanges have reached the instance's share of its slots,
// unless the target has just said that it has slots to spare. The picker holds
// nothing but the table and is safe for concurrent use.
type CostPicker struct {
	table  *Table
	now    Clock
	random func() float32
}

// NewCostPicker returns a picker over a table.
func NewCostPicker(t *Table, now Clock) *CostPicker {
	return NewSeededCostPicker(t, now, rand.Float32)
}

// NewSeededCostPicker is NewCostPicker with a source of random numbers in [0, 1).
func NewSeededCostPicker(t *Table, now Clock, random func() float32) *CostPicker {
	return &CostPicker{table: t, now: now, random: random}
}

// Pick implements Picker. It takes no lock and does not allocate unless it fails.
func (p *CostPicker) Pick(req Request) (*Endpoint, error) {
	pool := p.table.Snapshot().Pool(req.Service)
	if pool == nil {
		return nil, &UnknownServiceError{Service: req.Service}
	}
	order := onceOrder
	if req.Class == model.Idempotent {
		order = repeatableOrder
	}
	now := p.now()
	u := p.random()
	saturated := false
	for _, t := range order {
		if saturated && !spills(t, req.Waited) {
			continue
		}
		best, full := cheapest(&pool.homes[t], &req, now, u)
		if best != nil {
			return best, nil
		}
		saturated = saturated || full
	}
	if saturated {
		return nil, &SaturatedError{Service: req.Service}
	}
	return nil, &NoTargetError{Service: req.Service}
}

// spills reports whether a tier may serve a request although a better one is
// merely full: another region's may after a wait, other tiers never.
func spills(t tier, waited time.Duration) bool {
	return (t == remoteProven || t == remoteUsable) && waited >= crossAfter
}

// cheapest returns the endpoint with the lowest cost that is not full. Full is
// set when a usable endpoint was.
func cheapest(h *homes, req *Request, now time.Duration, u float32) (best *Endpoint, full bool) {
	s := search{exclude: req.Exclude, bound: len(req.Exclude) == 0 && req.Waited < holdLimit, now: now}
	s.group(&h.near, u)
	s.group(&h.far, u)
	return s.best, s.full
}

// search is the state of one search.
type search struct {
	exclude []model.TargetID
	// bound is set if the instance's share of slots bounds the request.
	bound  bool
	now    time.Duration
	best   *Endpoint
	lowest float32
	full   bool
}

// group looks at a group once around; among equals the first one wins.
func (s *search) group(g *group, u float32) {
	if len(g.list) == 0 {
		return
	}
	start := g.start(u)
	for _, e := range g.list[start:] {
		s.look(e)
	}
	for _, e := range g.list[:start] {
		s.look(e)
	}
}

func (s *search) look(e *Endpoint) {
	if slices.Contains(s.exclude, e.Target.ID) {
		return
	}
	own := e.Load.inFlight.Load()
	if own >= e.slots || own >= e.share && s.bound && e.keepsShare(s.now) {
		s.full = true
		return
	}
	if cost := e.cost(own); s.best == nil || cost < s.lowest {
		s.best, s.lowest = e, cost
	}
}

// keepsShare reports whether the instance's share bounds the exchanges of first
// attempts. It does not after news of spare slots, and when there was no news for
// long: belief must not hold requests back for good.
func (e *Endpoint) keepsShare(now time.Duration) bool {
	return !e.Load.HasSpare(int(e.slots), now) && e.Load.Silence(now) < staleAfter
}

func (e *Endpoint) cost(own int32) float32 {
	cost := float32(own) / float32(e.slots)
	if e.Standing == Unproven {
		cost += unprovenCost
	}
	return cost
}
