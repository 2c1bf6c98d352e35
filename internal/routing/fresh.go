package routing

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// askNear and askFar are how long the answers of probes are awaited within the
	// region and beyond; the round trips are 1 ms and 24 ms.
	askNear = 8 * time.Millisecond
	askFar  = 40 * time.Millisecond
	// probeTimeout ends a probe whose answer no pick awaits any more. It is longer,
	// so that a late answer doesn't cost the connection.
	probeTimeout = 300 * time.Millisecond
	// maxAskedNear and maxAskedFar bound the targets that one pick asks.
	maxAskedNear = 8
	maxAskedFar  = 4
	// farFrom is the share of the time left from which on a target of another
	// region is asked as well.
	farFrom = 0.9
	// silenceToll ranks a target that did not answer its probe behind all that did.
	silenceToll = 2 * time.Second
)

// FreshRequest describes what a pick has to satisfy.
type FreshRequest struct {
	Service    model.ServiceName
	HealthPath string
	Work       Work
	// Exclude lists targets that this request has tried already.
	Exclude []model.TargetID
}

// Candidate is one target that a pick weighed.
type Candidate struct {
	Endpoint *Endpoint
	Report   LoadReport
	// Err is why the target told no load, or nil.
	Err error
	// Risk is the expected share of failures.
	Risk     float64
	Estimate Estimate
}

// FreshPicker chooses by load figures that it fetches from the targets when a
// request arrives. It is safe for concurrent use.
type FreshPicker struct {
	table  *Table
	prober LoadProber
	now    Clock
}

// NewFreshPicker returns a picker over a table.
func NewFreshPicker(t *Table, prober LoadProber, now Clock) *FreshPicker {
	return &FreshPicker{table: t, prober: prober, now: now}
}

// Pick returns the candidates that it asked, best first. It returns
// *UnknownServiceError or *NoTargetError if there is none.
func (p *FreshPicker) Pick(ctx context.Context, req FreshRequest) ([]Candidate, error) {
	pool := p.table.Snapshot().Pool(req.Service)
	if pool == nil {
		return nil, &UnknownServiceError{Service: req.Service}
	}
	near, far := usable(pool, req.Exclude)
	candidates := p.ask(ctx, req, sample(near, maxAskedNear), askNear)
	if p.wantsFar(candidates, req.Work) {
		candidates = append(candidates, p.ask(ctx, req, sample(far, maxAskedFar), askFar)...)
	}
	if len(candidates) == 0 {
		return nil, &NoTargetError{Service: req.Service}
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return int(a.Estimate.Cost - b.Estimate.Cost) })
	return candidates, nil
}

// usable splits the endpoints that may take a request by region.
func usable(pool *Pool, exclude []model.TargetID) (near, far []*Endpoint) {
	for _, e := range pool.Endpoints {
		if e.Standing == Draining || slices.Contains(exclude, e.Target.ID) {
			continue
		}
		if e.Distance == model.OtherRegion {
			far = append(far, e)
		} else {
			near = append(near, e)
		}
	}
	return near, far
}

// sample returns at most n endpoints, drawn at random.
func sample(list []*Endpoint, n int) []*Endpoint {
	if len(list) <= n {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// wantsFar reports whether no target of the region is expected to answer in time.
func (p *FreshPicker) wantsFar(near []Candidate, w Work) bool {
	limit := scale(w.Left, farFrom)
	return !slices.ContainsFunc(near, func(c Candidate) bool {
		return c.Err == nil && c.Estimate.Cost <= limit
	})
}

// ask probes targets at the same time and waits for their answers.
func (p *FreshPicker) ask(ctx context.Context, req FreshRequest, list []*Endpoint, wait time.Duration) []Candidate {
	answers := make(chan Candidate, len(list))
	sentAt := p.now()
	for _, e := range list {
		go func() { answers <- p.probe(ctx, e, req.HealthPath) }()
	}
	heard := make([]Candidate, 0, len(list))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range list {
		select {
		case c := <-answers:
			heard = append(heard, p.weigh(c, req.Work, sentAt))
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	return append(heard, p.silent(list, heard, req.Work)...)
}

func (p *FreshPicker) probe(ctx context.Context, e *Endpoint, path string) Candidate {
	probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	report, err := p.prober.Probe(probeCtx, e, path)
	return Candidate{Endpoint: e, Report: report, Err: err}
}

func (p *FreshPicker) weigh(c Candidate, w Work, sentAt time.Duration) Candidate {
	now := p.now()
	c.Risk = c.Endpoint.Load.Reliability.Risk(now)
	if c.Err != nil {
		c.Estimate = Estimate{Duration: w.Typical, Cost: w.Typical + silenceToll}
		return c
	}
	joined := c.Endpoint.Load.BegunSince(sentAt)
	c.Estimate = estimate(c.Endpoint, c.Report, w, joined, c.Risk, time.Now())
	return c
}

// silenceError reports a target that did not answer a probe in time.
type silenceError struct{}

func (silenceError) Error() string { return "no answer to the probe in time" }

func (p *FreshPicker) silent(list []*Endpoint, heard []Candidate, w Work) []Candidate {
	var out []Candidate
	for _, e := range list {
		if !slices.ContainsFunc(heard, func(c Candidate) bool { return c.Endpoint == e }) {
			out = append(out, p.weigh(Candidate{Endpoint: e, Err: silenceError{}}, w, 0))
		}
	}
	return out
}
