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

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// forwarder forwards one request and holds its state across attempts. It is used by one
// goroutine.
type forwarder struct {
	d         *Dispatcher
	inbound   *httpserver.Request
	requestID string
	rule      *route.Rule
	service   route.Service
	state     *serviceState
	limits    route.Limits
	revision  model.Revision
	// contended is set if requests of different priority compete for the service's targets.
	contended bool
	// durations are those from which the request's work is estimated.
	durations *limit.LatencyWindow
	caller    caller
	// callerCtx ends when the caller disconnects.
	callerCtx context.Context
	// organisation is the one on whose behalf the request was sent, or nil.
	organisation *route.Organisation
	// permit is the part of the organisation's quota that the next attempt uses, or nil.
	permit limit.QuotaPermit
	// objectiveDeadline is the time by which a response meets the rule's latency
	// objective, deadline the time after which the caller no longer waits.
	objectiveDeadline, deadline time.Time

	// body is the complete request body if it was buffered. A larger body is read from
	// stream, which starts with the bytes in bodyPrefix.
	body       []byte
	bodyPrefix []byte
	stream     *streamedBody
	// bodyHeld is the size in bytes of the buffer of body or bodyPrefix, reserved in the account
	// of the caller's connection.
	bodyHeld int64
	// knownFingerprint is the result of fingerprint, or empty before its first call.
	knownFingerprint quarantine.Fingerprint
	triedTargets     []model.TargetID
	// deliveries counts the attempts that a target received or may have received.
	// mayHaveRun is set once a target may have run the request.
	deliveries int
	mayHaveRun bool
}

// run makes attempts until one gives a response or no further attempt may be made, and
// returns the response. Nil closes the caller's connection without a response.
func (f *forwarder) run(ctx context.Context) (response *httpserver.Response) {
	f.state.countRequest()
	f.callerCtx = ctx
	account := f.inbound.Account
	defer func() { account.Release(f.bodyHeld) }()
	if reply, ok := f.bufferBody(); !ok {
		return f.sendLocalReply(reply)
	}
	if !account.BeginExchange() {
		return f.sendLocalReply(localReply{status: http.StatusServiceUnavailable, cause: CauseCallersLimited, retryAfter: callersRetryAfter})
	}
	defer func() {
		// A remaining body ends the exchange when it is closed.
		if response == nil || response.Remainder == nil {
			account.EndExchange()
		}
	}()
	workCtx, cancel := f.deadlineContext(ctx)
	defer f.releasePermit()
	var lastFailure localReply
	for {
		var candidate routing.Candidate
		reply := firstReply(f.checkKey, f.checkQuarantine, f.checkQuota)
		if reply == nil {
			candidate, reply = f.selectTarget(workCtx, lastFailure)
		}
		if reply == nil {
			acquire := func() *localReply { return f.acquirePermit(workCtx) }
			reply = firstReply(acquire, f.checkKey, f.checkWait)
		}
		if reply != nil {
			cancel()
			return f.finishFailed(ctx, *reply)
		}
		out := f.attempt(workCtx, cancel, candidate)
		if out.response != nil {
			return out.response
		}
		lastFailure = out.reply
		if !f.mayRetry(workCtx, out) {
			cancel()
			return f.finishFailed(ctx, lastFailure)
		}
	}
}

// firstReply returns the first reply that one of the checks gives, or nil.
func firstReply(checks ...func() *localReply) *localReply {
	for _, check := range checks {
		if reply := check(); reply != nil {
			return reply
		}
	}
	return nil
}

// deadlineContext returns the context of the attempts, which ends at the request's
// deadline or with the server. For idempotent requests it also ends when the caller
// disconnects; other requests may have started to run, and completing them is better than
// breaking them off.
func (f *forwarder) deadlineContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if f.rule.Class != model.Idempotent {
		if ctx = f.inbound.Lifetime; ctx == nil {
			ctx = context.Background()
		}
	}
	return context.WithDeadline(ctx, f.deadline)
}

