package daemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"redwingpoint.org/redwingpoint/internal/callers"
	"redwingpoint.org/redwingpoint/internal/dispatch"
	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/peersync"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// Provider connects a gateway to a platform: it supplies the sources of routes, targets
// and evacuations, their decoders, and the protocol with targets.
type Provider struct {
	Routes, Targets replica.Source
	DecodeRoutes    replica.RouteDecoder
	DecodeTarget    replica.TargetDecoder
	// Evacuations are the requests to evacuate failure domains. They are read only if the
	// settings say so.
	Evacuations      replica.Source
	DecodeEvacuation replica.EvacuationDecoder
	Protocol         *upstream.Protocol
	// SettingsUpdates delivers changed settings. If it is nil, settings are not reloaded.
	SettingsUpdates <-chan *settings.Gateway
	// DroppedLogLines, if set, returns the number of log lines dropped so far.
	DroppedLogLines func() uint64
}

const (
	// watchReserve is the part of the setting "settle" that is reserved for what follows
	// a watch that timed out: the timeout of its response, a backoff, and a list.
	watchReserve = 1400 * time.Millisecond
	// backoffReserve is the part of the setting "settle" that is reserved for what
	// follows a backoff: the timeout of the next call, a list, and the wait for expired
	// registrations to be renewed.
	backoffReserve = 2300 * time.Millisecond
	// removalGrace is how long after the start of the last failed call missing targets
	// are kept: registrations that expired during an outage are renewed about two seconds
	// after the store has recovered.
	removalGrace = 2900 * time.Millisecond
	// routesBatchDelay is the delay before the next watch after the routes changed. The
	// changes of an operator are seconds apart, except in a burst.
	routesBatchDelay = 300 * time.Millisecond
	// targetsBatchShare is the share of the setting "drain" for which the next watch is
	// delayed after targets changed: a release changes several per second. The rest is
	// for the call and its latency.
	targetsBatchShare = 0.25
	// Shares of the setting "keys.withdrawWithin". Callers with keys may expect to be served for
	// 0.6 of it without a way to the store, so a confirmation may be at most 0.4 of it old
	// while there is one. It is as old as two watches, since it counts from the beginning of
	// the one before; or two watches of a relay and the request that the relay holds.
	confirmingWatchShare = 0.18
	relayWatchShare      = 0.1
	relayHoldShare       = 0.12
	// confirmSelfShare is the age from which an instance reads the store itself although a
	// relay answers.
	confirmSelfShare = 0.5
	// acceptPeriod is how long a gateway accepts new connections during shutdown: its
	// readiness is checked every second, and two failed checks take it out of rotation.
	acceptPeriod = 2300 * time.Millisecond
	// lastStartShare is the share of the setting "grace" after which requests are no longer
	// sent to targets if their deadline is after its end. Callers are told at once; the
	// platform takes a gateway out of rotation before. It allows for a busy process, which
	// learns of the signal after its callers' time has begun.
	lastStartShare = 0.4
	// exitMargin is the part of the setting "grace" that is left for the process to exit
	// before it is killed.
	exitMargin = 700 * time.Millisecond
	// openLogLead is how long before that the open connections are logged, at most
	// maxLoggedConnections of them.
	openLogLead          = 20 * time.Millisecond
	maxLoggedConnections = 20
)

// NewGateway returns the application of one gateway, not started.
func NewGateway(s *settings.Gateway, p Provider, log *zap.Logger, options ...fx.Option) *fx.App {
	return fx.New(
		fx.Supply(s, p, log),
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(s.ShutdownGrace),
		fx.Provide(
			metrics.NewSet,
			route.NewHolder,
			func() *routing.Table { return routing.NewInstanceTable(s.Instance, s.Location) },
			func(set *metrics.Set) *peersync.Permits { return newPermits(s, log, set) },
			newQuotas,
			func(set *metrics.Set, permits *peersync.Permits) *upstream.Client {
				client := newUpstreamClient(p, log, set, permits)
				client.MaxConnections = cmp.Or(s.CallerLimits.TargetConnections, callers.MaxTargetConnections(s.Machine.Descriptors))
				return client
			},
			func() *quarantine.Registry { return new(quarantine.Registry) },
			func() *rate.Limiter { return rate.NewLimiter(rate.Limit(s.Probes.PerSecond), s.Probes.Burst) },
			newDispatcher,
			newGateway,
		),
		fx.Invoke((*gateway).run),
		fx.Options(options...),
	)
}

