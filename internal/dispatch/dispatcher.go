// Package dispatch forwards requests to targets: it matches the route, chooses a target
// by the load that the targets report at that moment, sends the request and decides
// whether to retry after a failure. A request that is not idempotent is retried only if
// it reached no target or if the target states that it did not run it.
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const (
	// responsePrefixBytes is how much of a response body is read before anything is sent
	// to the caller. A response that breaks off earlier can still be replaced by a retry.
	responsePrefixBytes = 64 << 10
	// maxBufferedBody is the largest request body in bytes that is read completely before
	// a target is chosen. A larger body is streamed; it is not sent again once an attempt
	// has read from it.
	maxBufferedBody = 512 << 10
	// firstBodyBuffer is the size in bytes of the first buffer for a body, unless the body is
	// smaller. It doubles as the body arrives.
	firstBodyBuffer = 16 << 10
	// maxReuseIdle is the longest idle time after which a connection is reused for a
	// request. Targets close idle connections after 10 s or after the timeout that they
	// announce.
	maxReuseIdle = 8 * time.Second
)

// Picker ranks the targets for a request, the best first. Implementations must be safe
// for concurrent use.
type Picker interface {
	Pick(ctx context.Context, req routing.ProbingRequest) ([]routing.Candidate, error)
}

// UpstreamClient exchanges calls with targets. Do sends one call to one target and returns
// when the response header has arrived; its errors are *upstream.CallError. Implementations must be safe for concurrent
// use.
type UpstreamClient interface {
	Do(ctx context.Context, call upstream.Call) (*upstream.Response, error)
	// HasEnded reports whether the process of a target has ended.
	HasEnded(ctx context.Context, e *routing.Endpoint) bool
}

// Quarantine recognizes requests under which targets end; *quarantine.Registry implements
// it. Implementations must be safe for concurrent use.
type Quarantine interface {
	// Empty reports whether no request is suspected, so that none needs a fingerprint.
	Empty() bool
	// Find reports whether a request is quarantined, and until when.
	Find(f quarantine.Fingerprint) (until time.Time, found bool)
	// ReportEnd reports a target that ended under a request, ReportSuccess one that ran it
	// to its end.
	ReportEnd(f quarantine.Fingerprint, p model.ProcessID)
	ReportSuccess(f quarantine.Fingerprint)
}

// Quotas grants requests of organisations; *peersync.Quotas implements it. Implementations
// must be safe for concurrent use.
type Quotas interface {
	// Check returns *limit.QuotaExceededError if the quota is known to be used up, or nil.
	Check(organisation model.OrganisationName) error
	// Acquire takes a permit for one request. The error is *limit.QuotaExceededError,
	// *limit.QuotaUnknownError or that of ctx.
	Acquire(ctx context.Context, organisation model.OrganisationName, quota limit.Quota) (limit.QuotaPermit, error)
}

// Options are the dependencies and settings of a Dispatcher.
type Options struct {
	Routes      *route.Holder
	Picker      Picker
	Upstream    UpstreamClient
	Protocol    *upstream.Protocol
	RetryBudget RetryBudget
	Quarantine  Quarantine
	// Quotas grants requests of organisations that have a quota; nil grants all.
	Quotas Quotas
	// Regions are those that exist; homes elsewhere don't count. None means that they
	// aren't known and all homes count.
	Regions map[model.Region]bool
	// WithdrawKeysWithin is the maximum time after the withdrawal of a key until no request
	// with it is sent to a target. Zero means no bound of its own.
	WithdrawKeysWithin time.Duration
	Log                *zap.Logger
	Metrics            *Metrics
}

// Dispatcher forwards the requests of callers to targets. It implements
// httpserver.Handler and is safe for concurrent use.
type Dispatcher struct {
	Options
	serviceStates serviceStates
	// demanded is closed when the first request arrives.
	demanded   chan struct{}
	demandOnce sync.Once
	// shutdown is set once the shutdown has started.
	shutdown atomic.Pointer[shutdownTimes]
}

// shutdownTimes are the times of a shutdown by the monotonic clock.
type shutdownTimes struct {
	// lastStart is the time until which all requests are sent to targets. Later ones are
	// only if their deadline is before end, at which the rest is broken off.
	lastStart, end time.Time
}

// New returns a Dispatcher. The retry budget of each service starts empty.
func New(o Options) *Dispatcher {
	d := &Dispatcher{Options: o, demanded: make(chan struct{})}
	d.serviceStates.burst = o.RetryBudget.Burst
	d.SetRetryShare(o.RetryBudget.Share)
	return d
}

// SetRetryShare changes the share of a service's requests, from 0 to 1, that may be
// retried.
func (d *Dispatcher) SetRetryShare(share float64) { d.serviceStates.setRetryShare(share) }

// Demanded returns a channel that is closed when the first request arrives.
func (d *Dispatcher) Demanded() <-chan struct{} { return d.demanded }

// BeginShutdown makes the dispatcher refuse requests that would be sent to a target after
// lastStart and might be broken off at the end of the shutdown.
func (d *Dispatcher) BeginShutdown(lastStart, end time.Time) {
	d.shutdown.Store(&shutdownTimes{lastStart: lastStart, end: end})
}

// Limits returns the limits on connections and requests of callers that are in force, or
// the zero value while no routes are known.
func (d *Dispatcher) Limits() route.Limits {
	if t := d.Routes.Current(); t != nil {
		return t.Limits
	}
	return route.Limits{}
}

