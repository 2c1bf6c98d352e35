package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/wait"
)

// choose returns the best target that has not been tried, or why there is none. A
// request for which no target can answer in time waits a little for one: slots
// become free and paces change within milliseconds.
func (j *job) choose(ctx context.Context, last refusal) (routing.Candidate, *refusal) {
	patience := time.Now().Add(j.rule.Objective / patienceDivisor)
	var candidates []routing.Candidate
	for asks := 1; ; asks++ {
		req := j.pickRequest()
		req.Repeated = asks > 1
		heard, err := j.d.Picker.Pick(ctx, req)
		var spent *routing.ProbeBudgetError
		if !errors.As(err, &spent) {
			candidates = heard
		}
		if len(candidates) == 0 && (last.cause != "" || ctx.Err() != nil || time.Until(patience) < askAgain) {
			return routing.Candidate{}, j.noTarget(last, err)
		}
		if len(candidates) == 0 {
			wait.For(ctx, askAgain)
			continue
		}
		best := candidates[0]
		if spent == nil && (best.InTime(req.Work) || best.Err != nil) {
			return j.picked(best, asks, len(candidates)), nil
		}
		if time.Until(patience) < askAgain || ctx.Err() != nil {
			return j.settle(best, asks, len(candidates))
		}
		wait.For(ctx, askAgain)
	}
}

const (
	// patienceDivisor gives the part of the objective for which a request waits for
	// a better target: up to an eighth, waiting costs callers nothing.
	patienceDivisor = 5
	// askAgain is the pause before the targets are asked once more.
	askAgain = 6 * time.Millisecond
)

// settle decides on a request that no target is expected to answer in time. Where
// a slot is free, a late answer is better than none. Elsewhere it would make other
// requests late as well.
func (j *job) settle(best routing.Candidate, asks, asked int) (routing.Candidate, *refusal) {
	if best.Estimate.HasFreeSlot && best.Estimate.Duration < time.Until(j.until) {
		return j.picked(best, asks, asked), nil
	}
	j.d.Log.Info("targets full", j.fields(zap.Int("asked", asked), zap.Int("asks", asks), zap.Object("best", pickedFields(best)))...)
	return routing.Candidate{}, &refusal{status: http.StatusServiceUnavailable, cause: CauseFull, retryAfter: j.comeBack()}
}

// comeBack advises a caller to ask again while an answer can still be in time.
func (j *job) comeBack() time.Duration {
	spare := time.Until(j.due) - j.state.expected(j.rule.Objective)
	return min(max(spare/2, minRetryAfter), maxRetryAfter)
}

func (j *job) pickRequest() routing.ProbingRequest {
	return routing.ProbingRequest{
		Service:    j.service.Name,
		HealthPath: j.service.HealthPath,
		Exclude:    j.tried,
		Work: routing.Work{
			ServiceTime: j.state.expected(j.rule.Objective),
			TimeLeft:    time.Until(j.due),
			Bytes:   int64(len(j.body)) + expectedOverhead,
		},
	}
}

func (j *job) picked(best routing.Candidate, asks, asked int) routing.Candidate {
	j.d.Log.Info("target picked", j.fields(zap.Int("asked", asked), zap.Int("asks", asks), zap.Object("target", pickedFields(best)))...)
	return best
}

// expectedOverhead is what request header and answer usually have, in bytes.
const expectedOverhead = 2200

func (j *job) noTarget(last refusal, err error) *refusal {
	if last.cause != "" {
		return &last
	}
	j.d.Log.Info("no target", j.fields(zap.Error(err))...)
	return &refusal{status: http.StatusServiceUnavailable, cause: CauseNoTarget, retryAfter: absentRetryAfter}
}
