package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/discovery"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/settings"
)

// shutdownModule shuts an instance down gracefully. It must be the last module, so that
// it is stopped first and all others still run while requests complete.
var shutdownModule = fx.Module("leave", fx.Invoke(runShutdown))

// callerServer is the HTTP server for callers.
type callerServer struct {
	server       *http.Server
	shuttingDown atomic.Bool
}

// closeOnShutdown returns a handler that closes each connection after its next response
// once the shutdown has started. Idle connections stay open, because closing one could
// coincide with a request on it.
func (c *callerServer) closeOnShutdown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.shuttingDown.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// shutdownParams are the dependencies of the shutdown.
type shutdownParams struct {
	fx.In

	Settings *settings.Settings
	Log      *zap.Logger
	Watcher  *discovery.Watcher
	Peers    *peerNetwork
	Callers  *callerServer
	Recorder events.Recorder
}

// runShutdown records the start of the instance and shuts it down when the application
// stops.
func runShutdown(lc fx.Lifecycle, p shutdownParams) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.Recorder.Record(events.Event{Kind: events.InstanceStarted})
			return nil
		},
		OnStop: p.shutDown,
	})
}

// shutDown announces the shutdown and fails the readiness check, continues to serve while
// the platform's load balancer may still send requests, then closes the listener and
// waits for the requests in flight.
func (p *shutdownParams) shutDown(ctx context.Context) error {
	p.Watcher.SetLeaving()
	if p.Peers.engine != nil {
		p.Peers.engine.Leave()
	}
	p.Callers.shuttingDown.Store(true)
	p.Recorder.Record(events.Event{Kind: events.InstanceDraining})
	p.Log.Info("shutting down", zap.Duration("lag", p.Settings.Shutdown.BalancerLag))
	select {
	case <-time.After(p.Settings.Shutdown.BalancerLag):
	case <-ctx.Done():
	}
	err := p.Callers.server.Shutdown(ctx)
	p.Recorder.Record(events.Event{Kind: events.InstanceStopped})
	p.Log.Info("caller server stopped", zap.Error(err))
	return err
}
