package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/front"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
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
		var spent *routing.ProbesSpentError
		if !errors.As(err, &spent) {
			candidates = heard
		}
		if len(candidates) == 0 && (last.cause != "" || ctx.Err() != nil || time.Until(patience) < askAgain) {
			return routing.Candidate{}, j.noTarget(last, err)
		}
		if len(candidates) == 0 {
			wait(ctx, askAgain)
			continue
		}
		best := candidates[0]
		if spent == nil && (best.InTime(req.Work) || best.Err != nil) {
			return j.picked(best, asks, len(candidates)), nil
		}
		if time.Until(patience) < askAgain || ctx.Err() != nil {
			return j.settle(best, asks, len(candidates))
		}
		wait(ctx, askAgain)
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
	if best.Estimate.Free && best.Estimate.Duration < time.Until(j.until) {
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

func (j *job) pickRequest() routing.FreshRequest {
	return routing.FreshRequest{
		Service:    j.service.Name,
		HealthPath: j.service.HealthPath,
		Exclude:    j.tried,
		Work: routing.Work{
			Typical: j.state.expected(j.rule.Objective),
			Left:    time.Until(j.due),
			Bytes:   int64(len(j.body)) + expectedOverhead,
		},
	}
}

func (j *job) picked(best routing.Candidate, asks, asked int) routing.Candidate {
	j.d.Log.Info("target picked", j.fields(zap.Int("asked", asked), zap.Int("asks", asks), zap.Object("target", pickedFields(best)))...)
	return best
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
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

// outcome is how one attempt ended: with an answer, or with what the caller is
// told unless another attempt follows.
type outcome struct {
	answer *front.Answer
	why    refusal
	// free is set if nothing reached a target, so that another attempt is no
	// further arrival.
	free bool
	// again is set if another attempt may follow at all.
	again bool
}

// mayFollow reports whether another attempt may follow one without an answer.
func (j *job) mayFollow(ctx context.Context, out outcome) bool {
	if !out.again || ctx.Err() != nil || len(j.tried) >= maxTried {
		return false
	}
	if out.free {
		return true
	}
	if j.arrivals >= j.rule.MaxAttempts {
		return false
	}
	if !j.state.spend() {
		j.d.Meters.budgetSpent(j.service.Name)
		j.d.Log.Info("resend denied", j.fields(zap.String("cause", string(out.why.cause)))...)
		return false
	}
	j.d.Meters.resent(j.service.Name, out.why.cause)
	j.d.Log.Info("request sent once more", j.fields(zap.String("cause", string(out.why.cause)))...)
	return true
}

// maxTried bounds the targets that one request tries, unreachable ones included.
const maxTried = 4

// header returns the header for a target.
func (j *job) header(target model.TargetID) http.Header {
	signals := j.d.Signals
	h := make(http.Header, len(j.in.HTTP.Header)+3)
	for name, values := range j.in.HTTP.Header {
		h[name] = values
	}
	upstream.DropHopByHop(h)
	if _, named := h["User-Agent"]; !named {
		h["User-Agent"] = []string{""}
	}
	left := max(1, time.Until(j.until).Milliseconds())
	h[signals.Deadline] = []string{strconv.FormatInt(left, 10)}
	h[signals.Expect] = []string{string(target)}
	return h
}

func (j *job) call(c routing.Candidate) upstream.Call {
	call := upstream.Call{
		Endpoint: c.Endpoint,
		Method:   j.in.HTTP.Method,
		Host:     j.in.HTTP.Host,
		Path:     j.in.Path,
		Query:    j.in.Query,
		Header:   j.header(c.Endpoint.Target.ID),
		MaxIdle:  reuseIdle,
		Keep:     true,
	}
	if j.stream != nil {
		call.Body, call.ContentLength = j.stream, j.in.HTTP.ContentLength
		call.MaxIdle, call.Keep = 0, false
		return call
	}
	call.Body, call.ContentLength = bytes.NewReader(j.body), int64(len(j.body))
	return call
}

// send tries one target.
func (j *job) send(ctx context.Context, cancel context.CancelFunc, c routing.Candidate) outcome {
	e := c.Endpoint
	j.tried = append(j.tried, e.Target.ID)
	e.Load.Begin()
	startedAt := time.Now()
	result, err := j.d.Upstream.Do(ctx, j.call(c))
	if err != nil {
		e.Load.End()
		return j.broke(c, err)
	}
	j.arrivals++
	if result.Shed {
		_ = result.Body.Close()
		e.Load.End()
		e.Load.Reliability.Observe(false, routing.Monotonic())
		j.d.Log.Info("target declined", j.fields(zap.Object("target", pickedFields(c)), zap.Int("status", result.Status))...)
		return outcome{again: j.stream == nil, why: refusal{status: http.StatusServiceUnavailable, cause: CauseNotRun, retryAfter: busyRetryAfter}}
	}
	j.ran = true
	return j.receive(ctx, cancel, c, result, startedAt)
}

// broke judges an attempt without an answer.
func (j *job) broke(c routing.Candidate, err error) outcome {
	failed := j.failure(c, err)
	if !failed.Sent {
		why := refusal{status: http.StatusServiceUnavailable, cause: CauseUnreachable, retryAfter: busyRetryAfter}
		return outcome{again: true, free: true, why: why}
	}
	j.arrivals++
	return j.lost(failed)
}

// lost judges an attempt that a target may have run without a whole answer.
func (j *job) lost(failed *upstream.CallError) outcome {
	j.ran = true
	return outcome{again: j.rule.Class == model.Idempotent, why: j.unknown(failed.Reason)}
}

// failure takes note of how an attempt failed.
func (j *job) failure(c routing.Candidate, err error) *upstream.CallError {
	var failed *upstream.CallError
	if !errors.As(err, &failed) {
		failed = &upstream.CallError{Reason: upstream.Broken, Sent: true, Cause: err}
	}
	j.d.Log.Info("attempt failed", j.fields(zap.Object("target", pickedFields(c)),
		zap.Stringer("reason", failed.Reason), zap.Bool("sent", failed.Sent), zap.Error(failed.Cause))...)
	if failed.Reason != upstream.Cancelled {
		c.Endpoint.Load.Reliability.Observe(false, routing.Monotonic())
	}
	return failed
}

// unknown says what a caller is told of work whose outcome nobody knows.
func (j *job) unknown(reason upstream.Reason) refusal {
	if reason == upstream.TimedOut {
		return refusal{status: http.StatusGatewayTimeout, cause: CauseTimeout}
	}
	return refusal{status: http.StatusBadGateway, cause: CauseUnknown}
}

// receive reads an answer, whole if it is short.
func (j *job) receive(ctx context.Context, cancel context.CancelFunc, c routing.Candidate, result *upstream.Result, startedAt time.Time) outcome {
	body, whole, err := ahead(result.Body, result.ContentLength)
	if err != nil {
		_ = result.Body.Close()
		c.Endpoint.Load.End()
		return j.lost(j.failure(c, err))
	}
	took := time.Since(startedAt)
	failed := result.Status >= http.StatusInternalServerError
	c.Endpoint.Load.Reliability.Observe(!failed, routing.Monotonic())
	answer := &front.Answer{Status: result.Status, Header: result.Header, Body: body}
	if whole {
		_ = result.Body.Close()
		c.Endpoint.Load.End()
		if failed && j.rule.Class == model.Idempotent {
			if out := (outcome{again: true, why: refusal{status: result.Status, cause: CauseFailed}}); j.mayFollow(ctx, out) {
				return outcome{again: true, free: true, why: out.why}
			}
		}
		cancel()
	} else {
		answer.Length = result.ContentLength
		answer.Rest = &rest{ReadCloser: result.Body, end: func() { c.Endpoint.Load.End(); cancel() }}
	}
	j.state.learn(c, took)
	j.answered(c, answer, took)
	return outcome{answer: answer}
}

// rest is the remaining body of an answer.
type rest struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer. It is called once.
func (r *rest) Close() error {
	defer r.end()
	return r.ReadCloser.Close()
}

// ahead reads an answer's body up to readAhead and reports whether that is all.
func ahead(r io.Reader, length int64) (body []byte, whole bool, err error) {
	buf := bytes.NewBuffer(make([]byte, 0, max(0, min(length, readAhead))+bytes.MinRead))
	_, err = io.CopyN(buf, r, readAhead)
	if err == io.EOF {
		return buf.Bytes(), true, nil
	}
	return buf.Bytes(), false, err
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