// bufferBody reads the request body, or the beginning of one that is larger than
// maxBufferedBody. It reports false with a local reply if the body is too large, late or
// broken.
func (f *forwarder) bufferBody() (localReply, bool) {
	req := f.inbound.HTTP
	limit := f.limits.BodyBytes
	if limit > 0 && req.ContentLength > limit {
		return localReply{status: http.StatusRequestEntityTooLarge, cause: CauseBodyTooLarge}, false
	}
	f.inbound.BodyDeadline(f.deadline)
	defer f.inbound.BodyDeadline(time.Time{})
	body := req.Body
	if limit > 0 {
		body = http.MaxBytesReader(nil, body, limit)
	}
	buffered, err := f.readBody(body)
	var noMemory httpserver.NoMemoryError
	switch {
	case err == nil:
		f.bodyPrefix = buffered
		f.stream = &streamedBody{src: io.MultiReader(bytes.NewReader(buffered), body), inbound: req.Body}
	case err == io.EOF:
		f.body = buffered
	case errors.As(err, &noMemory):
		return localReply{status: http.StatusServiceUnavailable, cause: CauseCallersLimited, retryAfter: callersRetryAfter}, false
	case exceedsBodyLimit(err):
		return localReply{status: http.StatusRequestEntityTooLarge, cause: CauseBodyTooLarge}, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return localReply{status: http.StatusRequestTimeout, cause: CauseBodyLate}, false
	case isMalformedBody(err):
		return localReply{status: http.StatusBadRequest, cause: CauseMalformed}, false
	default:
		return localReply{cause: CauseBodyBroken}, false
	}
	return localReply{}, true
}

// readBody reads the body up to one byte more than maxBufferedBody. The error is nil if it is
// that long, else that of the body's end or httpserver.NoMemoryError. Its buffer grows with what
// arrives, so that a caller that announces a body and doesn't send it holds little.
func (f *forwarder) readBody(body io.Reader) ([]byte, error) {
	var buffered []byte
	announced := f.inbound.HTTP.ContentLength
	if announced == 0 {
		announced = maxBufferedBody
	}
	for {
		if len(buffered) == cap(buffered) {
			size := min(max(firstBodyBuffer, 2*cap(buffered)), maxBufferedBody+1)
			if announced > int64(len(buffered)) {
				size = int(min(int64(size), announced))
			}
			if !f.inbound.Account.Reserve(int64(size)) {
				return nil, httpserver.NoMemoryError{}
			}
			grown := append(make([]byte, 0, size), buffered...)
			f.inbound.Account.Release(int64(cap(buffered)))
			f.bodyHeld, buffered = int64(size), grown
		}
		n, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if err != nil {
			return buffered, err
		}
		if len(buffered) > maxBufferedBody {
			return buffered, nil
		}
	}
}

// checkQuarantine returns the reply to a quarantined request, or nil.
func (f *forwarder) checkQuarantine() *localReply {
	if f.d.Quarantine.Empty() {
		return nil
	}
	until, found := f.d.Quarantine.Find(f.fingerprint())
	if !found {
		return nil
	}
	return &localReply{status: http.StatusServiceUnavailable, cause: CauseQuarantined, retryAfter: time.Until(until)}
}

// checkWait returns the reply to a request that must not wait any longer, or be sent after a wait,
// or nil.
func (f *forwarder) checkWait() *localReply { return firstReply(f.checkShutdown, f.checkCaller) }

// maxGoneWait is how long a request may have waited that is sent though its caller has closed its
// side of the connection: one that only sends no more still reads the response.
const maxGoneWait = 250 * time.Millisecond

// checkCaller returns the reply to a request that no target has run, that has waited and whose
// caller has disconnected, or nil.
func (f *forwarder) checkCaller() *localReply {
	if f.mayHaveRun || f.callerCtx.Err() == nil || time.Since(f.inbound.ReceivedAt) < maxGoneWait {
		return nil
	}
	return &localReply{cause: CauseCallerGone}
}

