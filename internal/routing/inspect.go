package routing

import (
	"cmp"
	"context"
	"slices"
)

// Exclusion is why a target gets a request only with a permit, or not at all. Its values are
// shown to operators and don't change.
type Exclusion string

// Exclusions, in the order in which they are looked for.
const (
	OutsideHomes    Exclusion = "outside the homes"
	DomainEvacuated Exclusion = "failure domain evacuated"
	TargetLeaving   Exclusion = "leaving"
	TargetPaused    Exclusion = "paused"
	LimitStated     Exclusion = "limit stated, needs a permit"
	TargetCold      Exclusion = "cold, needs a permit"
)

// Inspection is what a pick would start from.
type Inspection struct {
	// Candidates are the evaluated targets, lowest cost first.
	Candidates []Candidate
	// Excluded are the targets that aren't asked for their load.
	Excluded map[Exclusion][]*Endpoint
	// Unasked is the number of further targets that a pick would ask only if none of the
	// candidates is in time.
	Unasked int
}

// Inspect evaluates the targets that a pick asks first. Unlike Pick it acquires no permits and
// probes only as far as the budget has probes left. Its errors are *UnknownServiceError and
// *ProbeBudgetError; with the latter, the exclusions are set.
func (p *ProbingPicker) Inspect(ctx context.Context, req ProbingRequest) (Inspection, error) {
	pool := p.table.Snapshot().Pool(req.Service)
	if pool == nil {
		return Inspection{}, &UnknownServiceError{Service: req.Service}
	}
	out := Inspection{Excluded: make(map[Exclusion][]*Endpoint)}
	usable := 0
	for _, e := range pool.Endpoints {
		if reason, excluded := p.exclusion(e, &req); excluded {
			out.Excluded[reason] = append(out.Excluded[reason], e)
		} else {
			usable++
		}
	}
	req.Repeated = true
	r, err := p.joinRound(ctx, req, pool)
	if err != nil {
		return out, err
	}
	out.Candidates = p.evaluateAll(r.results, req, r.sentAt)
	out.Unasked = max(0, usable-len(r.results))
	slices.SortStableFunc(out.Candidates, func(a, b Candidate) int { return cmp.Compare(a.Estimate.Cost, b.Estimate.Cost) })
	return out, nil
}

// exclusion returns why a target is not asked for its load, if it isn't.
func (p *ProbingPicker) exclusion(e *Endpoint, req *ProbingRequest) (reason Exclusion, excluded bool) {
	now := p.now()
	switch {
	case !req.Homes.Allows(e.Target.Location.Region):
		return OutsideHomes, true
	case e.domain.isEvacuated():
		return DomainEvacuated, true
	case e.isLeaving():
		return TargetLeaving, true
	case e.Load.pauseLeft(now) > 0:
		return TargetPaused, true
	case e.Load.isLimited():
		return LimitStated, true
	case e.saidCold(req.Cold, now):
		return TargetCold, true
	}
	return "", false
}
