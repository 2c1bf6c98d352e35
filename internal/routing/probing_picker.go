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
	// localProbeWait is how long responses to probes within the region are awaited; the
	// round trip is 1 ms.
	localProbeWait = 8 * time.Millisecond
	// remoteProbeWait is how long responses to probes of other regions are awaited; the
	// round trip is 24 ms.
	remoteProbeWait = 40 * time.Millisecond
	// probeTimeout is when a probe is cancelled. It is longer than the waits, so that
	// a late response doesn't cost the connection.
	probeTimeout = 300 * time.Millisecond
	// maxPreferredProbes is the number of targets of the region that a pick probes
	// first. They are always the same ones, so that connections to them stay in use.
	maxPreferredProbes = 8
	// maxOtherLocalProbes is the number of other targets of the region that are probed
	// if none of the preferred targets is expected to respond in time.
	maxOtherLocalProbes = 6
	// maxRemoteProbes is the number of targets in other regions that are probed if no
	// target of the region is expected to respond in time.
	maxRemoteProbes = 4
	// minProbes is the number of targets that a first pick may probe even if the probe
	// budget is exhausted.
	minProbes = 2
	// inTimeFraction is the fraction of Work.TimeLeft within which a response must be
	// expected to count as in time.
	inTimeFraction = 0.9
	// roundReuseTime is how long the results of a finished probe round are used for
	// further picks. Loads change within milliseconds; own exchanges begun since the
	// probe are accounted for separately.
	roundReuseTime = 4 * time.Millisecond
	// remoteBackoff is how long other regions are not probed after a probe found no
	// target there that would respond in time. Traffic between regions is paid for by
	// volume.
	remoteBackoff = 300 * time.Millisecond
	// firstStageProbes is the number of targets that a pick in stages probes first. Of three
	// targets one is nearly always at its normal pace with a free slot.
	firstStageProbes = 3
	// undisturbedFactor bounds the expected duration, as a multiple of that at an idle target
	// at its normal pace, with which a pick in stages is content: above it the next stage
	// costs less than the slower target does.
	undisturbedFactor = 1.25
	// noResponsePenalty ranks a target that did not respond to its probe behind all that
	// did.
	noResponsePenalty = 2 * time.Second
)

// ProbingRequest describes the request to pick a target for.
type ProbingRequest struct {
	Service    model.ServiceName
	HealthPath string
	Work       Work
	// Exclude lists the targets that this request has already been sent to.
	Exclude []model.TargetID
	// Homes are the regions in which the request may be served. Targets elsewhere are not
	// even probed for it.
	Homes model.Homes
	// Cold limits the requests to cold targets.
	Cold ColdLimit
	// Repeated is set if this request has picked before. New probe rounds for it are
	// made only if the budget covers them in full.
	Repeated bool
}

// ProbeBudgetError reports that the probe budget doesn't allow another round for a
// repeated request.
type ProbeBudgetError struct{ Service model.ServiceName }

func (e *ProbeBudgetError) Error() string {
	return "probe budget exhausted; cannot probe the targets of " + string(e.Service) + " again"
}

// Candidate is a target that a pick has evaluated.
type Candidate struct {
	Endpoint *Endpoint
	Report   LoadReport
	// Err is why the load of the target is unknown, or nil.
	Err error
	// Risk is the expected failure rate, from 0 to 1.
	Risk     float64
	Estimate Estimate
	// Permitted is set if one request to the target, which stated a limit, is permitted.
	Permitted bool
	// ColdPermit permits one request if the target is cold; else it is nil.
	ColdPermit *ColdPermit
	// cold is that of the request.
	cold ColdLimit
}

// ProbingPicker ranks targets by load reports that it probes for when a request
// arrives. Requests that arrive at about the same time share a round of probes. It is
// safe for concurrent use.
type ProbingPicker struct {
	table  *Table
	prober LoadProber
	now    Clock
	// budget limits the probes of this instance.
	budget *rate.Limiter
	// permits grants requests to targets that stated a limit.
	permits Permits
	// InStages makes picks probe the preferred targets in two stages, the second only if
	// the first finds no target that is undisturbed, and then others of the region that are
	// drawn from all its failure domains. It must be set before the first pick.
	InStages bool

	mu sync.Mutex
	// rounds holds the latest probe round of preferred targets for each reach.
	rounds map[reach]*probeRound
	// remoteBackoffUntil is until when the other regions are not probed for a reach.
	remoteBackoffUntil map[reach]time.Duration
}

