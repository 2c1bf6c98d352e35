package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/schedule"
)

// maxRoomRetryAfter is the longest delay that is advised when room is expected later. Callers
// wait for a third of their time at most.
const maxRoomRetryAfter = time.Second

// ranking is the result of a Picker.
type ranking struct {
	candidates []routing.Candidate
	err        error
}

// awaitRoom waits until a target has a slot for the request, in the order of the service's
// scheduler. It returns the reply to a request for which no room is expected in time, or the
// ranking by which a target has room or the request doesn't wait for one; nil if it has waited
// in vain and a late response is what is left.
func (f *forwarder) awaitRoom(ctx context.Context, lastFailure localReply) (*ranking, *localReply) {
	job := schedule.Job{
		Priority:  f.priority(),
		Work:      f.expectedDuration(),
		Objective: f.objectiveDeadline,
		MinWait:   f.rule.Objective / waitDivisor,
		Bytes:     int64(len(f.body)) + int64(len(f.bodyPrefix)),
		Reach:     fmt.Sprint(f.homes().Regions()),
	}
	looks := 0
	var latest *ranking
	err := f.state.scheduler.Run(ctx, job, func() (outcome schedule.Outcome) {
		looks++
		latest, outcome = f.lookForRoom(ctx, looks > 1)
		return outcome
	})
	var noRoom *schedule.NoRoomError
	if !errors.As(err, &noRoom) {
		if looks > 1 {
			f.d.Metrics.countScheduled(f.service.Name, job.Priority, "deferred")
		}
		return latest, nil
	}
	reply := localReply{status: http.StatusServiceUnavailable, cause: CauseTargetsFull, retryAfter: min(max(noRoom.RetryAfter, minRetryAfter), maxRoomRetryAfter)}
	f.d.Metrics.countScheduled(f.service.Name, job.Priority, "no room")
	f.d.Log.Info("no room", f.logFields(zap.Int("priority", job.Priority), zap.Duration("work", job.Work), zap.Int("asks", looks),
		zap.Int("waiting", f.state.scheduler.Waiting()), zap.Error(err))...)
	if lastFailure.cause != "" {
		return nil, &lastFailure
	}
	return nil, &reply
}

// lookForRoom ranks the targets once and reports whether one has a slot for the request. A
// request doesn't wait for room if its time is up, if it must not wait any longer, or if what
// it lacks is a target that may be used at all.
func (f *forwarder) lookForRoom(ctx context.Context, repeated bool) (*ranking, schedule.Outcome) {
	if f.checkWait() != nil {
		return nil, schedule.Withdrawn
	}
	req := f.pickRequest()
	req.Repeated = repeated
	candidates, err := f.d.Picker.Pick(ctx, req)
	var probesSpent *routing.ProbeBudgetError
	if ctx.Err() == nil && errors.As(err, &probesSpent) {
		return nil, schedule.NoRoom
	}
	ranked := &ranking{candidates: candidates, err: err}
	if ctx.Err() != nil || err != nil {
		return ranked, schedule.Withdrawn
	}
	f.observeRoom(candidates)
	f.keepReserve(candidates)
	hasRoom := func(c routing.Candidate) bool { return c.Err != nil || c.Estimate.HasFreeSlot }
	if slices.ContainsFunc(candidates, hasRoom) {
		return ranked, schedule.Placed
	}
	return nil, schedule.NoRoom
}

// observeRoom measures how short room is by a ranking of the Picker, before keepReserve.
func (f *forwarder) observeRoom(candidates []routing.Candidate) {
	if f.contended {
		f.state.scheduler.Demand.Look(countFull(candidates), len(candidates))
	}
}

// competes reports whether requests of other priorities have a notable share of the service's
// work, so that an order among them matters.
func (f *forwarder) competes() bool { return f.contended && f.state.scheduler.Demand.Competes() }

// countDemand counts a request that isn't scheduled.
func (f *forwarder) countDemand() {
	f.state.scheduler.Demand.Offer(f.priority(), f.expectedDuration())
	f.state.scheduler.Demand.Serve(f.priority())
}

// keepReserve marks the targets as full that have only slots free which are kept for more
// urgent requests, and puts them behind the others.
func (f *forwarder) keepReserve(candidates []routing.Candidate) {
	if !f.competes() {
		return
	}
	kept := false
	for i := range candidates {
		c := &candidates[i]
		reserve := f.state.scheduler.Demand.Reserve(f.priority(), c.Report.Slots)
		if c.Err == nil && c.Estimate.HasFreeSlot && reserve > 0 && c.Estimate.FreeSlots <= reserve {
			c.Estimate.HasFreeSlot, kept = false, true
		}
	}
	if kept {
		slices.SortStableFunc(candidates, func(a, b routing.Candidate) int { return fullLast(a) - fullLast(b) })
	}
}

// countFull returns the number of candidates that reported no free slot.
func countFull(candidates []routing.Candidate) (full int) {
	for _, c := range candidates {
		full += fullLast(c)
	}
	return full
}

// fullLast orders candidates without a free slot behind those with one.
func fullLast(c routing.Candidate) int {
	if c.Err == nil && !c.Estimate.HasFreeSlot {
		return 1
	}
	return 0
}
