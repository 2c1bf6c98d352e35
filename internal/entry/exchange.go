package entry

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

// exchange is one attempt that has an answer. Its owner reads the answer and
// closes it once; one goroutine uses it at a time.
type exchange struct {
	s       *Server
	r       *request
	e       *routing.Endpoint
	result  *upstream.Response
	latency time.Duration
	outcome health.Outcome
	// head holds the part of the answer that was read ahead.
	head []byte
	// whole is set once the answer was read to its end.
	whole bool
	// onRead, if set, is called with the number of bytes of each read.
	onRead func(bytes int)
	// cancel, if set, frees the attempt's context.
	cancel context.CancelFunc
	closed bool
}

// exchange sends one call to a chosen target and counts its end there.
func (s *Server) exchange(ctx context.Context, r *request, call upstream.Call) (*exchange, *upstream.CallError) {
	startedAt := time.Now()
	result, err := s.upstream.Do(ctx, call)
	latency := time.Since(startedAt)
	if err != nil {
		failed := asCallError(call.Endpoint, err)
		s.failed(r, call.Endpoint, failed, latency)
		return nil, failed
	}
	r.svc.latency.Observe(latency)
	s.charge(r, call.Endpoint, call.ContentLength)
	x := &exchange{s: s, r: r, e: call.Endpoint, result: result, latency: latency, outcome: outcomeOf(result)}
	if result.Shed {
		s.record(r, events.TargetShed, call.Endpoint.Target.ID, "")
	}
	return x, nil
}

func asCallError(e *routing.Endpoint, err error) *upstream.CallError {
	var failed *upstream.CallError
	if errors.As(err, &failed) {
		return failed
	}
	return &upstream.CallError{Target: e.Target.ID, Reason: upstream.Broken, Sent: true, Cause: err}
}

func outcomeOf(result *upstream.Response) health.Outcome {
	switch {
	case result.Shed:
		return health.Shed
	case result.Status >= http.StatusInternalServerError:
		return health.ServerError
	default:
		return health.Answered
	}
}

var outcomes = [...]health.Outcome{
	upstream.Unreachable:  health.Unreachable,
	upstream.NotCommitted: health.Cancelled,
	upstream.Broken:       health.ConnectionLost,
	upstream.TimedOut:     health.TimedOut,
	upstream.Cancelled:    health.Cancelled,
}

func (s *Server) failed(r *request, e *routing.Endpoint, err *upstream.CallError, latency time.Duration) {
	s.end(r, health.Observation{Endpoint: e, Outcome: outcomes[err.Reason], Latency: latency})
	s.record(r, events.ExchangeFailed, e.Target.ID, err.Cause.Error())
}

// end counts the end of an exchange and lets a waiting request have the slot.
func (s *Server) end(r *request, o health.Observation) {
	o.Endpoint.Load.End()
	s.observer.Observe(o)
	r.svc.queue.Released()
}

// crashed makes the crash of a target by a request known to all instances.
func (s *Server) crashed(r *request, err *upstream.CallError, fingerprint string) {
	if err == nil || !err.Crashed {
		return
	}
	s.quarantine.ReportCrash(fingerprint, quarantine.Crash{Service: r.policy.Service, Target: err.Target, Request: r.id})
}

// charge pays for bytes that crossed regions.
func (s *Server) charge(r *request, e *routing.Endpoint, bytes int64) {
	if e.Distance != model.OtherRegion || bytes <= 0 {
		return
	}
	r.svc.volume.Charge(bytes)
	r.svc.metrics.crossed.Add(int(bytes))
}

// Read reads the answer, what was read ahead first. Errors but io.EOF are
// *upstream.CallError: the answer was cut short.
func (x *exchange) Read(p []byte) (int, error) {
	if len(x.head) > 0 {
		n := copy(p, x.head)
		x.head = x.head[n:]
		return n, nil
	}
	if x.whole {
		return 0, io.EOF
	}
	return x.receive(p)
}

func (x *exchange) receive(p []byte) (int, error) {
	n, err := x.result.Body.Read(p)
	x.s.charge(x.r, x.e, int64(n))
	if x.onRead != nil {
		x.onRead(n)
	}
	switch {
	case err == io.EOF:
		// The target's slot is free, however long the caller takes.
		x.whole = true
		x.close()
	case err != nil:
		x.outcome = outcomes[asCallError(x.e, err).Reason]
	}
	return n, err
}

// readAhead fills buf with the beginning of the answer, so that a short answer
// is known to be whole before the caller sees any of it.
func (x *exchange) readAhead(buf []byte) *upstream.CallError {
	n := 0
	for n < len(buf) && !x.whole {
		m, err := x.receive(buf[n:])
		n += m
		if err != nil && err != io.EOF {
			x.s.record(x.r, events.AnswerTruncated, x.e.Target.ID, err.Error())
			return asCallError(x.e, err)
		}
	}
	x.head = buf[:n]
	return nil
}

// close ends the exchange. An answer that was not read to its end is given up,
// with its connection.
func (x *exchange) close() {
	if x.closed {
		return
	}
	x.closed = true
	_ = x.result.Body.Close()
	if !x.whole && x.outcome <= health.ServerError {
		x.outcome = health.Cancelled
	}
	if x.cancel != nil {
		x.cancel()
	}
	x.s.end(x.r, health.Observation{
		Endpoint: x.e,
		Outcome:  x.outcome,
		Latency:  x.latency,
		Draining: x.result.Draining,
	})
}
