package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"redwingpoint.org/redwingpoint/internal/dispatch"
	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// Provider is what an adapter supplies: where routes and targets come from, how
// they are decoded, and the vocabulary of the exchange with targets.
type Provider struct {
	Routes, Targets replica.Source
	DecodeRoutes    replica.RouteDecoder
	DecodeTarget    replica.TargetDecoder
	Signals         *upstream.Protocol
	// Reload delivers settings that have changed; nil means that none do.
	Reload <-chan *settings.Gateway
	// DroppedLines returns the number of log lines dropped so far.
	DroppedLines func() uint64
}

const (
	// settleTime is kept of Settings.Settle for what follows a watch that was given
	// up: the call's own timeout, a pause, and a list.
	settleTime = 1400 * time.Millisecond
	// pauseTime is kept of it for what follows a pause between two failed calls: the
	// next call's timeout, a list, and the wait for entries that lapsed.
	pauseTime = 2300 * time.Millisecond
	// lapseGrace is how long after the beginning of the last failed call a target's
	// entry may stay away: it is back about two seconds after the store's return.
	lapseGrace = 2900 * time.Millisecond
	// gatherRoutes is how long changes of the routes gather before they are read: an
	// operator's come seconds apart, but in a storm.
	gatherRoutes = 300 * time.Millisecond
	// gatherTargets is the part of Settings.Drain for which changes of targets gather:
	// a release changes several a second. The rest is for the call and its delays.
	gatherTargets = 0.25
	// leaveLag is how long a leaving gateway takes new connections: it is asked
	// for its readiness each second and left out after two misses.
	leaveLag = 2300 * time.Millisecond
	// leaveMargin is kept of the grace, so that the process ends by itself.
	leaveMargin = 700 * time.Millisecond
)

// NewGateway returns the application of one gateway.
func NewGateway(s *settings.Gateway, p Provider, log *zap.Logger, options ...fx.Option) *fx.App {
	return fx.New(
		fx.Supply(s, p, log),
		fx.WithLogger(func() fxevent.Logger { return wiringLog(log) }),
		fx.StopTimeout(s.Grace),
		fx.Provide(
			metrics.NewSet,
			route.NewHolder,
			func() *routing.Table { return routing.NewInstanceTable(s.Instance, s.Location) },
			func() *upstream.Client { return upstream.NewClientWithProtocol(p.Signals) },
			func() *rate.Limiter { return rate.NewLimiter(rate.Limit(s.Probes.PerSecond), s.Probes.Burst) },
			newDispatcher,
			newGateway,
		),
		fx.Invoke((*gateway).run),
		fx.Options(options...),
	)
}

func newDispatcher(s *settings.Gateway, p Provider, log *zap.Logger, set *metrics.Set, routes *route.Holder, table *routing.Table, client *upstream.Client, probes *rate.Limiter) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Routes:      routes,
		Picker:      routing.NewProbingPicker(table, client, routing.Monotonic, probes),
		Upstream:    client,
		Protocol:    p.Signals,
		RetryBudget: dispatch.RetryBudget{Share: s.Resend.Share, Burst: s.Resend.Burst},
		Log:         log,
		Metrics:     dispatch.NewMetrics(set),
	})
}

// gateway runs the parts of one gateway process.
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
	probes     *rate.Limiter
	link       replica.Breaker
	leaving    atomic.Bool
	targets    atomic.Bool
}

func newGateway(s *settings.Gateway, p Provider, log *zap.Logger, set *metrics.Set, routes *route.Holder, table *routing.Table, d *dispatch.Dispatcher, probes *rate.Limiter) *gateway {
	return &gateway{
		settings: s, provider: p, log: log, set: set, routes: routes, table: table, dispatcher: d, probes: probes,
		server: httpserver.NewServer(d, d.Limits),
	}
}

func (g *gateway) run(lc fx.Lifecycle) {
	g.gauges()
	serveHTTP(lc, g.log, g.settings.Ready, http.HandlerFunc(g.answerReady), nil)
	if g.settings.Metrics != "" {
		serveHTTP(lc, g.log, g.settings.Metrics, http.HandlerFunc(g.answerMetrics), nil)
	}
	known := &replica.Replica{
		Routes:  &replica.Routes{Decode: g.provider.DecodeRoutes, Holder: g.routes, Observer: g},
		Targets: &replica.Targets{Decode: g.provider.DecodeTarget, Table: g.table, Observer: g},
	}
	relayed := g.share(lc, known)
	runLoop(lc, g.follow("routes", g.provider.Routes, known.Routes, gatherRoutes, relayed))
	gather := time.Duration(gatherTargets * float64(g.settings.Drain))
	runLoop(lc, g.follow("targets", g.provider.Targets, known.Targets, gather, relayed))
	if g.provider.Reload != nil {
		runLoop(lc, g.reload)
	}
	lc.Append(fx.Hook{OnStart: g.start, OnStop: g.leave})
}

// follow returns the loop that keeps a view up to date.
func (g *gateway) follow(what string, source replica.Source, view replica.View, gather time.Duration, relayed func() bool) func(context.Context) {
	f := &replica.Follower{
		Source:       source,
		View:         view,
		Observer:     &storeCalls{what: what, log: g.log.With(zap.String("what", what)), set: g.set, first: &g.targets},
		WatchWait:    g.settings.Settle - settleTime,
		MaxBackoff:   g.settings.Settle - pauseTime,
		RemovalGrace: lapseGrace,
		BatchDelay:   gather,
		Breaker:      &g.link,
		RelayActive:  relayed,
	}
	return f.Run
}

// gauges adds the metrics that are read when they are asked for.
func (g *gateway) gauges() {
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
	g.set.NewGauge("redwingpoint_caller_connections", func() float64 { return float64(g.server.ConnectionCount()) })
	if g.provider.DroppedLines != nil {
		g.set.NewGauge("redwingpoint_log_lines_dropped", func() float64 { return float64(g.provider.DroppedLines()) })
	}
}

// isReady reports whether callers may be sent here: routes and targets are known.
func (g *gateway) isReady() bool {
	return !g.leaving.Load() && g.routes.Current() != nil && g.targets.Load()
}

func (g *gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *gateway) answerMetrics(w http.ResponseWriter, _ *http.Request) { g.set.WritePrometheus(w) }

func (g *gateway) start(context.Context) error {
	listener, err := net.Listen("tcp", g.settings.Callers)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", g.settings.Callers)
	}
	g.listener = listener
	g.log.Info("gateway started", zap.String("callers", g.settings.Callers), zap.String("ready", g.settings.Ready))
	go func() {
		if err := g.server.Serve(listener); !eris.Is(err, net.ErrClosed) {
			g.log.Info("callers' listener ended", zap.Error(err))
		}
	}()
	return nil
}

// leave finishes what callers have sent. New connections are served until callers
// are sent elsewhere.
func (g *gateway) leave(ctx context.Context) error {
	startedAt := time.Now()
	g.leaving.Store(true)
	g.server.Drain()
	g.log.Info("leaving", zap.Duration("grace", g.settings.Grace), zap.Int("connections", g.server.ConnectionCount()))
	ctx, cancel := context.WithDeadline(ctx, startedAt.Add(g.settings.Grace-leaveMargin))
	defer cancel()
	lag := time.NewTimer(leaveLag)
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-ctx.Done():
	}
	if err := g.listener.Close(); err != nil {
		g.log.Warn("callers' listener not closed", zap.Error(err))
	}
	err := g.server.Shutdown(ctx)
	g.log.Info("gateway stopped", zap.Int("connections", g.server.ConnectionCount()), zap.Error(err))
	return nil
}
