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

// leaveModule lets an instance leave without a cut. It must come last, so that
// it is stopped first: all else still runs while exchanges finish.
var leaveModule = fx.Module("leave", fx.Invoke(runLeaving))

// callers is the server that callers use, and whether it is leaving.
type callers struct {
	server  *http.Server
	leaving atomic.Bool
}

// wrap returns a handler that asks callers to open new connections while
// the instance is leaving. Idle connections stay open meanwhile: closing one may cross with a
// request on it.
func (c *callers) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

type leavingDeps struct {
	fx.In

	Settings *settings.Settings
	Log      *zap.Logger
	Watcher  *discovery.Watcher
	Peers    *peers
	Callers  *callers
	Recorder events.Recorder
}

func runLeaving(lc fx.Lifecycle, d leavingDeps) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			d.Recorder.Record(events.Event{Kind: events.InstanceStarted})
			return nil
		},
		OnStop: d.leave,
	})
}

// leave stops being ready, serves on while the platform's balancer may still
// send requests, then closes the listener and finishes every exchange.
func (d *leavingDeps) leave(ctx context.Context) error {
	d.Watcher.SetLeaving()
	if d.Peers.engine != nil {
		d.Peers.engine.Leave()
	}
	d.Callers.leaving.Store(true)
	d.Recorder.Record(events.Event{Kind: events.InstanceDraining})
	d.Log.Info("leaving", zap.Duration("lag", d.Settings.Leave.Lag))
	select {
	case <-time.After(d.Settings.Leave.Lag):
	case <-ctx.Done():
	}
	err := d.Callers.server.Shutdown(ctx)
	d.Recorder.Record(events.Event{Kind: events.InstanceStopped})
	d.Log.Info("every exchange has finished", zap.Error(err))
	return err
}
