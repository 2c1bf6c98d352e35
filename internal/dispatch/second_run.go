package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const (
	// slowRunFactor is the multiple of its expected duration above which a run counts as
	// slow. Below it most runs are about to end.
	slowRunFactor = 1.35
	// inTimeShare is the share of the time left within which a second run is meant to end.
	inTimeShare = 0.9
	// secondRunReserve is the part of a retry that the budget must hold beyond a second run:
	// a retry after a failure is worth more, since a slow run may still succeed.
	secondRunReserve = 0.2
)

// exchange is one run of the request at one target.
type exchange struct {
	candidate routing.Candidate
	startedAt time.Time
	// stop ends the run; nil if there is only one.
	stop   context.CancelFunc
	result *upstream.Response
	err    error
}

// succeeded reports whether the target answered with anything but a refusal or a failure.
func (e *exchange) succeeded() bool {
	return e.err == nil && !e.result.Shed && e.result.Status < minServerError && !promisesNotRun(e.result.Status)
}

// minServerError is the lowest status code of a server's failure.
const minServerError = 500

// sendTo sends the request to a target whose load already counts it, and to a second one if
// the first is slow. It returns the exchange that decides on the attempt: the first that
// succeeds, or the last one. The other is broken off.
func (f *forwarder) sendTo(ctx context.Context, c routing.Candidate) exchange {
	delay, wanted := f.secondRunDelay(c)
	if !wanted {
		only := exchange{candidate: c, startedAt: time.Now()}
		only.result, only.err = f.d.Upstream.Do(ctx, f.newCall(c))
		return only
	}
	done := make(chan exchange, 2)
	first := f.start(ctx, c, done)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case ended := <-done:
		return ended
	case <-timer.C:
	}
	candidate, ok := f.pickSecond(ctx)
	if !ok {
		return <-done
	}
	second := f.start(ctx, candidate, done)
	return f.awaitEither(ctx, first, second, done)
}

// secondRunDelay returns how long a run may take before a second one is started: until the
// last moment from which that is expected to be in time, and until the run counts as slow.
// It reports false if there may be no second run.
func (f *forwarder) secondRunDelay(c routing.Candidate) (time.Duration, bool) {
	if !f.contended || f.rule.Class != model.Idempotent || f.stream != nil || f.deliveries+2 > f.rule.MaxAttempts {
		return 0, false
	}
	expected := f.expectedDuration()
	latest := time.Duration(inTimeShare*float64(time.Until(f.objectiveDeadline))) - expected
	slow := time.Duration(slowRunFactor * float64(c.Estimate.Duration))
	delay := max(latest, slow, 0)
	return delay, delay+expected < time.Until(f.deadline)
}

// pickSecond returns the target of a second run, whose load counts it from then on. There is
// none while the targets have little room, the retry budget is short or the request may not be
// sent any more.
func (f *forwarder) pickSecond(ctx context.Context) (routing.Candidate, bool) {
	req := f.pickRequest()
	candidates, err := f.d.Picker.Pick(ctx, req)
	if err != nil || !candidates[0].TakesRequest() || !req.Homes.Allows(candidates[0].Endpoint.Target.Location.Region) || !candidates[0].HasSpareRoom() || candidates[0].Estimate.Duration > time.Until(f.deadline) {
		return routing.Candidate{}, false
	}
	// The first run has used the permit of the quota that the request holds.
	f.permit = nil
	acquire := func() *localReply { return f.acquirePermit(ctx) }
	if firstReply(f.checkQuarantine, acquire, f.checkKey, f.checkShutdown) != nil {
		return routing.Candidate{}, false
	}
	best := candidates[0]
	if !f.state.spendSecondRun() {
		f.d.Metrics.countRetryDenied(f.service.Name)
		return routing.Candidate{}, false
	}
	f.triedTargets = append(f.triedTargets, best.Endpoint.Target.ID)
	f.deliveries++
	f.mayHaveRun = true
	best.Endpoint.Load.Begin()
	f.d.Metrics.countSecondRun(f.service.Name)
	f.d.Log.Info("second run started", f.logFields(zap.Object("target", candidateFields(best)))...)
	return best, true
}

// start starts a run in the background; done receives it when it has ended.
func (f *forwarder) start(ctx context.Context, c routing.Candidate, done chan<- exchange) exchange {
	ctx, stop := context.WithCancel(ctx)
	e := exchange{candidate: c, startedAt: time.Now(), stop: stop}
	call := f.newCall(c)
	go func() {
		e := e
		e.result, e.err = f.d.Upstream.Do(ctx, call)
		done <- e
	}()
	return e
}

// awaitEither returns the first of two exchanges that succeeds, or else the last one. It
// breaks the other one off.
func (f *forwarder) awaitEither(ctx context.Context, first, second exchange, done <-chan exchange) exchange {
	ended := <-done
	other := second
	if ended.candidate.Endpoint == second.candidate.Endpoint {
		other = first
	}
	if ended.succeeded() {
		other.stop()
		go func() { discard(<-done) }()
		return ended
	}
	if ended.err != nil {
		f.recordFailure(ctx, ended.candidate, ended.err)
	} else {
		ended.candidate.Endpoint.Load.Reliability.Observe(false, routing.Monotonic())
	}
	ended.stop()
	discard(ended)
	return <-done
}

// discard closes what is left of an exchange.
func discard(e exchange) {
	if e.result != nil {
		_ = e.result.Body.Close()
	}
	e.candidate.Endpoint.Load.End()
}
