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

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// outcome is the result of one attempt: either a response, or the reply that the caller
// gets unless another attempt follows.
type outcome struct {
	response *httpserver.Response
	reply    localReply
	// budgetExempt is set if a retry is neither checked against the maximum of attempts
	// nor charged to the retry budget: the request reached no target, or mayRetry has
	// already charged it.
	budgetExempt bool
	// retryable is set if another attempt is allowed at all.
	retryable bool
}

// mayRetry reports whether another attempt may follow one without a response. It charges
// the retry budget unless the outcome is exempt.
func (f *forwarder) mayRetry(ctx context.Context, out outcome) bool {
	if !out.retryable || ctx.Err() != nil || len(f.triedTargets) >= maxTriedTargets {
		return false
	}
	if out.budgetExempt {
		return true
	}
	if f.deliveries >= f.rule.MaxAttempts {
		return false
	}
	if !f.state.spendRetry() {
		f.d.Metrics.countRetryDenied(f.service.Name)
		f.d.Log.Info("resend denied", f.logFields(zap.String("cause", string(out.reply.cause)))...)
		return false
	}
	f.d.Metrics.countRetry(f.service.Name, out.reply.cause)
	f.d.Log.Info("request sent once more", f.logFields(zap.String("cause", string(out.reply.cause)))...)
	return true
}

// maxTriedTargets bounds the targets that are tried for one request, unreachable ones
// included.
const maxTriedTargets = 4

// targetHeader returns the request header for a target: the caller's fields without
// hop-by-hop fields and key, the remaining time in milliseconds, the organisation, and the
// ID of the only target that may run the request.
func (f *forwarder) targetHeader(target model.TargetID) http.Header {
	protocol := f.d.Protocol
	h := make(http.Header, len(f.inbound.HTTP.Header)+3)
	for name, values := range f.inbound.HTTP.Header {
		h[name] = values
	}
	upstream.DropHopByHop(h)
	f.caller.mark(h, protocol.Organisation)
	if _, present := h["User-Agent"]; !present {
		h["User-Agent"] = []string{""}
	}
	remaining := max(1, time.Until(f.deadline).Milliseconds())
	h[protocol.Deadline] = []string{strconv.FormatInt(remaining, 10)}
	h[protocol.ExpectedTarget] = []string{string(target)}
	return h
}

// newCall returns the call to a target. A streamed body is sent on a new connection that
// is not reused.
func (f *forwarder) newCall(c routing.Candidate) upstream.Call {
	call := upstream.Call{
		Endpoint:   c.Endpoint,
		Method:     f.inbound.HTTP.Method,
		Host:       f.inbound.HTTP.Host,
		Path:       f.inbound.Path,
		Query:      f.inbound.Query,
		ForceQuery: f.inbound.ForceQuery,
		Header:     f.targetHeader(c.Endpoint.Target.ID),
		MaxIdle:    maxReuseIdle,
		KeepAlive:  true,
	}
	if c.ColdPermit != nil {
		call.Commit = c.ColdPermit.Valid
	}
	if f.stream != nil {
		reader := f.stream.newReader()
		call.Body, call.ContentLength, call.OnClose = reader, f.inbound.HTTP.ContentLength, reader.stop
		call.MaxIdle, call.KeepAlive = 0, false
		return call
	}
	call.Body, call.ContentLength = bytes.NewReader(f.body), int64(len(f.body))
	return call
}

// attempt sends the request to one target and returns the outcome. If that is a response,
// cancel is called once its body has been read or closed.
func (f *forwarder) attempt(ctx context.Context, cancel context.CancelFunc, c routing.Candidate) outcome {
	f.triedTargets = append(f.triedTargets, c.Endpoint.Target.ID)
	c.Endpoint.Load.Begin()
	deciding := f.sendTo(ctx, c)
	c, result, err := deciding.candidate, deciding.result, deciding.err
	e := c.Endpoint
	if err != nil {
		e.Load.End()
		return f.classifyError(ctx, c, err)
	}
	f.deliveries++
	if result.Shed {
		_ = result.Body.Close()
		e.Load.End()
		e.Load.Reliability.Observe(false, routing.Monotonic())
		f.d.Log.Info("target declined", f.logFields(zap.Object("target", candidateFields(c)), zap.Int("status", result.Status))...)
		return outcome{retryable: f.mayResendBody(), reply: localReply{status: http.StatusServiceUnavailable, cause: CauseTargetsDeclined, retryAfter: busyRetryAfter}}
	}
	f.mayHaveRun, f.permit = true, nil
	return f.receiveResponse(ctx, cancel, c, result, deciding.startedAt)
}

