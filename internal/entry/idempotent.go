package entry

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
	// maxAttempts is the number of targets that one request may reach by retries.
	maxAttempts = 3
	// pooledMaxIdle is how long a connection for an idempotent request may have
	// been unused.
	pooledMaxIdle = 10 * time.Second
	// provenMaxIdle is the same for a hedge, which should not wait for a silent
	// connection a second time.
	provenMaxIdle = time.Second
)

// tries is what happened to one request so far.
type tries struct {
	targets []model.TargetID
	sent    bool
	err     *upstream.CallError
}

// serveIdempotent answers a request that may run more than once.
func (s *Server) serveIdempotent(c *gin.Context, r *request) *Problem {
	// Each exchange has a context of its own with the deadline.
	ctx := c.Request.Context()
	body, problem := s.readBody(c, r)
	if problem != nil {
		return problem
	}
	if problem := s.quarantined(r, body); problem != nil {
		return problem
	}
	r.svc.retries.Deposit(r.policy.RetryBudget)
	r.svc.hedges.Deposit(r.policy.HedgeBudget)
	buf := aheadBuffers.Get().(*[aheadBytes]byte)
	defer aheadBuffers.Put(buf)
	var t tries
	var x *exchange
	for {
		e, problem := s.choose(ctx, r, t.targets)
		switch {
		case problem != nil && len(t.targets) == 0:
			return problem
		case problem != nil:
			return s.giveUp(c, r, x, &t)
		case x != nil:
			x.close()
		}
		x = s.attempt(ctx, r, e, body, &t, buf[:])
		if x != nil && !failedAnswer(x) {
			s.relay(c, r, x)
			return nil
		}
		if !s.mayRetry(ctx, r, x, &t) {
			return s.giveUp(c, r, x, &t)
		}
	}
}

// attempt runs one attempt at a chosen target, hedged if need be. It returns nil
// for an attempt without a whole answer, which is noted in t.
func (s *Server) attempt(ctx context.Context, r *request, e *routing.Endpoint, body []byte, t *tries, buf []byte) *exchange {
	retry := len(t.targets) > 0
	t.targets = append(t.targets, e.Target.ID)
	x, err := s.runHedged(ctx, r, e, body, retry)
	if err == nil {
		t.sent = t.sent || !x.result.Shed
		if err = x.readAhead(buf); err == nil {
			return x
		}
		x.close()
	}
	t.sent = t.sent || err.Sent
	t.err = err
	if err.Crashed {
		s.crashed(r, err, r.fingerprint(body))
	}
	return nil
}

// call describes one attempt of a request whose body is held.
func (r *request) call(e *routing.Endpoint, body []byte, retry bool) upstream.Call {
	call := upstream.Call{
		Endpoint: e,
		Method:   r.http.Method,
		Path:     r.path,
		Query:    r.query,
		Header:   r.header(time.Now(), retry || r.retried),
	}
	if len(body) > 0 {
		call.Body = bytes.NewReader(body)
		call.ContentLength = int64(len(body))
	}
	return call
}

// failedAnswer reports whether another target may do better.
func failedAnswer(x *exchange) bool {
	switch x.result.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return x.result.Shed
	}
}

// mayRetry decides whether a failed attempt is followed by another. Work that a
// layer above or below has retried already is not retried again, so that nested
// calls don't multiply it.
func (s *Server) mayRetry(ctx context.Context, r *request, x *exchange, t *tries) bool {
	if r.retried || len(t.targets) >= maxAttempts || ctx.Err() != nil || !time.Now().Before(r.deadline) {
		return false
	}
	if x != nil && x.result.Header.Get(upstream.HeaderRetried) != "" {
		return false
	}
	return s.spendRetry(r, t.targets[len(t.targets)-1])
}

// spendRetry pays for another attempt after one at the given target, and reports
// whether the budget allows it.
func (s *Server) spendRetry(r *request, last model.TargetID) bool {
	if !r.svc.retries.Withdraw(r.policy.RetryBudget) {
		r.svc.metrics.retriesDenied.Inc()
		s.record(r, events.BudgetExhausted, last, "retries")
		return false
	}
	r.svc.metrics.retries.Inc()
	s.record(r, events.RequestRetried, last, "")
	return true
}

// giveUp answers with the last failure, marked so that layers above don't retry it.
func (s *Server) giveUp(c *gin.Context, r *request, x *exchange, t *tries) *Problem {
	ran := NotRun
	if t.sent {
		ran = MayHaveRun
	}
	if x != nil && x.result.Shed {
		x.close()
		return refuse(http.StatusServiceUnavailable, CodeOverLimit, ran, "targets shed the request").after(time.Second)
	}
	if x != nil {
		c.Header(upstream.HeaderRetried, "true")
		s.relay(c, r, x)
		return nil
	}
	switch t.err.Reason {
	case upstream.TimedOut:
		return refuse(http.StatusGatewayTimeout, CodeDeadlinePassed, ran, "no answer came before the deadline")
	case upstream.Cancelled:
		s.record(r, events.CallerGone, t.err.Target, "")
		return refuse(statusCallerGone, CodeCallerCancelled, ran, "the caller left")
	default:
		return refuse(http.StatusBadGateway, CodeTargetFailed, ran, "targets gave no whole answer")
	}
}
