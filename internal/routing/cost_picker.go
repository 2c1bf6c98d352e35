package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// SaturatedRetryInterval is the longest time to wait after *SaturatedError before
	// the next call of Pick.
	SaturatedRetryInterval = 2 * time.Millisecond
	// crossRegionDelay is how long a request waits for a slot in its own region before
	// it may use another region.
	crossRegionDelay = 50 * time.Millisecond
	// maxShareWait is how long the instance's slot share may hold back a request.
	maxShareWait = 20 * time.Millisecond
	// stallTimeout is how long a target's exchanges may go without one ending before
	// the slot share is no longer enforced there.
	stallTimeout = 100 * time.Millisecond
	// unprovenMaxInFlight is the limit of own exchanges at an unproven target.
	unprovenMaxInFlight = 1
	// unprovenPenalty is added to the cost of an unproven target, in own exchanges per
	// slot.
	unprovenPenalty = 0.25
)

// CostPicker picks the target with the fewest own exchanges per slot. Ties go to the
// nearest target, then to the first one from a random start within the instance's arc.
// A target counts as full when the own exchanges reach the instance's slot share,
// unless a recent report of the target shows free slots. CostPicker is stateless apart
// from the table and safe for concurrent use.
type CostPicker struct {
	table  *Table
	now    Clock
	random func() float32
}

// NewCostPicker returns a picker that uses the snapshots of a table and a random
// source that is safe for concurrent use.
func NewCostPicker(t *Table, now Clock) *CostPicker {
	return NewSeededCostPicker(t, now, rand.Float32)
}

// NewSeededCostPicker is NewCostPicker with a source of random numbers in [0, 1). The
// picker is safe for concurrent use only if the source is.
func NewSeededCostPicker(t *Table, now Clock, random func() float32) *CostPicker {
	return &CostPicker{table: t, now: now, random: random}
}

// Pick implements Picker. It takes no lock and does not allocate unless it fails.
func (p *CostPicker) Pick(req Request) (*Endpoint, error) {
	pool := p.table.Snapshot().Pool(req.Service)
	if pool == nil {
		return nil, &UnknownServiceError{Service: req.Service}
	}
	order := nonIdempotentOrder
	if req.Class == model.Idempotent {
		order = idempotentOrder
	}
	now := p.now()
	u := p.random()
	saturated := false
	for _, t := range order {
		if saturated && !mayOverflow(t, req.Waited) {
			continue
		}
		best, full := cheapest(&pool.subsets[t], &req, now, u)
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

// mayOverflow reports whether a tier may serve a request while a preferred tier is
// merely full. Proven and usable targets of other regions may after crossRegionDelay;
// all other tiers never may.
func mayOverflow(t tier, waited time.Duration) bool {
	return (t == remoteProven || t == remoteUsable) && waited >= crossRegionDelay
}

// cheapest returns the endpoint of a subset with the lowest cost that is not full, or
// nil. full is set if an otherwise usable endpoint was full. The argument u, a random
// number in [0, 1), selects where the search starts.
func cheapest(sub *subset, req *Request, now time.Duration, u float32) (best *Endpoint, full bool) {
	s := search{exclude: req.Exclude, enforceShare: len(req.Exclude) == 0 && req.Waited < maxShareWait, now: now}
	s.scan(&sub.sameDomain, u)
	s.scan(&sub.otherDomains, u)
	return s.best, s.full
}

// search is the state of a search through one subset.
type search struct {
	exclude []model.TargetID
	// enforceShare is set if the instance's slot share limits the request.
	enforceShare bool
	now          time.Duration
	best         *Endpoint
	lowestCost   float32
	full         bool
}

// scan visits every endpoint of a ring once. The first endpoint with the lowest cost
// wins.
func (s *search) scan(r *ring, u float32) {
	if len(r.list) == 0 {
		return
	}
	start := r.startIndex(u)
	for _, e := range r.list[start:] {
		s.consider(e)
	}
	for _, e := range r.list[:start] {
		s.consider(e)
	}
}

func (s *search) consider(e *Endpoint) {
	if slices.Contains(s.exclude, e.Target.ID) {
		return
	}
	inFlight := e.Load.inFlight.Load()
	if inFlight >= e.maxInFlight || inFlight >= e.slotShare && s.enforceShare && e.shareEnforced(s.now) {
		s.full = true
		return
	}
	if cost := e.cost(inFlight); s.best == nil || cost < s.lowestCost {
		s.best, s.lowestCost = e, cost
	}
}

// shareEnforced reports whether the instance's slot share limits first attempts at the
// endpoint. It doesn't after a recent report of free slots, nor if no exchange has
// ended for stallTimeout: outdated load data must not block requests forever.
func (e *Endpoint) shareEnforced(now time.Duration) bool {
	return !e.Load.HasFreeSlots(int(e.maxInFlight), now) && e.Load.StallTime(now) < stallTimeout
}

func (e *Endpoint) cost(inFlight int32) float32 {
	cost := float32(inFlight) / float32(e.maxInFlight)
	if e.State == Unproven {
		cost += unprovenPenalty
	}
	return cost
}
