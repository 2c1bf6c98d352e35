package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/front"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

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
