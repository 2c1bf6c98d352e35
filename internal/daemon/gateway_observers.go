package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peersync"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// storeObserver implements replica.Observer: it logs and counts the store calls of one
// follower. It must be used by one goroutine only.
type storeObserver struct {
	// kind is what the follower reads: "routes" or "targets".
	kind string
	log  *zap.Logger
	set  *metrics.Set
	// targetsKnown is set once the targets were listed.
	targetsKnown *atomic.Bool
}

// CallFinished implements replica.Observer.
func (o *storeObserver) CallFinished(op string, took time.Duration, changes int, err error) {
	result := "ok"
	var behind *replica.BehindFloorError
	switch {
	case errors.As(err, &behind):
		result = "behind"
	case err != nil:
		result = "failed"
	}
	if op == "list" && err == nil && o.kind == "targets" {
		o.targetsKnown.Store(true)
	}
	o.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_store_calls_total{what=%q,op=%q,result=%q}", o.kind, op, result)).Inc()
	o.log.Info("store called", zap.String("op", op), zap.Duration("took", took), zap.Int("changes", changes), zap.Error(err))
}

// OutageStarted implements replica.Observer.
func (o *storeObserver) OutageStarted(err error) { o.log.Warn("store lost", zap.Error(err)) }

// OutageEnded implements replica.Observer.
func (o *storeObserver) OutageEnded(after time.Duration) {
	o.log.Info("store regained", zap.Duration("after", after))
}

// RoutesApplied implements replica.RouteObserver.
func (g *gateway) RoutesApplied(t *route.Table) {
	g.log.Info("routes in force", zap.Uint64("revision", uint64(t.Revision)), zap.Int("rules", t.RuleCount()),
		zap.String("learnt_from", string(t.LearntFrom)), zap.Int("organisations", len(t.Organisations())))
	for _, o := range t.Organisations() {
		if o.Problem != "" {
			g.log.Error("organisation rejected", zap.Uint64("revision", uint64(t.Revision)),
				zap.String("organisation", string(o.Name)), zap.String("problem", o.Problem))
		}
	}
	g.logUnknownHomes(t)
	for _, problem := range t.Warnings {
		if _, logged := g.routeWarnings.LoadOrStore(problem, true); !logged {
			g.log.Warn("routes bounded", zap.String("problem", problem), zap.Uint64("revision", uint64(t.Revision)))
		}
	}
}

// logUnknownHomes logs homes that are no region of the deployment, once each.
func (g *gateway) logUnknownHomes(t *route.Table) {
	known := knownRegions(g.settings.Regions)
	for region := range t.HomeRegions() {
		if _, logged := g.unknownHomes.LoadOrStore(region, true); !known[region] && !logged {
			g.log.Warn("home ignored: unknown region", zap.String("region", string(region)), zap.Uint64("revision", uint64(t.Revision)))
		}
	}
}

// knownRegions returns the regions of the deployment.
func knownRegions(regionOf map[string]string) map[model.Region]bool {
	known := make(map[model.Region]bool, len(regionOf))
	for _, region := range regionOf {
		known[model.Region(region)] = true
	}
	return known
}

// RoutesRejected implements replica.RouteObserver.
func (g *gateway) RoutesRejected(err error) { g.log.Error("routes rejected", zap.Error(err)) }

// TargetUpdated implements replica.TargetObserver.
func (g *gateway) TargetUpdated(t model.Target, revision replica.Position) {
	g.log.Info("target learnt", zap.String("target", string(t.ID)), zap.String("service", string(t.Service)),
		zap.String("domain", string(t.Location.FailureDomain)), zap.Bool("leaving", t.Leaving), revision.Field("revision"))
}

// TargetRemoved implements replica.TargetObserver.
func (g *gateway) TargetRemoved(id model.TargetID, expired bool) {
	g.log.Info("target gone", zap.String("target", string(id)), zap.Bool("lapsed", expired))
}

// TargetRejected implements replica.TargetObserver.
func (g *gateway) TargetRejected(name string, err error) {
	g.log.Warn("target entry rejected", zap.String("name", name), zap.Error(err))
}

// StoreReturned implements replica.TargetObserver.
func (g *gateway) StoreReturned(r replica.Return) {
	g.log.Warn("store returned from an older copy", r.Before.Field("before"), r.After.Field("after"),
		zap.Int("targets_kept", r.Kept), zap.Int("targets_withheld", r.Withheld))
}

// newUpstreamClient returns a client that logs and counts what targets state about
// themselves and reports withdrawn limits.
func newUpstreamClient(p Provider, log *zap.Logger, set *metrics.Set, permits *peersync.Permits) *upstream.Client {
	client := upstream.NewClientWithProtocol(p.Protocol)
	client.OnCold = func(e *routing.Endpoint, coldFor time.Duration) {
		set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_targets_cold_total{service=%q}", string(e.Target.Service))).Inc()
		log.Info("target is cold", zap.String("target", string(e.Target.ID)), zap.String("service", string(e.Target.Service)),
			zap.String("domain", string(e.Target.Location.FailureDomain)), zap.Duration("for", coldFor))
	}
	client.OnStatement = func(e *routing.Endpoint, before, now routing.Statement) {
		if before.Limited && !now.Limited {
			permits.ReportWithdrawal(e)
		}
		set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_target_statements_total{service=%q}", string(e.Target.Service))).Inc()
		log.Info("target states", zap.String("target", string(e.Target.ID)), zap.String("service", string(e.Target.Service)),
			zap.Bool("limited", now.Limited), zap.Float64("limit_per_second", now.LimitPerSecond),
			zap.Bool("was_limited", before.Limited), zap.Float64("limit_before", before.LimitPerSecond),
			zap.Duration("pause", now.Pause), zap.Bool("leaving", now.Leaving))
	}
	return client
}

// logQuarantine logs a request that is no longer sent to targets.
func (g *gateway) logQuarantine(m quarantine.Mark) {
	g.log.Warn("request quarantined", zap.String("fingerprint", string(m.Fingerprint)), zap.Any("ended", m.Ended),
		zap.Duration("for", time.Duration(m.TTLMillis)*time.Millisecond))
}

// reload applies changed settings until ctx ends. Only the retry share, the limits of probes and
// the seeds take effect without a restart.
func (g *gateway) reload(ctx context.Context) {
	for {
		select {
		case s := <-g.provider.SettingsUpdates:
			g.dispatcher.SetRetryShare(s.RetryBudget.Share)
			g.probes.SetLimit(rate.Limit(s.Probes.PerSecond))
			g.probes.SetBurst(s.Probes.Burst)
			g.replaceSeeds(s.Peers.Seeds)
			g.log.Info("settings reloaded", zap.Float64("resend_share", s.RetryBudget.Share), zap.Int("probes_per_second", s.Probes.PerSecond))
		case <-ctx.Done():
			return
		}
	}
}
