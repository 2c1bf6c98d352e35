package reverseproxy

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const (
	// maxAttempts is the maximum number of attempts of a request, not counting
	// hedges.
	maxAttempts = 3
	// maxReuseIdle is the maximum idle time of a connection that is reused for
	// the first attempt of an idempotent request.
	maxReuseIdle = 10 * time.Second
	// maxRecentIdle is the maximum idle time of a connection that is reused for a
	// hedge or for a request that the caller marked as retried. It is short, so
	// that the request doesn't run into an unresponsive connection for a second
	// time.
	maxRecentIdle = time.Second
)

// attemptHistory is the history of the attempts of one request.
type attemptHistory struct {
	targets []model.TargetID
	sent    bool
	lastErr *upstream.CallError
}

// serveIdempotent serves a request that may run more than once.
func (s *Server) serveIdempotent(c *gin.Context, r *request) *Problem {
	// This context has no deadline: each exchange derives its own context with
	// the deadline.
	ctx := c.Request.Context()
	body, problem := s.readBody(c, r)
	if problem != nil {
		return problem
	}
	if problem := s.checkQuarantine(r, body); problem != nil {
		return problem
	}
	r.svc.retryBudget.Deposit(r.policy.RetryBudget)
	r.svc.hedgeBudget.Deposit(r.policy.HedgeBudget)
	buf := readAheadBuffers.Get().(*[readAheadBytes]byte)
	defer readAheadBuffers.Put(buf)
	var history attemptHistory
	var x *exchange
	for {
		e, problem := s.selectTarget(ctx, r, history.targets)
		switch {
		case problem != nil && len(history.targets) == 0:
			return problem
		case problem != nil:
			return s.respondWithFailure(c, r, x, &history)
		case x != nil:
			x.close()
		}
		x = s.attempt(ctx, r, e, body, &history, buf[:])
		if x != nil && !isFailedResponse(x) {
			s.relayResponse(c, r, x)
			return nil
		}
		if !s.mayRetry(ctx, r, x, &history) {
			return s.respondWithFailure(c, r, x, &history)
		}
	}
}

// attempt runs one attempt at a selected target, with a hedge if it is slow. It
// returns nil and stores the error in history if there is no complete response.
func (s *Server) attempt(ctx context.Context, r *request, e *routing.Endpoint, body []byte, history *attemptHistory, buf []byte) *exchange {
	retry := len(history.targets) > 0
	history.targets = append(history.targets, e.Target.ID)
	x, err := s.runHedged(ctx, r, e, body, retry)
	if err == nil {
		history.sent = history.sent || !x.response.Shed
		if err = x.readAhead(buf); err == nil {
			return x
		}
		x.close()
	}
	history.sent = history.sent || err.Sent
	history.lastErr = err
	if err.Crashed {
		s.reportCrash(r, err, r.fingerprint(body))
	}
	return nil
}

// call returns the upstream call for one attempt of a request with a buffered
// body.
func (r *request) call(e *routing.Endpoint, body []byte, retry bool) upstream.Call {
	call := upstream.Call{
		Endpoint:   e,
		Method:     r.httpRequest.Method,
		Path:       r.path,
		Query:      r.query,
		ForceQuery: r.forceQuery,
		Header:     r.targetHeader(time.Now(), retry || r.retried),
	}
	if len(body) > 0 {
		call.Body = bytes.NewReader(body)
		call.ContentLength = int64(len(body))
	}
	return call
}

// isFailedResponse reports whether a response is a failure for which another
// target may be tried.
func isFailedResponse(x *exchange) bool {
	switch x.response.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return x.response.Shed
	}
}

// mayRetry reports whether a failed attempt may be retried, which consumes retry
// budget. A request that the caller marked as retried, or whose failure a nested
// load balancer has retried already, is not retried, so that retries don't
// multiply across nested calls.
func (s *Server) mayRetry(ctx context.Context, r *request, x *exchange, history *attemptHistory) bool {
	if r.retried || len(history.targets) >= maxAttempts || ctx.Err() != nil || !time.Now().Before(r.deadline) {
		return false
	}
	if x != nil && x.response.Header.Get(upstream.HeaderRetried) != "" {
		return false
	}
	return s.spendRetry(r, history.targets[len(history.targets)-1])
}

// spendRetry consumes retry budget after a failed attempt at target last. It
// reports whether the budget allows another attempt.
func (s *Server) spendRetry(r *request, last model.TargetID) bool {
	if !r.svc.retryBudget.Withdraw(r.policy.RetryBudget) {
		r.svc.metrics.retriesDenied.Inc()
		s.recordEvent(r, events.BudgetExhausted, last, "retries")
		return false
	}
	r.svc.metrics.retries.Inc()
	s.recordEvent(r, events.RequestRetried, last, "")
	return true
}

// respondWithFailure responds with the last failure, marked as retried so that
// the caller's load balancer doesn't retry it.
func (s *Server) respondWithFailure(c *gin.Context, r *request, x *exchange, history *attemptHistory) *Problem {
	runState := NotRun
	if history.sent {
		runState = OutcomeUnknown
	}
	if x != nil && x.response.Shed {
		x.close()
		return newProblem(http.StatusServiceUnavailable, CodeOverLimit, runState, "targets shed the request").withRetryAfter(time.Second)
	}
	if x != nil {
		c.Header(upstream.HeaderRetried, "true")
		s.relayResponse(c, r, x)
		return nil
	}
	switch history.lastErr.Reason {
	case upstream.TimedOut:
		return newProblem(http.StatusGatewayTimeout, CodeDeadlinePassed, runState, "no answer came before the deadline")
	case upstream.Cancelled:
		s.recordEvent(r, events.CallerGone, history.lastErr.Target, "")
		return newProblem(statusCallerGone, CodeCallerCancelled, runState, "the caller left")
	default:
		return newProblem(http.StatusBadGateway, CodeTargetFailed, runState, "targets gave no whole answer")
	}
}
