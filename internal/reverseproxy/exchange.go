package reverseproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// exchange is one attempt for which a response header was received. Its owner
// reads the response and closes it once. It is not safe for concurrent use.
type exchange struct {
	server   *Server
	request  *request
	endpoint *routing.Endpoint
	response *upstream.Response
	latency  time.Duration
	outcome  health.Outcome
	// buffered is the part of the response body that was read ahead and not yet
	// returned by Read.
	buffered []byte
	// complete is set once the response body was read to its end.
	complete bool
	// onRead, if set, is called with the number of bytes of each read of the
	// response body.
	onRead func(bytes int)
	// cancel, if set, releases the context of the attempt.
	cancel context.CancelFunc
	closed bool
}

// doExchange sends one call to a selected target. If it fails, the target's slot
// is released; otherwise it is released when the returned exchange is closed.
func (s *Server) doExchange(ctx context.Context, r *request, call upstream.Call) (*exchange, *upstream.CallError) {
	startedAt := time.Now()
	response, err := s.upstream.Do(ctx, call)
	latency := time.Since(startedAt)
	if err != nil {
		callErr := asCallError(call.Endpoint, err)
		s.recordFailure(r, call.Endpoint, callErr, latency)
		return nil, callErr
	}
	r.svc.latency.Observe(latency)
	s.chargeCrossRegion(r, call.Endpoint, call.ContentLength)
	x := &exchange{server: s, request: r, endpoint: call.Endpoint, response: response, latency: latency, outcome: outcomeOf(response)}
	if response.Shed {
		s.recordEvent(r, events.TargetShed, call.Endpoint.Target.ID, "")
	}
	return x, nil
}

// asCallError returns the *upstream.CallError that err wraps. For any other error
// it returns one that says that the connection broke after sending.
func asCallError(e *routing.Endpoint, err error) *upstream.CallError {
	var callErr *upstream.CallError
	if errors.As(err, &callErr) {
		return callErr
	}
	return &upstream.CallError{Target: e.Target.ID, Reason: upstream.ConnectionLost, Sent: true, Cause: err}
}

func outcomeOf(response *upstream.Response) health.Outcome {
	switch {
	case response.Shed:
		return health.Shed
	case response.Status >= http.StatusInternalServerError:
		return health.ServerError
	default:
		return health.Answered
	}
}

var outcomeByReason = [...]health.Outcome{
	upstream.Unreachable:       health.Unreachable,
	upstream.NotCommitted:      health.Cancelled,
	upstream.ConnectionLost:    health.ConnectionLost,
	upstream.TimedOut:          health.TimedOut,
	upstream.Cancelled:         health.Cancelled,
	upstream.InvalidResponse:   health.ServerError,
	upstream.MalformedResponse: health.ServerError,
}

// recordFailure ends an exchange for which no response header was received.
func (s *Server) recordFailure(r *request, e *routing.Endpoint, err *upstream.CallError, latency time.Duration) {
	s.endExchange(r, health.Observation{Endpoint: e, Outcome: outcomeByReason[err.Reason], Latency: latency})
	s.recordEvent(r, events.ExchangeFailed, e.Target.ID, err.Cause.Error())
}

// endExchange reports the observation, releases the target's slot and wakes a
// queued request.
func (s *Server) endExchange(r *request, o health.Observation) {
	s.observer.Observe(o)
	r.svc.queue.Release(o.Endpoint.Load.End)
}

// reportCrash adds the crash to the quarantine list, which all instances share,
// if the error says that the target crashed while it ran the request.
func (s *Server) reportCrash(r *request, err *upstream.CallError, fingerprint string) {
	if err == nil || !err.Crashed {
		return
	}
	s.quarantine.ReportCrash(fingerprint, quarantine.Crash{Service: r.policy.Service, Target: err.Target, Request: r.id})
}

// chargeCrossRegion charges bytes exchanged with a target of another region to
// the service's cross-region budget.
func (s *Server) chargeCrossRegion(r *request, e *routing.Endpoint, bytes int64) {
	if e.Distance != model.OtherRegion || bytes <= 0 {
		return
	}
	r.svc.crossRegionBudget.Charge(bytes)
	r.svc.metrics.crossRegionBytes.Add(int(bytes))
}

// Read reads the response body, beginning with the buffered part. Errors other
// than io.EOF are *upstream.CallError and mean that the body was truncated.
func (x *exchange) Read(p []byte) (int, error) {
	if len(x.buffered) > 0 {
		n := copy(p, x.buffered)
		x.buffered = x.buffered[n:]
		return n, nil
	}
	if x.complete {
		return 0, io.EOF
	}
	return x.readBody(p)
}

// readBody reads from the target, past the buffered part. It closes the exchange at
// the end of the body.
func (x *exchange) readBody(p []byte) (int, error) {
	n, err := x.response.Body.Read(p)
	x.server.chargeCrossRegion(x.request, x.endpoint, int64(n))
	if x.onRead != nil {
		x.onRead(n)
	}
	switch {
	case err == io.EOF:
		// Releases the target's slot now, so that a slow caller doesn't hold it.
		x.complete = true
		x.close()
	case err != nil:
		x.outcome = outcomeByReason[asCallError(x.endpoint, err).Reason]
	}
	return n, err
}

// readAhead reads the beginning of the response body into buf and keeps it in
// x.buffered, so that a short response is known to be complete before any of it
// is sent to the caller.
func (x *exchange) readAhead(buf []byte) *upstream.CallError {
	n := 0
	for n < len(buf) && !x.complete {
		m, err := x.readBody(buf[n:])
		n += m
		if err != nil && err != io.EOF {
			x.server.recordEvent(x.request, events.AnswerTruncated, x.endpoint.Target.ID, err.Error())
			return asCallError(x.endpoint, err)
		}
	}
	x.buffered = buf[:n]
	return nil
}

// close ends the exchange. If the response was not read to its end, the rest is
// discarded and the connection is closed.
func (x *exchange) close() {
	if x.closed {
		return
	}
	x.closed = true
	_ = x.response.Body.Close()
	if !x.complete && x.outcome <= health.ServerError {
		x.outcome = health.Cancelled
	}
	if x.cancel != nil {
		x.cancel()
	}
	x.server.endExchange(x.request, health.Observation{
		Endpoint: x.endpoint,
		Outcome:  x.outcome,
		Latency:  x.latency,
		Draining: x.response.Draining,
	})
}