// Serve implements httpserver.Handler.
func (d *Dispatcher) Serve(ctx context.Context, r *httpserver.Request) *httpserver.Response {
	d.demandOnce.Do(func() { close(d.demanded) })
	table := d.routes(ctx)
	if table == nil {
		return d.rejectUnrouted(r, localReply{status: http.StatusServiceUnavailable, cause: CauseNoRoutes, retryAfter: noRoutesRetryAfter})
	}
	rule := table.Match(r.HTTP.Host, r.Path)
	if rule == nil {
		return d.rejectUnrouted(r, localReply{status: http.StatusNotFound, cause: CauseNoRoute, table: table})
	}
	if err := upstream.CheckPath(r.Path); err != nil {
		return d.rejectUnrouted(r, localReply{status: http.StatusBadRequest, cause: CauseMalformed, table: table})
	}
	caller, denial := d.identify(r.HTTP.Header, table, rule)
	if denial != nil {
		return d.rejectUnrouted(r, *denial)
	}
	f := d.newForwarder(r, table, rule)
	f.caller, f.organisation = caller, caller.organisation
	return f.run(ctx)
}

// routes returns the route table in force. Before the first table is known it waits up to
// routesWait for it; it returns nil if there is still none.
func (d *Dispatcher) routes(ctx context.Context) *route.Table {
	if table := d.Routes.Current(); table != nil {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, routesWait)
	defer cancel()
	return d.Routes.Await(ctx)
}

// Reject implements httpserver.Handler.
func (d *Dispatcher) Reject(status int, cause error) *httpserver.Response {
	d.Log.Info("request rejected", zap.Int("status", status), zap.String("error", inputProblem(cause)))
	reply := localReply{status: status, cause: CauseMalformed}
	var noMemory httpserver.NoMemoryError
	var panicked httpserver.PanicError
	switch {
	case errors.As(cause, &noMemory):
		reply.cause, reply.retryAfter = CauseCallersLimited, callersRetryAfter
	case errors.As(cause, &panicked):
		reply.cause = CauseOutcomeUnknown
	}
	d.Metrics.countRefused("", reply.cause)
	return d.buildLocalReply("", reply)
}

// rejectUnrouted logs and counts a request for which no route is known, or none that its
// key opens, and returns its response.
func (d *Dispatcher) rejectUnrouted(r *httpserver.Request, reply localReply) *httpserver.Response {
	requestID := r.HTTP.Header.Get(d.Protocol.RequestID)
	fields := []zap.Field{zap.String("request", requestID), zap.Int("status", reply.status),
		zap.String("cause", string(reply.cause)), zap.String("host", r.HTTP.Host), zap.String("path", r.Path)}
	if reply.table == nil {
		fields = append(fields, zap.Uint64("revision", 0))
	} else {
		confirmed := d.Routes.Confirmed()
		fields = append(fields, zap.Uint64("revision", uint64(reply.table.Revision)), zap.String("learnt_from", string(reply.table.LearntFrom)),
			zap.Duration("confirmed_before", confirmed.Age()), zap.String("confirmed_by", string(confirmed.By)))
	}
	d.Log.Info("request refused", fields...)
	d.Metrics.countRefused("", reply.cause)
	return d.buildLocalReply(requestID, reply)
}

// buildLocalReply returns the response for a local reply. The response repeats the
// request ID if there is one.
func (d *Dispatcher) buildLocalReply(requestID string, reply localReply) *httpserver.Response {
	h := http.Header{}
	if requestID != "" {
		h.Set(d.Protocol.RequestID, requestID)
	}
	if reply.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", bearerScheme)
	}
	if reply.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(reply.retryAfter.Seconds(), 'f', 3, 64))
	}
	return plainTextResponse(reply.status, h)
}

// plainTextResponse returns a response whose body is the text of its status code. It sets
// the content type in h, which may be nil.
func plainTextResponse(status int, h http.Header) *httpserver.Response {
	if h == nil {
		h = http.Header{}
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &httpserver.Response{Status: status, Header: h, Body: []byte(http.StatusText(status) + "\n")}
}

// newForwarder returns the forwarder of a request that matched a rule. Its deadline is
// the rule's timeout or the caller's deadline header, whichever ends earlier.
func (d *Dispatcher) newForwarder(r *httpserver.Request, table *route.Table, rule *route.Rule) *forwarder {
	name := rule.NextService()
	f := &forwarder{
		d:                 d,
		inbound:           r,
		callerCtx:         context.Background(),
		requestID:         r.HTTP.Header.Get(d.Protocol.RequestID),
		rule:              rule,
		service:           table.Service(name),
		state:             d.serviceStates.get(name),
		contended:         table.Contended(name),
		durations:         d.serviceStates.get(name).durations(rule, table.Contended(name)),
		limits:            table.Limits,
		revision:          table.Revision,
		objectiveDeadline: r.ReceivedAt.Add(rule.Objective),
		deadline:          r.ReceivedAt.Add(rule.Timeout),
	}
	if ms, err := strconv.ParseInt(r.HTTP.Header.Get(d.Protocol.Deadline), 10, 64); err == nil && ms >= 0 {
		if requested := r.ReceivedAt.Add(time.Duration(ms) * time.Millisecond); requested.Before(f.deadline) {
			f.deadline = requested
		}
	}
	return f
}

// localReply describes a response that the gateway generates itself. A zero status closes
// the connection without a response.
type localReply struct {
	status     int
	cause      Cause
	retryAfter time.Duration
	// table is set if the reply follows from the routes in force.
	table *route.Table
}