func newDispatcher(s *settings.Gateway, p Provider, log *zap.Logger, set *metrics.Set, routes *route.Holder, table *routing.Table, client *upstream.Client, probes *rate.Limiter, marks *quarantine.Registry, permits *peersync.Permits, quotas *peersync.Quotas) *dispatch.Dispatcher {
	picker := routing.NewProbingPicker(table, client, routing.Monotonic, probes, permits)
	picker.InStages = s.Probes.PerTarget < settings.UsualProbesPerTarget
	return dispatch.New(dispatch.Options{
		Routes:      routes,
		Picker:      picker,
		Upstream:    client,
		Protocol:    p.Protocol,
		RetryBudget: dispatch.RetryBudget{Share: s.RetryBudget.Share, Burst: s.RetryBudget.Burst},
		Quarantine:  marks,
		Quotas:      quotas,
		Regions:     knownRegions(s.Regions),

		WithdrawKeysWithin: s.Keys.WithdrawWithin,

		Log:     log,
		Metrics: dispatch.NewMetrics(set),
	})
}

// gateway holds and runs the components of one gateway process.
type gateway struct {
	settings   *settings.Gateway
	provider   Provider
	log        *zap.Logger
	set        *metrics.Set
	routes     *route.Holder
	table      *routing.Table
	dispatcher *dispatch.Dispatcher
	server     *httpserver.Server
	listener   net.Listener
	quarantine *quarantine.Registry
	permits    *peersync.Permits
	quotas     *peersync.Quotas
	// seeds is nil without peers.
	seeds *peersync.Seeds
	// probes limits the load probes of targets.
	probes *rate.Limiter
	// breaker is shared by the followers of routes and targets.
	breaker replica.Breaker
	// floor is shared by the followers of routes and targets.
	floor replica.Floor
	// unknownHomes holds the homes, by region, that were checked and logged if unknown.
	unknownHomes sync.Map
	// routeWarnings holds the warnings about routes that were logged.
	routeWarnings sync.Map
	// shuttingDown is set when the shutdown starts.
	shuttingDown atomic.Bool
	// onShutdown, if set, is called when the shutdown has started.
	onShutdown func()
	// targetsKnown is set once the targets were listed or received from a peer.
	targetsKnown atomic.Bool
}

func newGateway(s *settings.Gateway, p Provider, log *zap.Logger, set *metrics.Set, routes *route.Holder, table *routing.Table, d *dispatch.Dispatcher, probes *rate.Limiter, marks *quarantine.Registry, permits *peersync.Permits, quotas *peersync.Quotas) *gateway {
	return &gateway{
		settings: s, provider: p, log: log, set: set, routes: routes, table: table, dispatcher: d, probes: probes,
		quarantine: marks, permits: permits, quotas: quotas,
		server: httpserver.NewServer(d, d.Limits),
	}
}

