package routing

import (
	"math/rand/v2"
	"slices"
)

// LeastInFlight picks, among the nearest targets, the one with the fewest exchanges of
// this instance in flight. Ties are broken at random. It is safe for concurrent use.
type LeastInFlight struct{ table *Table }

// NewLeastInFlight returns a picker that uses the snapshots of a table.
func NewLeastInFlight(t *Table) *LeastInFlight { return &LeastInFlight{table: t} }

// Pick implements Picker. It ignores Request.Waited and the class, and never returns
// *SaturatedError.
func (p *LeastInFlight) Pick(req Request) (*Endpoint, error) {
	pool := p.table.Snapshot().Pool(req.Service)
	if pool == nil {
		return nil, &UnknownServiceError{Service: req.Service}
	}
	var best *Endpoint
	ties := 0
	for _, e := range pool.Endpoints {
		if e.State == Draining || slices.Contains(req.Exclude, e.Target.ID) {
			continue
		}
		switch order := compareLoad(e, best); {
		case order < 0:
			best, ties = e, 1
		case order == 0:
			ties++
			if rand.IntN(ties) == 0 {
				best = e
			}
		}
	}
	if best == nil {
		return nil, &NoTargetError{Service: req.Service}
	}
	return best, nil
}

// compareLoad orders by distance, then by own exchanges in flight. A nil b is always
// worse.
func compareLoad(a, b *Endpoint) int {
	switch {
	case b == nil:
		return -1
	case a.Distance != b.Distance:
		return int(a.Distance) - int(b.Distance)
	default:
		return a.Load.InFlight() - b.Load.InFlight()
	}
}
