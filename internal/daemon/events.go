package daemon

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/settings"
)

// eventsModule provides the hybrid logical clock and the recorder of events.
var eventsModule = fx.Module("events", fx.Provide(
	func() *events.Clock { return events.NewClock(time.Now) },
	func(s *settings.Settings, clock *events.Clock) *events.Ring {
		return events.NewRing(s.Instance, clock, s.Events.Keep)
	},
	metrics.NewSet,
	func(r *events.Ring, set *metrics.Set, log *zap.Logger) events.Recorder {
		return events.NewCounted(events.NewLogged(r, log.Named("events")), set)
	},
))