// run registers the gateway's servers and background loops with the application.
func (g *gateway) run(lc fx.Lifecycle) {
	g.registerGauges()
	g.limitCallers()
	g.serveAuxiliary(lc, g.settings.ReadinessAddr, g.serveReadiness)
	if g.settings.MetricsAddr != "" {
		g.serveAuxiliary(lc, g.settings.MetricsAddr, g.inspectionHandler().ServeHTTP)
	}
	local := &replica.Replica{
		Routes:  &replica.Routes{Decode: g.provider.DecodeRoutes, Holder: g.routes, Observer: g},
		Targets: &replica.Targets{Decode: g.provider.DecodeTarget, Table: g.table, Observer: g, ReturnGrace: removalGrace},
	}
	g.registerReturnGauges(local.Targets)
	if g.settings.EvacuationTimeout > 0 {
		local.Evacuations = &replica.Evacuations{Decode: g.provider.DecodeEvacuation, Table: g.table, Observer: g, ReturnGrace: removalGrace}
	}
	relay := g.startPeerSync(lc, local)
	routes := g.newFollower("routes", g.provider.Routes, local.Routes, relay)
	routes.Consistency, routes.BatchDelay, routes.Relay = replica.Strong, routesBatchDelay, relay.routes
	routes.WatchWait = g.confirmingWatchWait(routes.WatchWait, confirmingWatchShare)
	routes.RelayWatchWait = g.confirmingWatchWait(routes.RelayWatchWait, relayWatchShare)
	runLoop(lc, routes.Run)
	targets := g.newFollower("targets", g.provider.Targets, local.Targets, relay)
	// Targets change often: their watches are the cheaper ones, bounded by those of the routes.
	targets.Consistency = replica.Eventual
	targets.BatchDelay, targets.Relay = time.Duration(targetsBatchShare*float64(g.settings.DrainTimeout)), relay.targets
	targets.StartFromRelay = true
	runLoop(lc, targets.Run)
	if local.Evacuations != nil {
		g.followEvacuations(lc, local.Evacuations, relay)
	}
	if g.provider.SettingsUpdates != nil {
		runLoop(lc, g.reload)
	}
	lc.Append(fx.Hook{OnStart: g.start, OnStop: g.shutDown})
}

// confirmingWatchWait returns how long the store may hold a watch of the routes so that their
// confirmation stays recent enough where keys are withdrawn in a bounded time: the given share of
// that time.
func (g *gateway) confirmingWatchWait(watchWait time.Duration, share float64) time.Duration {
	within := g.settings.Keys.WithdrawWithin
	if within == 0 {
		return watchWait
	}
	return min(watchWait, time.Duration(share*float64(within)))
}

// newFollower returns a follower that keeps a view up to date with the objects of a source.
// The kind is "routes", "targets" or "evacuations".
func (g *gateway) newFollower(kind string, source replica.Source, view replica.View, relay peerRelay) *replica.Follower {
	return &replica.Follower{
		Source:         source,
		View:           view,
		Observer:       &storeObserver{kind: kind, log: g.log.With(zap.String("what", kind)), set: g.set, targetsKnown: &g.targetsKnown},
		WatchWait:      g.settings.SettleTimeout - watchReserve,
		IsRelay:        relay.isRelay,
		RelayWatchWait: peersync.RelayWatchWait,
		MaxBackoff:     g.settings.SettleTimeout - backoffReserve,
		RemovalGrace:   removalGrace,
		Breaker:        &g.breaker,
		Floor:          &g.floor,
	}
}

// registerReturnGauges registers the gauges that tell of returns of the store from an older copy.
func (g *gateway) registerReturnGauges(targets *replica.Targets) {
	g.set.NewGauge("redwingpoint_store_era", func() float64 { return float64(targets.Era()) })
	g.set.NewGauge("redwingpoint_targets_kept", func() float64 { kept, _ := targets.Exceptions(); return float64(kept) })
	g.set.NewGauge("redwingpoint_targets_withheld", func() float64 { _, withheld := targets.Exceptions(); return float64(withheld) })
}

