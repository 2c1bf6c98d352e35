package routing

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/contain"
	"redwingpoint.org/redwingpoint/internal/model"
)

// probeRound is one round of probes to the targets of a service. The results are
// immutable once done is closed.
type probeRound struct {
	sentAt time.Duration
	pool   *Pool
	done   chan struct{}
	// endedAt is set before done is closed.
	endedAt time.Duration
	results []probeResult
}

// probeResult is the result of one probe.
type probeResult struct {
	endpoint *Endpoint
	report   LoadReport
	err      error
}

// joinRound returns a round of probes of the preferred targets that is running or recent
// enough, or runs a new one. It returns *ProbeBudgetError if a repeated request would
// need a new round that the budget doesn't allow.
func (p *ProbingPicker) joinRound(ctx context.Context, req ProbingRequest, pool *Pool) (*probeRound, error) {
	p.mu.Lock()
	key := p.roundKey(req)
	r := p.rounds[key]
	if r != nil && r.pool == pool && r.reusable(p.now()) {
		p.mu.Unlock()
		<-r.done
		return r, nil
	}
	preferred, _, _ := p.splitByPreference(pool, req.Homes, req.Cold)
	if p.InStages {
		preferred = sample(preferred, firstStageProbes)
	}
	if req.Repeated && !p.budget.AllowN(time.Now(), len(preferred)) {
		p.mu.Unlock()
		return nil, &ProbeBudgetError{Service: req.Service}
	}
	r = &probeRound{sentAt: p.now(), pool: pool, done: make(chan struct{})}
	p.rounds[key] = r
	p.mu.Unlock()
	if !req.Repeated {
		preferred = p.limitToBudget(preferred)
	}
	r.results = p.probeAll(ctx, req.HealthPath, preferred, p.preferredWait(req.Homes))
	r.endedAt = p.now()
	close(r.done)
	return r, nil
}

// limitToBudget returns as many random targets as the budget has probes for, but at
// least minProbes. If the budget is short of those, later probes pay for them.
func (p *ProbingPicker) limitToBudget(list []*Endpoint) []*Endpoint {
	n := min(max(int(p.budget.Tokens()), minProbes), len(list))
	p.budget.ReserveN(time.Now(), n)
	return sample(list, n)
}

// reusable reports whether the round is still running or ended no longer than
// roundReuseTime ago.
func (r *probeRound) reusable(now time.Duration) bool {
	select {
	case <-r.done:
		return now-r.endedAt <= roundReuseTime
	default:
		return true
	}
}

// splitByPreference splits the endpoints in the homes that may receive requests without a
// permit at a reading of a Clock: the preferred ones of the region, which are the first in
// the instance's stable order, the other ones of the region, and those of other regions. For
// requests that aren't at home in the region, the homes take its place.
func (p *ProbingPicker) splitByPreference(pool *Pool, homes model.Homes, cold ColdLimit) (preferred, otherLocal, remote []*Endpoint) {
	now, atHome := p.now(), p.isHome(homes)
	for _, e := range pool.Endpoints {
		switch {
		case !homes.Allows(e.Target.Location.Region) || !e.takesRequests(now) || e.Load.isLimited() || e.saidCold(cold, now):
		case e.Distance == model.OtherRegion && atHome:
			remote = append(remote, e)
		default:
			preferred = append(preferred, e)
		}
	}
	slices.SortFunc(preferred, byDistance)
	slices.SortFunc(remote, byDistance)
	if len(preferred) > maxPreferredProbes {
		preferred, otherLocal = preferred[:maxPreferredProbes], preferred[maxPreferredProbes:]
	}
	return preferred, otherLocal, remote
}

// sample returns at most n endpoints of the list, chosen at random. It may reorder the
// list.
func sample(list []*Endpoint, n int) []*Endpoint {
	if len(list) <= n {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// probeAll probes targets concurrently and returns the responses that arrive within
// wait; the others get a noResponseError. The probes continue after the request that
// started them has ended, because other requests may use the same round.
func (p *ProbingPicker) probeAll(ctx context.Context, path string, list []*Endpoint, wait time.Duration) []probeResult {
	results := make(chan probeResult, len(list))
	ctx = context.WithoutCancel(ctx)
	for _, e := range list {
		go func() {
			defer contain.Panic("probe", string(e.Target.ID), nil)
			results <- p.probe(ctx, e, path)
		}()
	}
	received := make([]probeResult, 0, len(list))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range list {
		select {
		case r := <-results:
			received = append(received, r)
			continue
		case <-timer.C:
		}
		break
	}
	return addMissing(list, received)
}

func (p *ProbingPicker) probe(ctx context.Context, e *Endpoint, path string) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.prober.Probe(ctx, e, path)
	return probeResult{endpoint: e, report: report, err: err}
}

// noResponseError reports a target that did not respond to a probe in time.
type noResponseError struct{}

// addMissing appends a noResponseError for every endpoint of the list without a result.
func addMissing(list []*Endpoint, received []probeResult) []probeResult {
	for _, e := range list {
		if !slices.ContainsFunc(received, func(r probeResult) bool { return r.endpoint == e }) {
			received = append(received, probeResult{endpoint: e, err: noResponseError{}})
		}
	}
	return received
}
