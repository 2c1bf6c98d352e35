package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/wait"
)

// selectTarget returns the best target that has not been tried, or the reply if there is
// none. While no target is expected to respond in time, it ranks the targets again every
// repickInterval until a part of the latency objective has passed: slots become free and
// paces change within milliseconds. Where requests of different priority notably compete for the
// service's targets, it first waits for room in their order.
func (f *forwarder) selectTarget(ctx context.Context, lastFailure localReply) (routing.Candidate, *localReply) {
	waitUntil := time.Now().Add(f.rule.Objective / waitDivisor)
	var first *ranking
	if f.competes() {
		var reply *localReply
		if first, reply = f.awaitRoom(ctx, lastFailure); reply != nil {
			return routing.Candidate{}, reply
		}
	} else if f.contended {
		f.countDemand()
	}
	var candidates []routing.Candidate
	for rounds := 1; ; rounds++ {
		if reply := f.checkWait(); reply != nil {
			return routing.Candidate{}, reply
		}
		req := f.pickRequest()
		if f.lacksHome(req.Homes) {
			return routing.Candidate{}, f.noHomeReply(lastFailure, req.Homes)
		}
		req.Repeated = rounds > 1
		ranked, err := f.rank(ctx, req, &first)
		var probesSpent *routing.ProbeBudgetError
		if !errors.As(err, &probesSpent) {
			candidates = ranked
		}
		candidates = slices.DeleteFunc(candidates, func(c routing.Candidate) bool {
			return !c.TakesRequest() || !req.Homes.Allows(c.Endpoint.Target.Location.Region)
		})
		f.keepReserve(candidates)
		var unavailable *routing.UnavailableError
		if errors.As(err, &unavailable) && lastFailure.cause == "" && unavailable.RetryAfter > time.Until(waitUntil) {
			return routing.Candidate{}, f.unavailableReply(unavailable)
		}
		if len(candidates) == 0 && (lastFailure.cause != "" || ctx.Err() != nil || time.Until(waitUntil) < repickInterval) {
			return routing.Candidate{}, f.noTargetReply(lastFailure, err)
		}
		if len(candidates) == 0 {
			wait.For(ctx, repickInterval)
			continue
		}
		best := candidates[0]
		if probesSpent == nil && (best.InTime(req.Work) || best.Err != nil) {
			return f.logPick(best, rounds, len(candidates)), nil
		}
		if time.Until(waitUntil) < repickInterval || ctx.Err() != nil {
			return f.selectLate(best, rounds, len(candidates))
		}
		wait.For(ctx, repickInterval)
	}
}

// rank returns the candidates of a first ranking, once, or else those of the Picker.
func (f *forwarder) rank(ctx context.Context, req routing.ProbingRequest, first **ranking) ([]routing.Candidate, error) {
	if known := *first; known != nil {
		*first = nil
		return known.candidates, known.err
	}
	candidates, err := f.d.Picker.Pick(ctx, req)
	f.observeRoom(candidates)
	return candidates, err
}

const (
	// waitDivisor divides the latency objective to give the longest wait for a better
	// target. Callers lose nothing by a wait of up to an eighth of the objective. A wait of
	// up to a fifth finds a free slot often enough to make up for the later responses; a
	// longer wait does not.
	waitDivisor = 5
	// repickInterval is the pause before the targets are ranked again.
	repickInterval = 6 * time.Millisecond
)

// selectLate decides on a request that no target is expected to complete in time. If the
// best target has a free slot and can respond before the request's deadline, it is
// chosen, because a late response is better than none. Otherwise the request is refused,
// since it would delay other requests too.
func (f *forwarder) selectLate(best routing.Candidate, rounds, candidateCount int) (routing.Candidate, *localReply) {
	if best.Estimate.HasFreeSlot && best.Estimate.Duration < time.Until(f.deadline) {
		return f.logPick(best, rounds, candidateCount), nil
	}
	f.d.Log.Info("targets full", f.logFields(zap.Int("asked", candidateCount), zap.Int("asks", rounds), zap.Object("best", candidateFields(best)))...)
	return routing.Candidate{}, &localReply{status: http.StatusServiceUnavailable, cause: CauseTargetsFull, retryAfter: f.adviseRetryAfter()}
}

// adviseRetryAfter returns the delay after which a caller should retry: half of the time
// that is left before the request would be late, within minRetryAfter and maxRetryAfter.
func (f *forwarder) adviseRetryAfter() time.Duration {
	spare := time.Until(f.objectiveDeadline) - f.expectedDuration()
	return min(max(spare/2, minRetryAfter), maxRetryAfter)
}

// pickRequest describes the request to the Picker.
func (f *forwarder) pickRequest() routing.ProbingRequest {
	return routing.ProbingRequest{
		Service:    f.service.Name,
		HealthPath: f.service.HealthPath,
		Exclude:    f.triedTargets,
		Homes:      f.homes(),
		Cold:       routing.ColdLimit{PerSecond: f.service.ColdPerSecond, Start: f.service.ColdStart},
		Work: routing.Work{
			ServiceTime: f.expectedDuration(),
			TimeLeft:    time.Until(f.objectiveDeadline),
			Bytes:       int64(len(f.body)) + typicalOverheadBytes,
		},
	}
}

// logPick logs the chosen target and returns it.
func (f *forwarder) logPick(best routing.Candidate, rounds, candidateCount int) routing.Candidate {
	f.d.Log.Info("target picked", f.logFields(zap.Int("asked", candidateCount), zap.Int("asks", rounds), zap.Object("target", candidateFields(best)))...)
	return best
}

// typicalOverheadBytes is the usual size in bytes of a request header and a response
// together.
const typicalOverheadBytes = 2200

// unavailableReply returns the reply when all targets left are paused or have exhausted
// their limits.
func (f *forwarder) unavailableReply(unavailable *routing.UnavailableError) *localReply {
	f.d.Log.Info("targets limited", f.logFields(zap.Duration("available_after", unavailable.RetryAfter))...)
	return &localReply{status: http.StatusServiceUnavailable, cause: CauseTargetsLimited, retryAfter: max(unavailable.RetryAfter, minRetryAfter)}
}

// noTargetReply returns the reply when no target is left: that of the last attempt, if
// any.
func (f *forwarder) noTargetReply(lastFailure localReply, err error) *localReply {
	if lastFailure.cause != "" {
		return &lastFailure
	}
	f.d.Log.Info("no target", f.logFields(zap.Error(err))...)
	return &localReply{status: http.StatusServiceUnavailable, cause: CauseNoTarget, retryAfter: noTargetRetryAfter}
}
