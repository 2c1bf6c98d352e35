package daemon

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/settings"
)

// eventsModule provides the hybrid logical clock, the event recorder and the metrics set.
// The recorder stores events in a ring, logs some of them and counts them all.
var eventsModule = fx.Module("events", fx.Provide(
	func() *events.Clock { return events.NewClock(time.Now) },
	func(s *settings.Settings, clock *events.Clock) *events.Ring {
		return events.NewRing(s.Instance, clock, s.Events.Capacity)
	},
	metrics.NewSet,
	func(ring *events.Ring, set *metrics.Set, log *zap.Logger) events.Recorder {
		return events.NewCountingRecorder(events.NewLoggingRecorder(ring, log.Named("events")), set)
	},
))