// classifyError returns the outcome of an attempt that failed before a response arrived.
func (f *forwarder) classifyError(ctx context.Context, c routing.Candidate, err error) outcome {
	failed := f.recordFailure(ctx, c, err)
	if !failed.Sent {
		reply := localReply{status: http.StatusServiceUnavailable, cause: CauseTargetsUnreachable, retryAfter: busyRetryAfter}
		return outcome{retryable: f.mayResendBody(), budgetExempt: true, reply: reply}
	}
	f.deliveries++
	f.permit = nil
	if f.stream != nil {
		switch bodyErr := f.stream.err(); {
		case exceedsBodyLimit(bodyErr):
			return outcome{reply: localReply{status: http.StatusRequestEntityTooLarge, cause: CauseBodyTooLarge}}
		case isMalformedBody(bodyErr):
			return outcome{reply: localReply{status: http.StatusBadRequest, cause: CauseMalformed}}
		}
	}
	return f.classifyUnknownOutcome(failed)
}

// classifyUnknownOutcome returns the outcome of an attempt that the target may have run
// but did not answer completely. Only idempotent requests whose body can be sent again are
// retried.
func (f *forwarder) classifyUnknownOutcome(failed *upstream.CallError) outcome {
	f.mayHaveRun = true
	retryable := f.rule.Class == model.Idempotent && f.mayResendBody()
	return outcome{retryable: retryable, reply: f.unknownOutcomeReply(failed.Reason)}
}

// recordFailure logs a failed attempt and counts it against the target's reliability,
// unless the gateway cancelled it or the caller's body ended it. It returns the error as *upstream.CallError; an error
// of another type counts as a connection that was lost after the request was sent. If the
// connection was lost, it checks whether the target has ended.
func (f *forwarder) recordFailure(ctx context.Context, c routing.Candidate, err error) *upstream.CallError {
	var failed *upstream.CallError
	if !errors.As(err, &failed) {
		failed = &upstream.CallError{Reason: upstream.ConnectionLost, Sent: true, Cause: err}
	}
	f.d.Log.Info("attempt failed", f.logFields(zap.Object("target", candidateFields(c)),
		zap.Stringer("reason", failed.Reason), zap.Bool("sent", failed.Sent), zap.Error(failed.Cause))...)
	if f.stream != nil && f.stream.endedBy(failed.Reason) {
		return failed
	}
	if failed.Sent && failed.Reason == upstream.ConnectionLost && f.d.Upstream.HasEnded(ctx, c.Endpoint) {
		f.recordTargetEnd(c)
	}
	if failed.Reason != upstream.Cancelled && failed.Reason != upstream.NotCommitted {
		c.Endpoint.Load.Reliability.Observe(false, routing.Monotonic())
	}
	return failed
}

// recordTargetEnd reports, logs and counts a target that ended while it had the request.
func (f *forwarder) recordTargetEnd(c routing.Candidate) {
	fingerprint, target := f.fingerprint(), c.Endpoint.Target
	f.d.Quarantine.ReportEnd(fingerprint, target.Process())
	f.d.Metrics.countTargetEnded(f.service.Name)
	f.d.Log.Warn("target ended under request", f.logFields(zap.String("fingerprint", string(fingerprint)),
		zap.Object("target", candidateFields(c)))...)
}

// unknownOutcomeReply returns the reply for a request that a target may have run with an
// unknown outcome: 504 after a timeout, else 502.
func (f *forwarder) unknownOutcomeReply(reason upstream.Reason) localReply {
	if reason == upstream.TimedOut {
		return localReply{status: http.StatusGatewayTimeout, cause: CauseTimedOut}
	}
	return localReply{status: http.StatusBadGateway, cause: CauseOutcomeUnknown}
}

