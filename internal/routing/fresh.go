package routing

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

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
	// maxAskedNear is the number of targets of the region that a pick asks, always
	// the same ones, so that connections to them stay in use. maxAskedRest and
	// maxAskedFar are those of the rest of the region and of other regions, which are
	// asked if none of the first answers in time.
	maxAskedNear = 8
	maxAskedRest = 6
	maxAskedFar  = 4
	// minAsked is what a request asks when the budget of probes is spent.
	minAsked = 2
	// inTimeShare is the share of the time left within which an answer has to be
	// expected to count as in time.
	inTimeShare = 0.9
	// sharedFor is how long the answers of a round of probes serve further picks:
	// loads shift within milliseconds, own exchanges begun since are counted in.
	sharedFor = 4 * time.Millisecond
	// farPause is how long no other region is asked after one had nothing better:
	// its probes are paid by volume.
	farPause = 300 * time.Millisecond
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
	// Repeated is set if the request has asked before. Probes for it are made only
	// from what the budget has to spare.
	Repeated bool
}

// ProbesSpentError reports that the budget has no probes for a repeated request.
type ProbesSpentError struct{ Service model.ServiceName }

func (e *ProbesSpentError) Error() string {
	return "no probes left to ask the targets of " + string(e.Service) + " again"
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
// request arrives. Requests that arrive together share the figures. It is safe for
// concurrent use.
type FreshPicker struct {
	table  *Table
	prober LoadProber
	now    Clock
	// budget bounds the probes of this instance.
	budget *rate.Limiter

	mu sync.Mutex
	// rounds holds the latest round of probes in the region for each service.
	rounds map[model.ServiceName]*round
	// farUseless is until when other regions are not asked.
	farUseless map[model.ServiceName]time.Duration
}

// NewFreshPicker returns a picker over a table. The budget bounds its probes, but
// for two of each request.
func NewFreshPicker(t *Table, prober LoadProber, now Clock, budget *rate.Limiter) *FreshPicker {
	return &FreshPicker{
		budget:     budget,
		table:      t,
		prober:     prober,
		now:        now,
		rounds:     make(map[model.ServiceName]*round),
		farUseless: make(map[model.ServiceName]time.Duration),
	}
}

// Pick returns the candidates that it weighed, best first. It returns
// *UnknownServiceError or *NoTargetError if there is none.
func (p *FreshPicker) Pick(ctx context.Context, req FreshRequest) ([]Candidate, error) {
	pool := p.table.Snapshot().Pool(req.Service)
	if pool == nil {
		return nil, &UnknownServiceError{Service: req.Service}
	}
	r, err := p.join(ctx, req, pool)
	if err != nil {
		return nil, err
	}
	candidates := p.weighAll(r.answers, req, r.sentAt)
	for _, more := range p.further(pool) {
		if slices.ContainsFunc(candidates, func(c Candidate) bool { return c.InTime(req.Work) }) {
			break
		}
		candidates = append(candidates, more(ctx, req)...)
	}
	if len(candidates) == 0 {
		return nil, &NoTargetError{Service: req.Service}
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Estimate.Cost, b.Estimate.Cost) })
	return candidates, nil
}

// further returns the ways to find more candidates, the cheapest first.
func (p *FreshPicker) further(pool *Pool) []func(context.Context, FreshRequest) []Candidate {
	_, rest, far := usable(pool)
	return []func(context.Context, FreshRequest) []Candidate{
		func(ctx context.Context, req FreshRequest) []Candidate {
			return p.askSome(ctx, req, rest, maxAskedRest, askNear)
		},
		func(ctx context.Context, req FreshRequest) []Candidate { return p.askFar(ctx, req, far) },
	}
}

// askSome asks the first targets of a list.
func (p *FreshPicker) askSome(ctx context.Context, req FreshRequest, list []*Endpoint, n int, wait time.Duration) []Candidate {
	list = slices.DeleteFunc(list, func(e *Endpoint) bool { return slices.Contains(req.Exclude, e.Target.ID) })
	n = min(n, len(list))
	if n == 0 || !p.budget.AllowN(time.Now(), n) {
		return nil
	}
	sentAt := p.now()
	return p.weighAll(p.ask(ctx, req.HealthPath, list[:n], wait), req, sentAt)
}

// askFar asks targets of other regions. If none is better than late, they are left
// alone for a while.
func (p *FreshPicker) askFar(ctx context.Context, req FreshRequest, far []*Endpoint) []Candidate {
	p.mu.Lock()
	useless := p.now() < p.farUseless[req.Service]
	p.mu.Unlock()
	if useless {
		return nil
	}
	candidates := p.askSome(ctx, req, far, maxAskedFar, askFar)
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.InTime(req.Work) }) {
		p.mu.Lock()
		p.farUseless[req.Service] = p.now() + farPause
		p.mu.Unlock()
	}
	return candidates
}

// weighAll weighs the answers of a round for one request.
func (p *FreshPicker) weighAll(answers []answer, req FreshRequest, sentAt time.Duration) []Candidate {
	out := make([]Candidate, 0, len(answers))
	for _, a := range answers {
		if !slices.Contains(req.Exclude, a.endpoint.Target.ID) {
			out = append(out, p.weigh(a, req.Work, sentAt))
		}
	}
	return out
}

// InTime reports whether a candidate is expected to answer before the answer loses
// most of its worth.
func (c *Candidate) InTime(w Work) bool {
	return c.Err == nil && c.Estimate.Free && c.Estimate.Duration <= scale(w.Left, inTimeShare)
}

func (silenceError) Error() string { return "no answer to the probe in time" }

func (p *FreshPicker) weigh(a answer, w Work, sentAt time.Duration) Candidate {
	c := Candidate{Endpoint: a.endpoint, Report: a.report, Err: a.err}
	c.Risk = a.endpoint.Load.Reliability.Risk(p.now())
	if a.err != nil {
		c.Estimate = Estimate{Duration: w.Typical, Cost: w.Typical + silenceToll}
		return c
	}
	joined := a.endpoint.Load.BegunSince(sentAt)
	c.Estimate = estimate(a.endpoint, a.report, w, joined, c.Risk, time.Now())
	return c
}
