package routing

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// warmEvidenceAge is the age up to which a target's statement that it isn't cold counts.
	// It bounds how long requests go to a target that has turned cold unnoticed.
	warmEvidenceAge = time.Second
	// ColdPermitValidity is how long a permit for a cold target may be used, so that permits
	// that are held back aren't sent together.
	ColdPermitValidity = 250 * time.Millisecond
)

// ColdLimit is what the targets of a service take while they are cold. The zero value means
// that they aren't limited.
type ColdLimit struct {
	// PerSecond is the number of requests a second that one target takes from all instances
	// together.
	PerSecond float64
	// Start bounds how long a target is cold from the time at which it said so; zero means no
	// bound.
	Start time.Duration
}

func (c ColdLimit) limited() bool { return c.PerSecond > 0 }

// coldReport is what a target said in its latest health response. Its times are readings of a
// Clock.
type coldReport struct {
	// askedAt is when the health check was sent, coldUntil when the target is warm.
	askedAt, coldUntil time.Duration
	// returns is that of the failure domain at that time: a domain that has returned from an
	// evacuation since may have become cold.
	returns uint32
}

// coldState holds the latest coldReport of a target, or nil.
type coldState struct{ report atomic.Pointer[coldReport] }

// RecordHealth records how long the target says that it is still cold, zero if it is warm, in
// the response to a health check sent at a reading of a Clock. It reports whether the target
// has become cold by that.
func (e *Endpoint) RecordHealth(coldFor, askedAt, now time.Duration) (becameCold bool) {
	next := &coldReport{askedAt: askedAt, returns: e.domain.returnCount()}
	if coldFor > 0 {
		next.coldUntil = now + coldFor
	}
	for {
		old := e.Load.cold.report.Load()
		if old != nil && old.askedAt > askedAt {
			return false
		}
		if e.Load.cold.report.CompareAndSwap(old, next) {
			return coldFor > 0 && (old == nil || old.coldUntil <= now)
		}
	}
}

// coldLeft returns how long the target is still cold at a reading of a Clock, by the later of
// its latest health response and its entry in the target list, or zero.
func (e *Endpoint) coldLeft(c ColdLimit, now time.Duration) time.Duration {
	if !c.limited() {
		return 0
	}
	since, left := time.Duration(0), time.Duration(0)
	entryAge := time.Since(e.Target.ColdKnownAt)
	if !e.Target.ColdEndsAt.IsZero() {
		since, left = now-entryAge, time.Until(e.Target.ColdEndsAt)
	}
	if r := e.Load.cold.report.Load(); r != nil && (e.Target.ColdEndsAt.IsZero() || r.askedAt >= now-entryAge) {
		since, left = r.askedAt, r.coldUntil-now
	}
	if c.Start > 0 {
		left = min(left, since+c.Start-now)
	}
	return max(left, 0)
}

// saidCold reports whether the target itself said in its latest health response that it is
// cold now, so that it need not be asked.
func (e *Endpoint) saidCold(c ColdLimit, now time.Duration) bool {
	r := e.Load.cold.report.Load()
	return r != nil && r.coldUntil > now && e.coldLeft(c, now) > 0
}

// saidColdAt reports whether the latest health response said that the target is cold at a time.
func (l *Load) saidColdAt(now time.Time) bool {
	r := l.cold.report.Load()
	return r != nil && r.coldUntil > max(0, now.Sub(processStart))
}

// IsKnownWarm reports whether the target may get requests without a permit for cold ones at a
// reading of a Clock: it isn't cold by anything known, and a health response of the last
// warmEvidenceAge, since its failure domain returned, said so.
func (e *Endpoint) IsKnownWarm(c ColdLimit, now time.Duration) bool {
	if !c.limited() {
		return true
	}
	r := e.Load.cold.report.Load()
	return r != nil && now-r.askedAt <= warmEvidenceAge && r.returns == e.domain.returnCount() && e.coldLeft(c, now) == 0
}

// ColdPermit permits one request to a cold target.
type ColdPermit struct {
	// Target is the target that the permit is for.
	Target    model.TargetID
	GrantedAt time.Time
}

// Valid reports whether the permit may still be used. It is not after a jump of the clock,
// nor if the process was suspended meanwhile: the monotonic clock may not count that time, the
// time of day does.
func (p *ColdPermit) Valid() bool {
	now := time.Now()
	elapsed, wall := now.Sub(p.GrantedAt), now.Round(0).Sub(p.GrantedAt.Round(0))
	return max(elapsed, wall) <= ColdPermitValidity && min(elapsed, wall) >= -time.Millisecond
}

// maxColdChoice is the number of cold targets of which a pick asks for one.
const maxColdChoice = 8

// coldChoice returns up to maxColdChoice cold targets that may be used for a request, those of
// the region first. Targets with a stated limit are left out until they are warm.
func (p *ProbingPicker) coldChoice(pool *Pool, req ProbingRequest) []*Endpoint {
	if !req.Cold.limited() {
		return nil
	}
	now := p.now()
	var local, remote []*Endpoint
	for _, e := range pool.Endpoints {
		switch {
		case !e.takesRequests(now) || e.Load.isLimited() || e.coldLeft(req.Cold, now) == 0 || !req.admits(e):
		case e.Distance == model.OtherRegion:
			remote = append(remote, e)
		default:
			local = append(local, e)
		}
	}
	choice := sample(local, maxColdChoice)
	return slices.Concat(choice, sample(remote, maxColdChoice-len(choice)))
}

// useCold returns a permitted cold target, if there is one, or when to ask again. It is the
// last resort: warm targets that are in time are preferred.
func (p *ProbingPicker) useCold(ctx context.Context, req ProbingRequest, pool *Pool) (permitted []Candidate, retryAfter time.Duration) {
	choice := p.coldChoice(pool, req)
	if len(choice) == 0 {
		return nil, 0
	}
	permit, retryAfter := p.permits.AcquireCold(ctx, choice, req.Cold.PerSecond)
	if permit == nil {
		return nil, max(retryAfter, time.Millisecond)
	}
	i := slices.IndexFunc(choice, func(e *Endpoint) bool { return e.Target.ID == permit.Target })
	if i < 0 {
		return nil, time.Millisecond
	}
	c := p.probePermitted(ctx, req, choice[i])
	c.ColdPermit = permit
	return []Candidate{c}, 0
}