// receiveResponse reads the response body, or its first responsePrefixBytes, and returns
// the outcome. A response whose status promises callers that the request was not run is
// replaced: the target didn't state that. A server error of an idempotent request is retried if the response body was
// read completely, the request body can be sent again and the retry budget allows it.
func (f *forwarder) receiveResponse(ctx context.Context, cancel context.CancelFunc, c routing.Candidate, result *upstream.Response, startedAt time.Time) outcome {
	body, complete, err := readPrefix(result.Body, result.ContentLength)
	if err != nil {
		_ = result.Body.Close()
		c.Endpoint.Load.End()
		return f.classifyUnknownOutcome(f.recordFailure(ctx, c, err))
	}
	elapsed := time.Since(startedAt)
	failed := result.Status >= minServerError || promisesNotRun(result.Status)
	c.Endpoint.Load.Reliability.Observe(!failed, routing.Monotonic())
	if promisesNotRun(result.Status) {
		_ = result.Body.Close()
		c.Endpoint.Load.End()
		f.d.Log.Info("target failed with the status of a refusal", f.logFields(zap.Object("target", candidateFields(c)),
			zap.Int("status", result.Status), zap.Duration("took", elapsed))...)
		return f.failedOutcome()
	}
	response := &httpserver.Response{Status: result.Status, Header: result.Header, Body: body}
	if complete {
		f.recordEnd(result.Status)
		_ = result.Body.Close()
		c.Endpoint.Load.End()
		if failed && f.rule.Class == model.Idempotent && f.mayResendBody() {
			if out := (outcome{retryable: true, reply: localReply{status: result.Status, cause: CauseTargetsFailed}}); f.mayRetry(ctx, out) {
				return outcome{retryable: true, budgetExempt: true, reply: out.reply}
			}
		}
		cancel()
	} else {
		response.ContentLength = result.ContentLength
		remainder := &trackedBody{
			ReadCloser: result.Body,
			onEnd:      func() { f.recordEnd(result.Status) },
			onBroken:   func(err error) *upstream.CallError { return f.recordFailure(ctx, c, err) },
			onClose: func() {
				c.Endpoint.Load.End()
				cancel()
				f.inbound.Account.EndExchange()
			},
		}
		response.Remainder = remainder
		response.OnBroken = func(err error) *httpserver.Response {
			return f.sendLocalReply(f.unknownOutcomeReply(remainder.broken(err).Reason))
		}
		if f.rule.Class == model.Idempotent {
			response.OnTooLong = func() *httpserver.Response {
				return f.sendLocalReply(localReply{status: http.StatusBadGateway, cause: CauseResponseTooLong})
			}
		}
	}
	f.observe(c, elapsed)
	f.logResponse(c, response, elapsed)
	return outcome{response: response}
}

// failedOutcome returns the outcome of an attempt whose target ran the request and failed.
func (f *forwarder) failedOutcome() outcome {
	retryable := f.rule.Class == model.Idempotent && f.mayResendBody()
	return outcome{retryable: retryable, reply: localReply{status: http.StatusBadGateway, cause: CauseTargetsFailed}}
}

// promisesNotRun reports whether a status tells callers that the request was not run and
// never will be, so that they may send any request again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// recordEnd reports the end of a response to the quarantine. Only a success shows that a target
// survived the request: a failure or rejection may be given without running it.
func (f *forwarder) recordEnd(status int) {
	if status < minClientError && !f.d.Quarantine.Empty() {
		f.d.Quarantine.ReportSuccess(f.fingerprint())
	}
}

// minClientError is the lowest status code of a rejected request.
const minClientError = 400

// trackedBody is the remaining body of a response. It is used by one goroutine.
type trackedBody struct {
	io.ReadCloser
	// onEnd is called when the body was read to its end, onBroken when it breaks off, onClose
	// when it is closed.
	onEnd    func()
	onBroken func(error) *upstream.CallError
	onClose  func()
	// failure is the result of onBroken, or nil before.
	failure *upstream.CallError
}

// Read implements io.Reader.
func (r *trackedBody) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		r.onEnd()
	default:
		r.broken(err)
	}
	return n, err
}

// broken records once that the body has broken off.
func (r *trackedBody) broken(err error) *upstream.CallError {
	if r.failure == nil {
		r.failure = r.onBroken(err)
	}
	return r.failure
}

// Close implements io.Closer. It must be called once.
func (r *trackedBody) Close() error {
	defer r.onClose()
	return r.ReadCloser.Close()
}

// readPrefix reads a response body up to responsePrefixBytes and reports whether that was
// all of it.
func readPrefix(r io.Reader, length int64) (body []byte, complete bool, err error) {
	buf := bytes.NewBuffer(make([]byte, 0, max(0, min(length, responsePrefixBytes))+bytes.MinRead))
	_, err = io.CopyN(buf, r, responsePrefixBytes)
	if err == io.EOF {
		return buf.Bytes(), true, nil
	}
	return buf.Bytes(), false, err
}
