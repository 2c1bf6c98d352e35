package routing

import (
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
	table *Table
	now   Clock
}

// NewCostPicker returns a picker over a table.
func NewCostPicker(t *Table, now Clock) *CostPicker { return &CostPicker{table: t, now: now} }

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
	saturated := false
	for _, t := range order {
		if saturated && !spills(t, req.Waited) {
			continue
		}
		best, full := cheapest(pool.homes[t], &req, now)
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
func cheapest(list []*Endpoint, req *Request, now time.Duration) (best *Endpoint, full bool) {
	lowest := float32(0)
	for _, e := range list {
		if slices.Contains(req.Exclude, e.Target.ID) {
			continue
		}
		own := e.Load.inFlight.Load()
		if own >= e.slots || own >= e.share && e.keepsShare(req, now) {
			full = true
			continue
		}
		cost := e.cost(own)
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best, full
}

// keepsShare reports whether the instance's share bounds its exchanges. It does
// not for a second attempt, after news of spare slots, and when there was no
// news for long: belief must not hold requests back for good.
func (e *Endpoint) keepsShare(req *Request, now time.Duration) bool {
	return len(req.Exclude) == 0 &&
		!e.Load.HasSpare(int(e.slots), now) &&
		e.Load.Silence(now) < staleAfter
}

func (e *Endpoint) cost(own int32) float32 {
	cost := float32(own) / float32(e.slots)
	if e.Standing == Unproven {
		cost += unprovenCost
	}
	return cost
}
