package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// storeCalls logs and counts the calls of one follower. One goroutine uses it.
type storeCalls struct {
	what string
	log  *zap.Logger
	set  *metrics.Set
	// first is set once the targets were listed.
	first *atomic.Bool
}

// Called implements catalog.Observer.
func (o *storeCalls) Called(op string, took time.Duration, changes int, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	if op == "list" && err == nil && o.what == "targets" {
		o.first.Store(true)
	}
	o.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_store_calls_total{what=%q,op=%q,result=%q}", o.what, op, result)).Inc()
	o.log.Info("store called", zap.String("op", op), zap.Duration("took", took), zap.Int("changes", changes), zap.Error(err))
}

// Lost implements catalog.Observer.
func (o *storeCalls) Lost(err error) { o.log.Warn("store lost", zap.Error(err)) }

// Regained implements catalog.Observer.
func (o *storeCalls) Regained(after time.Duration) {
	o.log.Info("store regained", zap.Duration("after", after))
}

// RoutesInForce implements catalog.RouteObserver.
func (g *gateway) RoutesInForce(t *route.Table) {
	g.log.Info("routes in force", zap.Uint64("revision", uint64(t.Revision)), zap.Int("rules", t.Rules()))
}

// RoutesRejected implements catalog.RouteObserver.
func (g *gateway) RoutesRejected(err error) { g.log.Error("routes rejected", zap.Error(err)) }

// TargetLearnt implements catalog.TargetObserver.
func (g *gateway) TargetLearnt(t model.Target, revision uint64) {
	g.log.Info("target learnt", zap.String("target", string(t.ID)), zap.String("service", string(t.Service)),
		zap.String("domain", string(t.Location.FailureDomain)), zap.Bool("leaving", t.Leaving), zap.Uint64("revision", revision))
}

// TargetGone implements catalog.TargetObserver.
func (g *gateway) TargetGone(id model.TargetID, lapsed bool) {
	g.log.Info("target gone", zap.String("target", string(id)), zap.Bool("lapsed", lapsed))
}

// TargetRejected implements catalog.TargetObserver.
func (g *gateway) TargetRejected(name string, err error) {
	g.log.Warn("target entry rejected", zap.String("name", name), zap.Error(err))
}

// reload takes over the settings that may change while the process runs.
func (g *gateway) reload(ctx context.Context) {
	for {
		select {
		case s := <-g.provider.Reload:
			g.dispatcher.SetRetryShare(s.Resend.Share)
			g.probes.SetLimit(rate.Limit(s.Probes.PerSecond))
			g.probes.SetBurst(s.Probes.Burst)
			g.log.Info("settings reloaded", zap.Float64("resend_share", s.Resend.Share), zap.Int("probes_per_second", s.Probes.PerSecond))
		case <-ctx.Done():
			return
		}
	}
}