// NewProbingPicker returns a picker that uses the snapshots of a table. The budget
// limits its probes, except for minProbes of each first pick.
func NewProbingPicker(t *Table, prober LoadProber, now Clock, budget *rate.Limiter, permits Permits) *ProbingPicker {
	return &ProbingPicker{
		permits:            permits,
		budget:             budget,
		table:              t,
		prober:             prober,
		now:                now,
		rounds:             make(map[reach]*probeRound),
		remoteBackoffUntil: make(map[reach]time.Duration),
	}
}

// Pick returns the evaluated candidates, lowest cost first. It blocks while it probes.
// It returns *UnknownServiceError, *NoTargetError if there is no candidate, *UnavailableError
// if only targets are left that are paused or have no permit, or *ProbeBudgetError.
func (p *ProbingPicker) Pick(ctx context.Context, req ProbingRequest) ([]Candidate, error) {
	pool := p.table.Snapshot().Pool(req.Service)
	if pool == nil {
		return nil, &UnknownServiceError{Service: req.Service}
	}
	limited := limitedEndpoints(pool, req, p.now())
	if c, ok := p.recheckLimited(ctx, req, limited); ok {
		return []Candidate{c}, nil
	}
	r, err := p.joinRound(ctx, req, pool)
	if err != nil {
		return nil, err
	}
	candidates := p.evaluateAll(r.results, req, r.sentAt)
	candidates = append(candidates, p.probeSecondStage(ctx, req, pool, candidates)...)
	for _, probeMore := range p.fallbacks(pool, req.Homes, req.Cold) {
		if slices.ContainsFunc(candidates, func(c Candidate) bool { return c.InTime(req.Work) }) {
			break
		}
		candidates = append(candidates, probeMore(ctx, req)...)
	}
	retryAfter := shortestPause(pool, req, p.now())
	inTime := func() bool {
		return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.InTime(req.Work) })
	}
	if !inTime() {
		permitted, permitAfter := p.useCold(ctx, req, pool)
		candidates = append(candidates, permitted...)
		retryAfter = earlier(retryAfter, permitAfter)
	}
	if len(limited) > 0 && !inTime() {
		permitted, permitAfter := p.useLimited(ctx, req, limited)
		candidates = append(candidates, permitted...)
		retryAfter = earlier(retryAfter, permitAfter)
	}
	if len(candidates) == 0 && retryAfter > 0 {
		return nil, &UnavailableError{Service: req.Service, RetryAfter: retryAfter}
	}
	if len(candidates) == 0 {
		return nil, &NoTargetError{Service: req.Service}
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Estimate.Cost, b.Estimate.Cost) })
	return candidates, nil
}

// probeSecondStage probes the preferred targets that the first stage left out, unless that
// found a target which is undisturbed or there is only one stage.
func (p *ProbingPicker) probeSecondStage(ctx context.Context, req ProbingRequest, pool *Pool, first []Candidate) []Candidate {
	if !p.InStages || slices.ContainsFunc(first, func(c Candidate) bool { return c.isUndisturbed(req.Work) }) {
		return nil
	}
	preferred, _, _ := p.splitByPreference(pool, req.Homes, req.Cold)
	preferred = slices.DeleteFunc(preferred, func(e *Endpoint) bool {
		return slices.ContainsFunc(first, func(c Candidate) bool { return c.Endpoint == e })
	})
	return p.probeFirst(ctx, req, preferred, len(preferred), p.preferredWait(req.Homes))
}

// isUndisturbed reports whether the candidate is expected to take little longer than an
// idle target at its normal pace.
func (c *Candidate) isUndisturbed(w Work) bool {
	return c.InTime(w) && c.Estimate.Duration <= scale(w.ServiceTime, undisturbedFactor)+roundTrip(c.Endpoint.Distance)
}

