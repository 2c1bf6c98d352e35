package reverseproxy

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
	// minServiceTime is the minimum time before the deadline at which a queued
	// request may still be sent to a target.
	minServiceTime = time.Millisecond
	// slotReserveDivisor is the number by which the tail weight is divided to get the
	// share of slots that is reserved for callers without a backlog.
	slotReserveDivisor = 4
)

// selectTarget selects a target for a request and reserves a slot there, which
// the exchange releases when it ends. While all targets are full, the request is
// queued.
func (s *Server) selectTarget(ctx context.Context, r *request, exclude []model.TargetID) (*routing.Endpoint, *Problem) {
	if r.svc.queue.Empty() {
		e, err := s.pick(r, exclude, 0)
		if !isSaturated(err) {
			return s.selected(r, e, err)
		}
	}
	return s.queueForTarget(ctx, r, exclude)
}

func (s *Server) selected(r *request, e *routing.Endpoint, err error) (*routing.Endpoint, *Problem) {
	if err != nil {
		return nil, newProblem(http.StatusServiceUnavailable, CodeNoTarget, NotRun, err.Error()).withRetryAfter(time.Second)
	}
	s.recordEvent(r, events.TargetPicked, e.Target.ID, "")
	return e, nil
}

// queueForTarget queues a request until a target has a free slot or queueDeadline
// has passed.
func (s *Server) queueForTarget(ctx context.Context, r *request, exclude []model.TargetID) (*routing.Endpoint, *Problem) {
	waitCtx, cancel := context.WithDeadline(ctx, r.queueDeadline())
	defer cancel()
	var e *routing.Endpoint
	var pickErr error
	startedAt := time.Now()
	try := func() bool {
		e, pickErr = s.pick(r, exclude, time.Since(startedAt))
		return !isSaturated(pickErr)
	}
	if err := r.svc.queue.Wait(waitCtx, r.caller, r.queueBounds(), try); err != nil {
		return nil, queueProblem(ctx, err)
	}
	return s.selected(r, e, pickErr)
}

// queueBounds returns the limits of the service's queue. A higher tail weight
// reserves more slots for callers without a backlog.
func (r *request) queueBounds() limit.QueueLimits {
	return limit.QueueLimits{Length: r.policy.QueueLimit, ReservedShare: r.policy.TailWeight / slotReserveDivisor}
}

// queueDeadline returns the latest time at which an exchange may start and still
// end before the deadline at median latency. Uploads, which have no deadline, are
// queued for at most the progress timeout.
func (r *request) queueDeadline() time.Time {
	if r.policy.Class == model.Upload {
		return time.Now().Add(r.policy.ProgressTimeout)
	}
	typical, _ := r.svc.latency.Quantile(0.5)
	return r.deadline.Add(-max(typical, minServiceTime))
}

// queueProblem returns the problem for a request that left the queue without a
// target.
func queueProblem(ctx context.Context, err error) *Problem {
	var full *limit.QueueFullError
	var share *limit.CallerShareError
	var late *limit.DeadlineError
	switch {
	case errors.As(err, &share):
		return newProblem(http.StatusTooManyRequests, CodeOverLimit, NotRun, err.Error()).withRetryAfter(share.RetryAfter)
	case errors.As(err, &full):
		return newProblem(http.StatusServiceUnavailable, CodeOverLimit, NotRun, err.Error()).withRetryAfter(full.RetryAfter)
	case errors.As(err, &late):
		return newProblem(http.StatusServiceUnavailable, CodeOverLimit, NotRun, err.Error()).withRetryAfter(late.RetryAfter)
	case errors.Is(ctx.Err(), context.Canceled):
		return newProblem(statusCallerGone, CodeCallerCancelled, NotRun, "the caller left before a target was free")
	default:
		return newProblem(http.StatusServiceUnavailable, CodeOverLimit, NotRun, "no target was free in time").withRetryAfter(time.Second)
	}
}

// pick asks the picker for a target once and reserves a slot there. A target of
// another region is used only within the cross-region budget; without budget it
// counts as full.
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
		if !r.svc.crossRegionBudget.Allow(r.policy.CrossRegionBytes) {
			r.svc.metrics.crossRegionDenied.Inc()
			s.recordEvent(r, events.BudgetExhausted, e.Target.ID, "cross-region volume")
			return nil, &routing.SaturatedError{Service: r.policy.Service}
		}
		s.recordEvent(r, events.RegionCrossed, e.Target.ID, "")
	}
	if !reserveSlot(e) {
		return nil, &routing.SaturatedError{Service: r.policy.Service}
	}
	r.svc.queue.Acquired()
	return e, nil
}

// reserveSlot reserves a slot at a target. It reports false, and reserves none,
// if concurrent picks took the last slot.
func reserveSlot(e *routing.Endpoint) bool {
	e.Load.Begin()
	if e.Target.Slots > 0 && e.Load.InFlight() > e.Target.Slots {
		e.Load.End()
		return false
	}
	return true
}

func isSaturated(err error) bool {
	if err == nil {
		return false
	}
	var full *routing.SaturatedError
	return errors.As(err, &full)
}

// releaseSlot releases a slot that no exchange has used.
func (s *Server) releaseSlot(r *request, e *routing.Endpoint) {
	r.svc.queue.Release(e.Load.End)
}
