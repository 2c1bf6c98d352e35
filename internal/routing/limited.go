package routing

import (
	"context"
	"math/rand/v2"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// limitRecheck is the age of a stated limit from which a target gets a request even if
	// others have free slots, so that a withdrawn limit is noticed.
	limitRecheck = 2 * time.Second
	// limitedWait bounds the time for which a pick asks for permits.
	limitedWait = 40 * time.Millisecond
)

// PermitExtent tells whom Permits.Acquire asks.
type PermitExtent uint8

const (
	// NearestGrantor is asked alone while other targets have free slots.
	NearestGrantor PermitExtent = iota
	// AllGrantors are asked, the nearest first, when no other target is in time.
	AllGrantors
)

// Permits grants requests to targets that stated a limit for all instances together.
// Implementations are safe for concurrent use.
type Permits interface {
	// Acquire reports whether one request may be sent to a target now. If not, it returns
	// when to ask again.
	Acquire(ctx context.Context, e *Endpoint, extent PermitExtent) (granted bool, retryAfter time.Duration)
	// AcquireCold returns a permit for one request to one of some cold targets, each of which
	// takes perSecond requests a second. Without a grant it returns nil and when to ask again.
	AcquireCold(ctx context.Context, targets []*Endpoint, perSecond float64) (permit *ColdPermit, retryAfter time.Duration)
}

// UnavailableError reports that all targets left have asked for a pause or have stated a
// limit that is exhausted.
type UnavailableError struct {
	Service model.ServiceName
	// RetryAfter is when a target may take a request again.
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string {
	return "all targets of " + string(e.Service) + " are paused or have exhausted their limits"
}

// shortestPause returns when the first of the paused targets takes requests again, or zero
// if none is paused.
func shortestPause(pool *Pool, req ProbingRequest, now time.Duration) (left time.Duration) {
	for _, e := range pool.Endpoints {
		if !e.isLeaving() && !e.domain.isEvacuated() && req.admits(e) {
			left = earlier(left, e.Load.pauseLeft(now))
		}
	}
	return left
}

// earlier returns the shorter of two durations that are not zero.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// TakesRequest reports whether the target still takes the request for which it was ranked: it
// may have stated meanwhile that it leaves, wants a pause, has a limit or is cold.
func (c *Candidate) TakesRequest() bool {
	now := Monotonic()
	return c.Endpoint.takesRequests(now) && (c.Permitted || !c.Endpoint.Load.isLimited()) &&
		(c.ColdPermit != nil || c.Endpoint.IsKnownWarm(c.cold, now))
}

// limitedEndpoints returns the endpoints that stated a limit and may be used for a request
// at a reading of a Clock, those of the region first, otherwise in random order, so that
// instances don't all ask for the same one.
func limitedEndpoints(pool *Pool, req ProbingRequest, now time.Duration) []*Endpoint {
	var local, remote []*Endpoint
	for _, e := range pool.Endpoints {
		switch {
		case !e.takesRequests(now) || !e.Load.isLimited() || e.coldLeft(req.Cold, now) > 0 || !req.admits(e):
		case e.Distance == model.OtherRegion:
			remote = append(remote, e)
		default:
			local = append(local, e)
		}
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	return append(local, remote...)
}

// recheckLimited returns a target of the region whose limit was stated limitRecheck ago or
// earlier, if it is permitted and expected to respond in time. It asks for one target only.
func (p *ProbingPicker) recheckLimited(ctx context.Context, req ProbingRequest, limited []*Endpoint) (Candidate, bool) {
	for _, e := range limited {
		if _, at := e.Load.Statement(); e.Distance == model.OtherRegion || p.now()-at < limitRecheck {
			continue
		}
		if granted, _ := p.permits.Acquire(ctx, e, NearestGrantor); !granted {
			return Candidate{}, false
		}
		c := p.probePermitted(ctx, req, e)
		return c, c.InTime(req.Work)
	}
	return Candidate{}, false
}

// useLimited returns a permitted target, if there is one, or when to ask again.
func (p *ProbingPicker) useLimited(ctx context.Context, req ProbingRequest, limited []*Endpoint) (permitted []Candidate, retryAfter time.Duration) {
	startedAt := p.now()
	for _, e := range limited {
		granted, wait := p.permits.Acquire(ctx, e, AllGrantors)
		if granted {
			return []Candidate{p.probePermitted(ctx, req, e)}, 0
		}
		retryAfter = earlier(retryAfter, wait)
		if p.now()-startedAt > limitedWait {
			break
		}
	}
	return nil, max(retryAfter, time.Millisecond)
}

// probePermitted probes one target, outside the budget, and evaluates it.
func (p *ProbingPicker) probePermitted(ctx context.Context, req ProbingRequest, e *Endpoint) Candidate {
	wait := localProbeWait
	if e.Distance == model.OtherRegion {
		wait = remoteProbeWait
	}
	sentAt := p.now()
	results := p.probeAll(ctx, req.HealthPath, []*Endpoint{e}, wait)
	c := p.evaluate(results[0], req, sentAt)
	c.Permitted = true
	return c
}