// fallbacks returns functions that probe more targets, the cheapest way first.
func (p *ProbingPicker) fallbacks(pool *Pool, homes model.Homes, cold ColdLimit) []func(context.Context, ProbingRequest) []Candidate {
	_, otherLocal, remote := p.splitByPreference(pool, homes, cold)
	otherWait := p.preferredWait(homes)
	if p.InStages {
		// Where the preferred targets are short of room, those next to them are too. A draw
		// reaches the other failure domains of the region.
		otherLocal, otherWait = sample(otherLocal, maxOtherLocalProbes), remoteProbeWait
	}
	return []func(context.Context, ProbingRequest) []Candidate{
		func(ctx context.Context, req ProbingRequest) []Candidate {
			return p.probeFirst(ctx, req, otherLocal, maxOtherLocalProbes, otherWait)
		},
		func(ctx context.Context, req ProbingRequest) []Candidate { return p.probeRemote(ctx, req, remote) },
	}
}

// probeFirst probes the first n targets of a list that are not excluded. It returns
// nil if the budget doesn't cover them.
func (p *ProbingPicker) probeFirst(ctx context.Context, req ProbingRequest, list []*Endpoint, n int, wait time.Duration) []Candidate {
	list = slices.DeleteFunc(list, func(e *Endpoint) bool { return slices.Contains(req.Exclude, e.Target.ID) })
	n = min(n, len(list))
	if n == 0 || !p.budget.AllowN(time.Now(), n) {
		return nil
	}
	sentAt := p.now()
	return p.evaluateAll(p.probeAll(ctx, req.HealthPath, list[:n], wait), req, sentAt)
}

// probeRemote probes targets of other regions. If none is expected to respond in time,
// or the budget doesn't cover the probes, the other regions are not probed again for
// remoteBackoff.
func (p *ProbingPicker) probeRemote(ctx context.Context, req ProbingRequest, remote []*Endpoint) []Candidate {
	p.mu.Lock()
	backingOff := p.now() < p.remoteBackoffUntil[reachOf(req.Service, req.Homes)]
	p.mu.Unlock()
	if backingOff {
		return nil
	}
	candidates := p.probeFirst(ctx, req, remote, maxRemoteProbes, remoteProbeWait)
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.InTime(req.Work) }) {
		p.mu.Lock()
		p.remoteBackoffUntil[reachOf(req.Service, req.Homes)] = p.now() + remoteBackoff
		p.mu.Unlock()
	}
	return candidates
}

// evaluateAll evaluates the results of a probe round for one request.
func (p *ProbingPicker) evaluateAll(results []probeResult, req ProbingRequest, sentAt time.Duration) []Candidate {
	out := make([]Candidate, 0, len(results))
	for _, r := range results {
		e := r.endpoint
		if req.admits(e) && !e.Load.isLimited() && e.takesRequests(p.now()) && e.IsKnownWarm(req.Cold, p.now()) {
			out = append(out, p.evaluate(r, req, sentAt))
		}
	}
	return out
}

// InTime reports whether the candidate has a free slot and is expected to respond
// before the response loses most of its value.
func (c *Candidate) InTime(w Work) bool {
	return c.Err == nil && c.Estimate.HasFreeSlot && c.Estimate.Duration <= scale(w.TimeLeft, inTimeFraction)
}

// HasSpareRoom reports whether the target stays below the load at which it slows down with
// one request more.
func (c *Candidate) HasSpareRoom() bool {
	busy := c.Report.Running + c.Report.Waiting + 1
	return c.Err == nil && c.Estimate.HasFreeSlot && float64(busy) <= highLoadThreshold*float64(max(1, c.Report.Slots))
}

func (noResponseError) Error() string { return "no response to the probe in time" }

// evaluate returns the candidate for one probe result. A target without a load report
// gets the work's service time and noResponsePenalty.
func (p *ProbingPicker) evaluate(r probeResult, req ProbingRequest, sentAt time.Duration) Candidate {
	w := req.Work
	c := Candidate{Endpoint: r.endpoint, Report: r.report, Err: r.err, cold: req.Cold}
	c.Risk = r.endpoint.Load.Reliability.Risk(p.now())
	if r.err != nil {
		c.Estimate = Estimate{Duration: w.ServiceTime, Cost: w.ServiceTime + noResponsePenalty}
		return c
	}
	unreported := r.endpoint.Load.CountBegunSince(sentAt)
	c.Estimate = estimate(r.endpoint, r.report, w, unreported, c.Risk, time.Now())
	return c
}
