package daemon

import (
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peersync"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/route"
)

const (
	// relayEvacuationsWait is how long the store may hold a relay's watch of the evacuations,
	// which are rare. With it in place of peersync.RelayWatchWait, a lost relay delays an
	// evacuation by at most peersync.MaxRelayLag and 0.7 s.
	relayEvacuationsWait = 2 * peersync.RelayWatchWait
	// minEvacuationsWait bounds the rate of watches if an evacuation has to be in force soon.
	minEvacuationsWait = 200 * time.Millisecond
)

// followEvacuations keeps the evacuated failure domains up to date. Gateways behind a relay
// learn them from it, also at their start.
func (g *gateway) followEvacuations(lc fx.Lifecycle, view *replica.Evacuations, relay peerRelay) {
	f := g.newFollower("evacuations", g.provider.Evacuations, view, relay)
	f.Consistency, f.Relay, f.StartFromRelay = replica.Strong, relay.evacuations, true
	f.WatchWait = max(min(g.settings.SettleTimeout, g.settings.EvacuationTimeout)-watchReserve, minEvacuationsWait)
	f.RelayWatchWait = relayEvacuationsWait
	g.set.NewGauge("redwingpoint_evacuated_domains", func() float64 { return float64(view.Count()) })
	g.set.NewGauge("redwingpoint_evacuations_confirmed_seconds", func() float64 { return view.Age().Seconds() })
	runLoop(lc, f.Run)
}

// EvacuationStarted implements replica.EvacuationObserver.
func (g *gateway) EvacuationStarted(d model.FailureDomain, revision, asOf replica.Position, from route.Source) {
	g.log.Warn("evacuation in force", zap.String("domain", string(d)), revision.Field("revision"),
		asOf.Field("as_of"), zap.String("learnt_from", string(from)))
}

// EvacuationEnded implements replica.EvacuationObserver.
func (g *gateway) EvacuationEnded(d model.FailureDomain, asOf replica.Position, from route.Source) {
	g.log.Warn("evacuation ended", zap.String("domain", string(d)), asOf.Field("as_of"), zap.String("learnt_from", string(from)))
}

// EvacuationRejected implements replica.EvacuationObserver.
func (g *gateway) EvacuationRejected(name string, err error) {
	g.log.Warn("evacuation ignored", zap.String("name", name), zap.Error(err))
}
