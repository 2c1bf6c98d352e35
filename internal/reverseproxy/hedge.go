package reverseproxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const (
	// fallbackHedgeDivisor sets the hedge delay if the service's latencies are
	// unknown or no hedge quantile is configured: the remaining time until the
	// deadline divided by it.
	fallbackHedgeDivisor = 4
	// freshConnectionFactor applies if a service has no other target for the
	// hedge. If there is no response after this many hedge delays, the hedge goes
	// to the same target over a new connection.
	freshConnectionFactor = 4
	// hedgeBurst is the number of hedges that a service may send at once, because
	// slow responses come in bursts.
	hedgeBurst = 30
	// minHedgeDelay is the minimum hedge delay when latencies are known, so that
	// very short latencies don't cause immediate hedges.
	minHedgeDelay = time.Millisecond
)

// Values of hedgedExchange.winner.
const (
	undecided int32 = iota
	primaryWon
	hedgeWon
)

// hedgedExchange is a primary attempt and the hedge that may follow it. The first
// successful response wins; the other attempt is cancelled and its connection
// closed.
type hedgedExchange struct {
	server  *Server
	request *request
	body    []byte
	primary *routing.Endpoint
	// ctx is done when the caller disconnects.
	ctx           context.Context
	cancelPrimary context.CancelFunc
	delay         time.Duration
	winner        atomic.Int32
	cancelHedge   atomic.Pointer[context.CancelFunc]
	// waitingForPrimary is set while a hedge to the primary's own target waits, before
	// it is sent, for the primary to respond.
	waitingForPrimary atomic.Bool
	// hedgeDone receives exactly one result once runHedge was started.
	hedgeDone chan hedgeResult
}

// hedgeResult is the result of a hedge. Both fields are nil if it was not sent or
// did not win; err is set if it was sent and failed.
type hedgeResult struct {
	x   *exchange
	err *upstream.CallError
}

// runHedged runs one attempt and sends a hedge if there is no response within the
// hedge delay. Retries, and requests that the caller marked as retried, are not
// hedged.
func (s *Server) runHedged(ctx context.Context, r *request, e *routing.Endpoint, body []byte, retry bool) (*exchange, *upstream.CallError) {
	call := r.call(e, body, retry)
	call.KeepAlive = true
	primaryCtx, cancel := context.WithDeadline(ctx, r.deadline)
	if retry {
		return s.exchangeWithCancel(primaryCtx, cancel, r, call)
	}
	if r.retried {
		call.MaxIdle = maxRecentIdle
		return s.exchangeWithCancel(primaryCtx, cancel, r, call)
	}
	call.MaxIdle = maxReuseIdle
	hedged := &hedgedExchange{server: s, request: r, body: body, primary: e, ctx: ctx, cancelPrimary: cancel, hedgeDone: make(chan hedgeResult, 1)}
	hedged.delay = r.hedgeDelay()
	timer := time.AfterFunc(hedged.delay, hedged.runHedge)
	x, err := s.exchangeWithCancel(primaryCtx, cancel, r, call)
	if timer.Stop() {
		return x, err
	}
	return hedged.resolve(x, err)
}

// exchangeWithCancel runs an exchange and calls cancel when it ends.
func (s *Server) exchangeWithCancel(ctx context.Context, cancel context.CancelFunc, r *request, call upstream.Call) (*exchange, *upstream.CallError) {
	x, err := s.doExchange(ctx, r, call)
	if err != nil {
		cancel()
		return nil, err
	}
	x.cancel = cancel
	return x, nil
}

// hedgeDelay returns the time without a response after which a hedge is sent.
func (r *request) hedgeDelay() time.Duration {
	if r.policy.HedgeQuantile > 0 {
		if delay, ok := r.svc.latency.Quantile(r.policy.HedgeQuantile); ok {
			return max(delay, minHedgeDelay)
		}
	}
	return time.Until(r.deadline) / fallbackHedgeDivisor
}

