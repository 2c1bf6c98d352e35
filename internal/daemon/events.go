package daemon

import (
	"time"

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
	func(r *events.Ring, log *zap.Logger) events.Recorder { return events.NewLogged(r, log.Named("events")) },
))
