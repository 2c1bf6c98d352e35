package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/front"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// job is one request on its way. One goroutine owns it.
type job struct {
	d        *Dispatcher
	in       *front.Request
	id       string
	rule     *route.Rule
	service  route.Service
	state    *service
	limits   route.Limits
	revision model.Revision
	// due is when the answer loses most of its worth, until when nobody waits for
	// it any more.
	due, until time.Time

	// body is the whole body if it is held; else stream holds the rest of it.
	body   []byte
	stream io.Reader
	tried  []model.TargetID
	// arrivals counts the targets that the request has reached, ran is set once
	// one of them may have run it.
	arrivals int
	ran      bool
}

// run serves the request until its final answer.
func (j *job) run(ctx context.Context) *front.Answer {
	j.state.received()
	if why, ok := j.takeBody(); !ok {
		return j.giveUp(why)
	}
	work, cancel := j.deadlineContext(ctx)
	var last refusal
	for {
		next, why := j.choose(work, last)
		if why != nil {
			cancel()
			return j.finish(ctx, *why)
		}
		out := j.send(work, cancel, next)
		if out.answer != nil {
			return out.answer
		}
		last = out.why
		if !j.mayFollow(work, out) {
			cancel()
			return j.finish(ctx, last)
		}
	}
}

// deadlineContext bounds the work. Work that may repeat ends when its caller
// leaves; other work that has begun is worth more finished than broken off.
func (j *job) deadlineContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if j.rule.Class != model.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, j.until)
}

// takeBody reads the body, or the beginning of one that is too large to hold.
func (j *job) takeBody() (refusal, bool) {
	req := j.in.HTTP
	limit := j.limits.BodyBytes
	if limit > 0 && req.ContentLength > limit {
		return refusal{status: http.StatusRequestEntityTooLarge, cause: CauseBodyLarge}, false
	}
	j.in.BodyDeadline(j.until)
	defer j.in.BodyDeadline(time.Time{})
	held := bytes.NewBuffer(make([]byte, 0, max(0, min(req.ContentLength, holdBody))))
	_, err := io.CopyN(held, req.Body, holdBody)
	switch {
	case err == nil:
		j.stream = io.MultiReader(bytes.NewReader(held.Bytes()), req.Body)
	case err == io.EOF:
		j.body = held.Bytes()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal{status: http.StatusRequestTimeout, cause: CauseBodyLate}, false
	default:
		return refusal{cause: CauseBodyBroken}, false
	}
	return refusal{}, true
}

// finish answers a request for which no further attempt is made.
func (j *job) finish(ctx context.Context, why refusal) *front.Answer {
	if ctx.Err() != nil {
		why = refusal{cause: CauseCallerGone}
	}
	if j.ran && why.status != http.StatusGatewayTimeout && why.status != 0 {
		why.status, why.retryAfter = http.StatusBadGateway, 0
	}
	return j.giveUp(why)
}

// giveUp answers with a refusal; one without a status closes the connection.
func (j *job) giveUp(why refusal) *front.Answer {
	j.d.Meters.refused(j.service.Name, why.cause)
	j.d.Log.Info("request refused", j.fields(zap.Int("status", why.status), zap.String("cause", string(why.cause)),
		zap.Duration("retry_after", why.retryAfter), zap.Bool("may_have_run", j.ran))...)
	if why.status == 0 {
		return nil
	}
	return j.d.refuse(j.id, why)
}

func (j *job) answered(c routing.Candidate, a *front.Answer, took time.Duration) {
	held := time.Since(j.in.ReceivedAt)
	j.d.Meters.answered(j.service.Name, j.rule.Class, a.Status, held)
	j.d.Log.Info("request answered", j.fields(zap.String("by", string(c.Endpoint.Target.ID)), zap.Int("status", a.Status),
		zap.Duration("took", took), zap.Duration("held", held), zap.Bool("late", time.Now().After(j.due)))...)
}