// checkShutdown returns the reply to a request that no target has run and that the end of the
// shutdown might break off, or nil.
func (f *forwarder) checkShutdown() *localReply {
	times := f.d.shutdown.Load()
	if times == nil || f.mayHaveRun || time.Now().Before(times.lastStart) || f.deadline.Before(times.end) {
		return nil
	}
	return &localReply{status: http.StatusServiceUnavailable, cause: CauseShuttingDown, retryAfter: shutdownRetryAfter}
}

// fingerprint returns what identifies the request in all attempts, repeats by the caller
// and instances. Of the caller only the organisation is known, of a streamed body only the
// first maxBufferedBody bytes and the length.
func (f *forwarder) fingerprint() quarantine.Fingerprint {
	if f.knownFingerprint != "" {
		return f.knownFingerprint
	}
	body, length := f.body, ""
	if f.stream != nil {
		body, length = f.bodyPrefix, strconv.FormatInt(f.inbound.HTTP.ContentLength, 10)
	}
	var organisation string
	if f.organisation != nil {
		organisation = string(f.organisation.Name)
	}
	digest := quarantine.Digest(body, organisation, f.inbound.HTTP.Method, f.inbound.HTTP.Host, f.inbound.Path, f.inbound.Query, length)
	f.knownFingerprint = quarantine.NewFingerprint(digest)
	return f.knownFingerprint
}

// exceedsBodyLimit reports whether the read of a body ended at the limit on its size.
func exceedsBodyLimit(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

// isMalformedBody reports whether the read of a body ended because it breaks the protocol.
func isMalformedBody(err error) bool {
	var malformed *httpserver.MalformedBodyError
	return errors.As(err, &malformed)
}

// mayResendBody reports whether another attempt would send the whole body. If the body is
// streamed, it ends the current attempt's use of it.
func (f *forwarder) mayResendBody() bool { return f.stream == nil || f.stream.release() }

// finishFailed returns the response to a request for which no further attempt is made. If
// a target may have run the request, the status is 504 after a timeout, else 502 without
// Retry-After, so that the caller does not take the request for unsent. If the caller has
// disconnected, there is no response; at the end of a shutdown there is one.
func (f *forwarder) finishFailed(ctx context.Context, reply localReply) *httpserver.Response {
	switch {
	case ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), httpserver.ClosedError{}):
		reply = localReply{status: http.StatusServiceUnavailable, cause: CauseShuttingDown, retryAfter: shutdownRetryAfter}
	default:
		reply = localReply{cause: CauseCallerGone}
	}
	if f.mayHaveRun && reply.status != http.StatusGatewayTimeout && reply.status != 0 {
		reply.status, reply.retryAfter = http.StatusBadGateway, 0
	}
	return f.sendLocalReply(reply)
}

// sendLocalReply logs and counts a local reply and returns its response. For a reply
// without a status it returns nil, which closes the connection.
func (f *forwarder) sendLocalReply(reply localReply) *httpserver.Response {
	f.d.Metrics.countRefused(f.service.Name, reply.cause)
	f.d.Log.Info("request refused", f.logFields(zap.Int("status", reply.status), zap.String("cause", string(reply.cause)),
		zap.Duration("retry_after", reply.retryAfter), zap.Bool("may_have_run", f.mayHaveRun))...)
	if reply.status == 0 {
		return nil
	}
	return f.d.buildLocalReply(f.requestID, reply)
}

// logResponse logs and counts a response that is passed on to the caller.
func (f *forwarder) logResponse(c routing.Candidate, response *httpserver.Response, elapsed time.Duration) {
	held := time.Since(f.inbound.ReceivedAt)
	f.inbound.Account.Progress()
	f.d.Metrics.observeResponse(f.service.Name, f.rule.Class, response.Status, held)
	f.d.Log.Info("request answered", f.logFields(zap.String("by", string(c.Endpoint.Target.ID)), zap.Int("status", response.Status),
		zap.Duration("took", elapsed), zap.Duration("held", held), zap.Bool("late", time.Now().After(f.objectiveDeadline)))...)
}
