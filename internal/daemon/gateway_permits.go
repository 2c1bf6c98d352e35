package daemon

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/peersync"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
)

// newPermits returns the permits of a gateway without peers, which grants all itself.
func newPermits(s *settings.Gateway, log *zap.Logger, set *metrics.Set) *peersync.Permits {
	return &peersync.Permits{
		Own:     limit.NewGrantor(1),
		OwnCold: newColdGrantor(1, s),
		OnCold: func(result peersync.ColdResult) {
			set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_cold_permits_total{result=%q}", string(result))).Inc()
		},
		Log: log,
	}
}

// newColdGrantor returns one of the given number of grantors for cold targets.
func newColdGrantor(shares int, s *settings.Gateway) *limit.ColdGrantor {
	bound := limit.ColdBound{Overage: s.ColdTargets.Overage, Slack: s.ColdTargets.Slack}
	return limit.NewColdGrantor(shares, bound, routing.ColdPermitValidity)
}