// resolve returns the winner after the primary has ended and runHedge was
// started.
func (h *hedgedExchange) resolve(x *exchange, err *upstream.CallError) (*exchange, *upstream.CallError) {
	succeeded := x != nil && !isFailedResponse(x)
	if succeeded && h.winner.CompareAndSwap(undecided, primaryWon) {
		if cancel := h.cancelHedge.Load(); cancel != nil {
			(*cancel)()
		}
		return x, nil
	}
	if h.waitingForPrimary.CompareAndSwap(true, false) {
		(*h.cancelHedge.Load())()
	}
	hedge := <-h.hedgeDone
	if hedge.x == nil {
		return x, err
	}
	if x != nil {
		h.server.recordEvent(h.request, events.LateAnswerDropped, x.endpoint.Target.ID, "")
		x.close()
	}
	h.cancelPrimary()
	return hedge.x, nil
}

// runHedge sends the hedge and delivers its result to hedgeDone. It runs in the
// timer's goroutine.
func (h *hedgedExchange) runHedge() {
	ctx, cancel := context.WithDeadline(h.ctx, h.request.deadline)
	h.cancelHedge.Store(&cancel)
	x, err := h.sendHedge(ctx)
	if x == nil {
		cancel()
		h.hedgeDone <- hedgeResult{err: err}
		return
	}
	x.cancel = cancel
	if !isFailedResponse(x) && h.winner.CompareAndSwap(undecided, hedgeWon) {
		h.request.svc.metrics.hedgesWon.Inc()
		h.request.svc.latency.Observe(h.delay + x.latency)
		h.cancelPrimary()
		h.hedgeDone <- hedgeResult{x: x}
		return
	}
	h.server.recordEvent(h.request, events.LateAnswerDropped, x.endpoint.Target.ID, "")
	x.close()
	h.hedgeDone <- hedgeResult{}
}

// sendHedge sends the hedge and returns its exchange or error. It returns nil for
// both if the primary has won, a request is queued, no target is suitable or the
// hedge budget is exhausted.
func (h *hedgedExchange) sendHedge(ctx context.Context) (*exchange, *upstream.CallError) {
	if h.winner.Load() != undecided || !h.request.svc.queue.Empty() {
		// Queued requests have priority over hedges for a free slot.
		return nil, nil
	}
	e, maxIdle := h.pickHedgeTarget(ctx)
	if e == nil {
		return nil, nil
	}
	if !h.request.svc.hedgeBudget.Withdraw(h.request.policy.HedgeBudget) {
		h.request.svc.metrics.hedgesDenied.Inc()
		h.server.recordEvent(h.request, events.BudgetExhausted, e.Target.ID, "hedges")
		h.server.releaseSlot(h.request, e)
		return nil, nil
	}
	h.request.svc.metrics.hedges.Inc()
	h.server.recordEvent(h.request, events.RequestHedged, e.Target.ID, "")
	call := h.request.call(e, h.body, true)
	call.KeepAlive = true
	call.MaxIdle = maxIdle
	return h.server.doExchange(ctx, h.request, call)
}

// isNoTarget reports whether a pick failed because there is no other target.
func isNoTarget(err error) bool {
	var missing *routing.NoTargetError
	return errors.As(err, &missing)
}

// pickHedgeTarget selects the target of the hedge and the maximum idle time of
// its connection; the endpoint is nil if there is none. If there is no other
// target, it returns the primary's target, for a new connection, once the
// primary's connection seems unresponsive.
func (h *hedgedExchange) pickHedgeTarget(ctx context.Context) (*routing.Endpoint, time.Duration) {
	e, err := h.server.pick(h.request, []model.TargetID{h.primary.Target.ID}, 0)
	if err == nil && e.Distance <= max(h.primary.Distance, model.SameRegion) {
		return e, maxRecentIdle
	}
	if err == nil {
		// A hedge must not consume cross-region budget.
		h.server.releaseSlot(h.request, e)
	} else if !isNoTarget(err) {
		return nil, 0
	}
	h.waitingForPrimary.Store(true)
	select {
	case <-ctx.Done():
		return nil, 0
	case <-time.After(h.delay * (freshConnectionFactor - 1)):
	}
	if !h.waitingForPrimary.CompareAndSwap(true, false) {
		return nil, 0
	}
	h.primary.Load.Begin()
	h.request.svc.queue.Acquired()
	return h.primary, 0
}
