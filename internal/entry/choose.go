package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// minServiceTime is the shortest time for which a target is given a request.
	minServiceTime = time.Millisecond
	// reserveDivisor gives the share of slots that is kept free at a tail weight of 1.
	reserveDivisor = 4
)

// choose picks a target for a request and counts an exchange there, which the
// exchange ends. While every target is full the request waits its turn.
func (s *Server) choose(ctx context.Context, r *request, exclude []model.TargetID) (*routing.Endpoint, *Problem) {
	if r.svc.queue.Empty() {
		e, err := s.pick(r, exclude, 0)
		if !saturated(err) {
			return s.chosen(r, e, err)
		}
	}
	return s.wait(ctx, r, exclude)
}

func (s *Server) chosen(r *request, e *routing.Endpoint, err error) (*routing.Endpoint, *Problem) {
	if err != nil {
		return nil, refuse(http.StatusServiceUnavailable, CodeNoTarget, NotRun, err.Error()).after(time.Second)
	}
	s.record(r, events.TargetPicked, e.Target.ID, "")
	return e, nil
}

// wait queues a request until a target has a free slot or its deadline is near.
func (s *Server) wait(ctx context.Context, r *request, exclude []model.TargetID) (*routing.Endpoint, *Problem) {
	waitCtx, cancel := context.WithDeadline(ctx, r.waitUntil())
	defer cancel()
	var e *routing.Endpoint
	var pickErr error
	startedAt := time.Now()
	try := func() bool {
		e, pickErr = s.pick(r, exclude, time.Since(startedAt))
		return !saturated(pickErr)
	}
	if err := r.svc.queue.Wait(waitCtx, r.caller, r.bounds(), try); err != nil {
		return nil, waitProblem(ctx, err)
	}
	return s.chosen(r, e, pickErr)
}

// bounds returns the limits of the service's queue. The more the tail weighs, the
// more slots are kept from callers with a backlog.
func (r *request) bounds() limit.QueueLimits {
	return limit.QueueLimits{Length: r.policy.QueueLimit, ReservedShare: r.policy.TailWeight / reserveDivisor}
}

// waitUntil returns the last instant at which an exchange may start and still be
// answered in time.
func (r *request) waitUntil() time.Time {
	if r.policy.Class == model.Upload {
		return time.Now().Add(r.policy.ProgressTimeout)
	}
	typical, _ := r.svc.latency.Quantile(0.5)
	return r.deadline.Add(-max(typical, minServiceTime))
}

func waitProblem(ctx context.Context, err error) *Problem {
	var full *limit.QueueFullError
	var share *limit.CallerShareError
	var late *limit.DeadlineError
	switch {
	case errors.As(err, &share):
		return refuse(http.StatusTooManyRequests, CodeOverLimit, NotRun, err.Error()).after(share.RetryAfter)
	case errors.As(err, &full):
		return refuse(http.StatusServiceUnavailable, CodeOverLimit, NotRun, err.Error()).after(full.RetryAfter)
	case errors.As(err, &late):
		return refuse(http.StatusServiceUnavailable, CodeOverLimit, NotRun, err.Error()).after(late.RetryAfter)
	case errors.Is(ctx.Err(), context.Canceled):
		return refuse(statusCallerGone, CodeCallerCancelled, NotRun, "the caller left before a target was free")
	default:
		return refuse(http.StatusServiceUnavailable, CodeOverLimit, NotRun, "no target was free in time").after(time.Second)
	}
}

// pick asks the routing policy once. A target of another region is used only
// within the volume budget; without budget it counts as full.
func (s *Server) pick(r *request, exclude []model.TargetID, waited time.Duration) (*routing.Endpoint, error) {
	e, err := s.picker.Pick(routing.Request{
		Service: r.policy.Service,
		Class:   r.policy.Class,
		Exclude: exclude,
		Waited:  waited,
	})
	if err != nil {
		return nil, err
	}
	if e.Distance == model.OtherRegion {
		if !r.svc.volume.Allow(r.policy.CrossRegionBytes) {
			r.svc.metrics.crossingsDenied.Inc()
			s.record(r, events.BudgetExhausted, e.Target.ID, "cross-region volume")
			return nil, &routing.SaturatedError{Service: r.policy.Service}
		}
		s.record(r, events.RegionCrossed, e.Target.ID, "")
	}
	if !begin(e) {
		return nil, &routing.SaturatedError{Service: r.policy.Service}
	}
	r.svc.queue.Acquired()
	return e, nil
}

// begin counts an exchange at a target. It reports false, and counts none, if
// picks at the same moment took the last slot.
func begin(e *routing.Endpoint) bool {
	e.Load.Begin()
	if e.Target.Slots > 0 && e.Load.InFlight() > e.Target.Slots {
		e.Load.End()
		return false
	}
	return true
}

func saturated(err error) bool {
	if err == nil {
		return false
	}
	var full *routing.SaturatedError
	return errors.As(err, &full)
}

// release gives a pick back that no exchange follows.
func (s *Server) release(r *request, e *routing.Endpoint) {
	e.Load.End()
	r.svc.queue.Released()
}
