package entry

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
	// silenceShare is the part of the remaining time after which an attempt
	// without an answer gets a second one where latencies are unknown, as a divisor.
	silenceShare = 4
	// silenceFactor times the hedge delay is how long an attempt at the only
	// target of a service may stay silent before a fresh connection is tried.
	silenceFactor = 4
	// hedgeBurst is the number of hedges that a service may send at once: stragglers
	// come in bursts.
	hedgeBurst = 30
	// minHedgeDelay keeps hedges from being sent at once where latencies are tiny.
	minHedgeDelay = time.Millisecond
)

// Winners of a race.
const (
	undecided int32 = iota
	primaryWon
	hedgeWon
)

// race is one attempt and the hedge that may follow it. The first good answer
// wins; the other exchange is cancelled, and its connection is closed.
type race struct {
	s       *Server
	r       *request
	body    []byte
	primary *routing.Endpoint
	// ctx ends when the caller leaves.
	ctx           context.Context
	cancelPrimary context.CancelFunc
	delay         time.Duration
	winner        atomic.Int32
	cancelHedge   atomic.Pointer[context.CancelFunc]
	// listening is set while the hedge only waits for the primary to stay silent.
	listening atomic.Bool
	// result receives the hedge's end exactly once after fire was started.
	result chan hedgeEnd
}

// hedgeEnd is how a hedge ended; both fields are nil if it was never sent.
type hedgeEnd struct {
	x   *exchange
	err *upstream.CallError
}

// runHedged runs one attempt and sends a hedge if it takes unusually long.
func (s *Server) runHedged(ctx context.Context, r *request, e *routing.Endpoint, body []byte, retry bool) (*exchange, *upstream.CallError) {
	call := r.call(e, body, retry)
	call.KeepAlive = true
	primaryCtx, cancel := context.WithDeadline(ctx, r.deadline)
	if retry {
		return s.exchangeUntil(primaryCtx, cancel, r, call)
	}
	if r.retried {
		call.MaxIdle = provenMaxIdle
		return s.exchangeUntil(primaryCtx, cancel, r, call)
	}
	call.MaxIdle = pooledMaxIdle
	race := &race{s: s, r: r, body: body, primary: e, ctx: ctx, cancelPrimary: cancel, result: make(chan hedgeEnd, 1)}
	race.delay = r.hedgeDelay()
	timer := time.AfterFunc(race.delay, race.fire)
	x, err := s.exchangeUntil(primaryCtx, cancel, r, call)
	if timer.Stop() {
		return x, err
	}
	return race.settle(x, err)
}

// exchangeUntil runs an exchange and calls cancel once it has ended.
func (s *Server) exchangeUntil(ctx context.Context, cancel context.CancelFunc, r *request, call upstream.Call) (*exchange, *upstream.CallError) {
	x, err := s.exchange(ctx, r, call)
	if err != nil {
		cancel()
		return nil, err
	}
	x.cancel = cancel
	return x, nil
}

// hedgeDelay returns the time after which an attempt takes unusually long.
func (r *request) hedgeDelay() time.Duration {
	if r.policy.HedgeQuantile > 0 {
		if delay, ok := r.svc.latency.Quantile(r.policy.HedgeQuantile); ok {
			return max(delay, minHedgeDelay)
		}
	}
	return time.Until(r.deadline) / silenceShare
}

// settle returns the winner once the primary has ended and a hedge was started.
func (h *race) settle(x *exchange, err *upstream.CallError) (*exchange, *upstream.CallError) {
	good := x != nil && !failedAnswer(x)
	if good && h.winner.CompareAndSwap(undecided, primaryWon) {
		if cancel := h.cancelHedge.Load(); cancel != nil {
			(*cancel)()
		}
		return x, nil
	}
	if h.listening.CompareAndSwap(true, false) {
		(*h.cancelHedge.Load())()
	}
	end := <-h.result
	if end.x == nil {
		return x, err
	}
	if x != nil {
		h.s.record(h.r, events.LateAnswerDropped, x.e.Target.ID, "")
		x.close()
	}
	h.cancelPrimary()
	return end.x, nil
}

// fire sends the hedge. It runs in a goroutine of its own.
func (h *race) fire() {
	ctx, cancel := context.WithDeadline(h.ctx, h.r.deadline)
	h.cancelHedge.Store(&cancel)
	x, err := h.hedge(ctx)
	if x == nil {
		cancel()
		h.result <- hedgeEnd{err: err}
		return
	}
	x.cancel = cancel
	if !failedAnswer(x) && h.winner.CompareAndSwap(undecided, hedgeWon) {
		h.r.svc.metrics.hedgesWon.Inc()
		h.r.svc.latency.Observe(h.delay + x.latency)
		h.cancelPrimary()
		h.result <- hedgeEnd{x: x}
		return
	}
	h.s.record(h.r, events.LateAnswerDropped, x.e.Target.ID, "")
	x.close()
	h.result <- hedgeEnd{}
}

func (h *race) hedge(ctx context.Context) (*exchange, *upstream.CallError) {
	if h.winner.Load() != undecided || !h.r.svc.queue.Empty() {
		// A slot that is free belongs to a request that waits for its first attempt.
		return nil, nil
	}
	e, maxIdle := h.second(ctx)
	if e == nil {
		return nil, nil
	}
	if !h.r.svc.hedges.Withdraw(h.r.policy.HedgeBudget) {
		h.r.svc.metrics.hedgesDenied.Inc()
		h.s.record(h.r, events.BudgetExhausted, e.Target.ID, "hedges")
		h.s.release(h.r, e)
		return nil, nil
	}
	h.r.svc.metrics.hedges.Inc()
	h.s.record(h.r, events.RequestHedged, e.Target.ID, "")
	call := h.r.call(e, h.body, true)
	call.KeepAlive = true
	call.MaxIdle = maxIdle
	return h.s.exchange(ctx, h.r, call)
}

// none reports whether a pick failed because there is no other target.
func none(err error) bool {
	var missing *routing.NoTargetError
	return errors.As(err, &missing)
}

// second chooses where the hedge goes. If there is no other target, the first
// one is asked again on a fresh connection once the old one seems silent.
func (h *race) second(ctx context.Context) (*routing.Endpoint, time.Duration) {
	e, err := h.s.pick(h.r, []model.TargetID{h.primary.Target.ID}, 0)
	if err == nil && e.Distance <= max(h.primary.Distance, model.SameRegion) {
		return e, provenMaxIdle
	}
	if err == nil {
		// A hedge is not worth the volume between regions.
		h.s.release(h.r, e)
	} else if !none(err) {
		return nil, 0
	}
	h.listening.Store(true)
	select {
	case <-ctx.Done():
		return nil, 0
	case <-time.After(h.delay * (silenceFactor - 1)):
	}
	if !h.listening.CompareAndSwap(true, false) {
		return nil, 0
	}
	h.primary.Load.Begin()
	h.r.svc.queue.Acquired()
	return h.primary, 0
}
