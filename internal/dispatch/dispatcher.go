// Package dispatch serves routed requests: it finds the route, chooses a target by
// the load that the targets tell at this moment, sends the request and decides
// what may follow a failure. Work that must not repeat is sent again only if its
// target states that it did not run.
package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/front"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const (
	// readAhead is how much of an answer is read before the caller sees any of it.
	// An answer that breaks off earlier can be replaced.
	readAhead = 64 << 10
	// holdBody is the largest request body in bytes that is read before a target
	// is chosen. A larger one is streamed and sent to one target only.
	holdBody = 512 << 10
	// reuseIdle is how long a connection may have been unused and still carry a
	// request. Targets close connections after 10 s or what they state.
	reuseIdle = 8 * time.Second
)

// Picker ranks the targets for a request.
type Picker interface {
	Pick(ctx context.Context, req routing.ProbingRequest) ([]routing.Candidate, error)
}

// Exchanger sends one call to one target. Errors are *upstream.CallError.
type Exchanger interface {
	Do(ctx context.Context, call upstream.Call) (*upstream.Result, error)
}

// Options are the collaborators of a Dispatcher.
type Options struct {
	Routes   *route.Holder
	Picker   Picker
	Upstream Exchanger
	Signals  *upstream.Signals
	Budget   Budget
	Log      *zap.Logger
	Meters   *Meters
}

// Dispatcher implements front.Handler. It is safe for concurrent use.
type Dispatcher struct {
	Options
	services services
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	d := &Dispatcher{Options: o}
	d.services.burst = o.Budget.Burst
	d.SetShare(o.Budget.Share)
	return d
}

// SetShare changes the part of a service's requests that may be sent once more.
func (d *Dispatcher) SetShare(share float64) { d.services.setShare(share) }

// Limits returns the limits in force towards callers.
func (d *Dispatcher) Limits() route.Limits {
	if t := d.Routes.Current(); t != nil {
		return t.Limits
	}
	return route.Limits{}
}

// Serve implements front.Handler.
func (d *Dispatcher) Serve(ctx context.Context, r *front.Request) *front.Answer {
	table := d.routes(ctx)
	if table == nil {
		return d.turnAway(r, refusal{status: http.StatusServiceUnavailable, cause: CauseNoRoutes, retryAfter: startRetryAfter})
	}
	rule := table.Match(r.HTTP.Host, r.Path)
	if rule == nil {
		return d.turnAway(r, refusal{status: http.StatusNotFound, cause: CauseNoRoute, revision: table.Revision})
	}
	return d.newJob(r, table, rule).run(ctx)
}

// routes returns the table in force. Right after a start it waits a little for the
// first one.
func (d *Dispatcher) routes(ctx context.Context) *route.Table {
	if table := d.Routes.Current(); table != nil {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	return d.Routes.Await(ctx)
}

// Reject implements front.Handler.
func (d *Dispatcher) Reject(status int, cause error) *front.Answer {
	d.Log.Info("request rejected", zap.Int("status", status), zap.Error(cause))
	d.Meters.refused("", CauseMalformed)
	return plain(status, nil)
}

// turnAway answers a request that has no route.
func (d *Dispatcher) turnAway(r *front.Request, why refusal) *front.Answer {
	id := r.HTTP.Header.Get(d.Signals.RequestID)
	d.Log.Info("request refused", zap.String("request", id), zap.Int("status", why.status),
		zap.String("cause", string(why.cause)), zap.Uint64("revision", uint64(why.revision)),
		zap.String("host", r.HTTP.Host), zap.String("path", r.Path))
	d.Meters.refused("", why.cause)
	return d.refuse(id, why)
}

// refuse makes the answer of a refusal.
func (d *Dispatcher) refuse(id string, why refusal) *front.Answer {
	h := http.Header{}
	if id != "" {
		h.Set(d.Signals.RequestID, id)
	}
	if why.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(why.retryAfter.Seconds(), 'f', 3, 64))
	}
	return plain(why.status, h)
}

// plain makes an answer that says its status in words.
func plain(status int, h http.Header) *front.Answer {
	if h == nil {
		h = http.Header{}
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &front.Answer{Status: status, Header: h, Body: []byte(http.StatusText(status) + "\n")}
}

// newJob reads what a request says of itself.
func (d *Dispatcher) newJob(r *front.Request, table *route.Table, rule *route.Rule) *job {
	name := rule.NextService()
	j := &job{
		d:        d,
		in:       r,
		id:       r.HTTP.Header.Get(d.Signals.RequestID),
		rule:     rule,
		service:  table.Service(name),
		state:    d.services.get(name),
		limits:   table.Limits,
		revision: table.Revision,
		due:      r.ReceivedAt.Add(rule.Objective),
		until:    r.ReceivedAt.Add(rule.Timeout),
	}
	if ms, err := strconv.ParseInt(r.HTTP.Header.Get(d.Signals.Deadline), 10, 64); err == nil && ms >= 0 {
		if asked := r.ReceivedAt.Add(time.Duration(ms) * time.Millisecond); asked.Before(j.until) {
			j.until = asked
		}
	}
	return j
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status     int
	cause      Cause
	retryAfter time.Duration
	revision   model.Revision
}