// registerGauges registers the gauges, whose values are read at every scrape.
func (g *gateway) registerGauges() {
	g.set.NewGauge("redwingpoint_gateway_ready", func() float64 {
		if g.isReady() {
			return 1
		}
		return 0
	})
	g.set.NewGauge("redwingpoint_routes_revision", func() float64 {
		if t := g.routes.Current(); t != nil {
			return float64(t.Revision)
		}
		return 0
	})
	g.set.NewGauge("redwingpoint_routes_confirmed_seconds", func() float64 { return g.routes.Confirmed().Age().Seconds() })
	g.set.NewGauge("redwingpoint_caller_connections", func() float64 { return float64(g.server.ConnectionCount()) })
	g.set.NewGauge("redwingpoint_gateway_quarantined_requests", func() float64 { return float64(g.quarantine.QuarantinedCount()) })
	if g.provider.DroppedLogLines != nil {
		g.set.NewGauge("redwingpoint_log_lines_dropped", func() float64 { return float64(g.provider.DroppedLogLines()) })
	}
}

// logOpenConnections logs what the open connections wait for.
func (g *gateway) logOpenConnections() {
	open := g.server.Connections()
	for _, c := range open[:min(len(open), maxLoggedConnections)] {
		fields := []zap.Field{zap.String("caller", c.Caller), zap.String("state", string(c.State)), zap.Int("open", c.Open), zap.Duration("age", c.Age)}
		if c.Request != nil && c.Request.HTTP != nil {
			fields = append(fields, zap.String("request", c.Request.HTTP.Header.Get(g.provider.Protocol.RequestID)),
				zap.Duration("received_before", time.Since(c.Request.ReceivedAt)))
		}
		g.log.Info("connection open at the end of the shutdown", fields...)
	}
}

// isReady reports whether the gateway can serve callers: routes and targets are known and
// it is not shutting down.
func (g *gateway) isReady() bool {
	return !g.shuttingDown.Load() && g.routes.Current() != nil && g.targetsKnown.Load()
}

// serveReadiness responds with status 200 if the gateway is ready and with 503 otherwise.
func (g *gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics responds with the metrics in the Prometheus text format.
func (g *gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) { g.set.WritePrometheus(w) }

// start listens for callers and serves them in the background.
func (g *gateway) start(context.Context) error {
	listener, err := net.Listen("tcp", g.settings.CallerAddr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", g.settings.CallerAddr)
	}
	g.listener = listener
	g.log.Info("gateway started", zap.String("callers", g.settings.CallerAddr), zap.String("ready", g.settings.ReadinessAddr))
	go func() {
		if err := g.server.Serve(listener); !eris.Is(err, net.ErrClosed) {
			g.log.Info("caller listener stopped", zap.Error(err))
		}
	}()
	return nil
}

// shutDown shuts the gateway down gracefully: it fails the readiness check, accepts new
// connections until the gateway is out of rotation, then closes the listener and
// completes the requests in flight until the grace period ends.
func (g *gateway) shutDown(ctx context.Context) error {
	startedAt := time.Now()
	g.shuttingDown.Store(true)
	if g.onShutdown != nil {
		g.onShutdown()
	}
	end := startedAt.Add(g.settings.ShutdownGrace - exitMargin)
	g.dispatcher.BeginShutdown(startedAt.Add(time.Duration(lastStartShare*float64(g.settings.ShutdownGrace))), end)
	g.server.Drain()
	g.log.Info("shutting down", zap.Duration("grace", g.settings.ShutdownGrace), zap.Int("connections", g.server.ConnectionCount()))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	acceptTimer := time.NewTimer(acceptPeriod)
	defer acceptTimer.Stop()
	select {
	case <-acceptTimer.C:
	case <-ctx.Done():
	}
	if err := g.server.StopAccepting(g.listener); err != nil {
		g.log.Warn("caller listener not closed", zap.Error(err))
	}
	// What is open shortly before the end may be broken off.
	logTimer := time.AfterFunc(time.Until(end)-openLogLead, g.logOpenConnections)
	defer logTimer.Stop()
	err := g.server.Shutdown(ctx)
	g.log.Info("gateway stopped", zap.Int("connections", g.server.ConnectionCount()), zap.Error(err))
	return nil
}
