package routing

import (
	"cmp"
	"context"
	"math/rand/v2"
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

// round is one round of probes. The answers are immutable once done is closed.
type round struct {
	sentAt time.Duration
	pool   *Pool
	done   chan struct{}
	// endedAt is set before done is closed.
	endedAt time.Duration
	answers []answer
}

// answer is what one probe gave.
type answer struct {
	endpoint *Endpoint
	report   LoadReport
	err      error
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

// join returns a round of probes in the region that is recent enough, or runs one.
func (p *FreshPicker) join(ctx context.Context, req FreshRequest, pool *Pool) (*round, error) {
	p.mu.Lock()
	r := p.rounds[req.Service]
	if r != nil && r.pool == pool && r.serves(p.now()) {
		p.mu.Unlock()
		<-r.done
		return r, nil
	}
	homes, _, _ := usable(pool)
	if req.Repeated && !p.budget.AllowN(time.Now(), len(homes)) {
		p.mu.Unlock()
		return nil, &ProbesSpentError{Service: req.Service}
	}
	r = &round{sentAt: p.now(), pool: pool, done: make(chan struct{})}
	p.rounds[req.Service] = r
	p.mu.Unlock()
	if !req.Repeated {
		homes = p.afford(homes)
	}
	r.answers = p.ask(ctx, req.HealthPath, homes, askNear)
	r.endedAt = p.now()
	close(r.done)
	return r, nil
}

// afford returns the targets that the budget has probes for, at least two. Those
// two are paid from later probes if need be.
func (p *FreshPicker) afford(list []*Endpoint) []*Endpoint {
	n := min(max(int(p.budget.Tokens()), minAsked), len(list))
	p.budget.ReserveN(time.Now(), n)
	return sample(list, n)
}

// serves reports whether a round is running or has just ended.
func (r *round) serves(now time.Duration) bool {
	select {
	case <-r.done:
		return now-r.endedAt <= sharedFor
	default:
		return true
	}
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

// usable splits the endpoints that may take a request: the first of the region in
// the instance's own stable order, the rest of the region, and other regions.
func usable(pool *Pool) (homes, rest, far []*Endpoint) {
	for _, e := range pool.Endpoints {
		switch {
		case e.Standing == Draining:
		case e.Distance == model.OtherRegion:
			far = append(far, e)
		default:
			homes = append(homes, e)
		}
	}
	slices.SortFunc(homes, nearer)
	slices.SortFunc(far, nearer)
	if len(homes) > maxAskedNear {
		homes, rest = homes[:maxAskedNear], homes[maxAskedNear:]
	}
	return homes, rest, far
}

// sample returns at most n endpoints, drawn at random.
func sample(list []*Endpoint, n int) []*Endpoint {
	if len(list) <= n {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// ask probes targets at the same time and waits for their answers. The probes go
// on when the request that asked is gone: others may share the answers.
func (p *FreshPicker) ask(ctx context.Context, path string, list []*Endpoint, wait time.Duration) []answer {
	answers := make(chan answer, len(list))
	ctx = context.WithoutCancel(ctx)
	for _, e := range list {
		go func() { answers <- p.probe(ctx, e, path) }()
	}
	heard := make([]answer, 0, len(list))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range list {
		select {
		case a := <-answers:
			heard = append(heard, a)
			continue
		case <-timer.C:
		}
		break
	}
	return withSilent(list, heard)
}

func (p *FreshPicker) probe(ctx context.Context, e *Endpoint, path string) answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.prober.Probe(ctx, e, path)
	return answer{endpoint: e, report: report, err: err}
}

// silenceError reports a target that did not answer a probe in time.
type silenceError struct{}

func (silenceError) Error() string { return "no answer to the probe in time" }

// withSilent adds the targets that were not heard of.
func withSilent(list []*Endpoint, heard []answer) []answer {
	for _, e := range list {
		if !slices.ContainsFunc(heard, func(a answer) bool { return a.endpoint == e }) {
			heard = append(heard, answer{endpoint: e, err: silenceError{}})
		}
	}
	return heard
}

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
