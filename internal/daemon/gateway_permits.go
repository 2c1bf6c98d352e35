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
	seeds := peersync.NewSeeds(false, nil, nil, log)
	return &peersync.Permits{
		Seeds:   seeds,
		Own:     peersync.NewShare(seeds, limit.NewGrantor),
		OwnCold: newColdShare(seeds, s),
		OnCold: func(result peersync.ColdResult) {
			set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_cold_permits_total{result=%q}", string(result))).Inc()
		},
		Log: log,
	}
}

// newColdShare returns this instance's share of the requests to cold targets.
func newColdShare(seeds *peersync.Seeds, s *settings.Gateway) *peersync.Share[*limit.ColdGrantor] {
	bound := limit.ColdBound{Overage: s.ColdTargets.Overage, Slack: s.ColdTargets.Slack}
	return peersync.NewShare(seeds, func(shares int) *limit.ColdGrantor {
		return limit.NewColdGrantor(shares, bound, routing.ColdPermitValidity)
	})
}
