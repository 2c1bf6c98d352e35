// Package daemon assembles the processes of redwingpoint from the other packages by
// dependency injection: the entry instance (New) and the gateway (NewGateway).
package daemon

import (
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/settings"
)

// stopTimeout bounds the shutdown of an instance. It lets uploads of several minutes
// complete.
const stopTimeout = 30 * time.Minute

// fxLogger returns a logger for the events of fx: failures at error level, all others at
// debug level.
func fxLogger(log *zap.Logger) fxevent.Logger {
	l := &fxevent.ZapLogger{Logger: log.Named("fx")}
	l.UseLogLevel(zap.DebugLevel)
	return l
}

// New returns the application of one entry instance, not started. Options may supply the
// zap.AtomicLevel of the log, so that operators can change the level.
func New(s *settings.Settings, log *zap.Logger, options ...fx.Option) *fx.App {
	gin.SetMode(gin.ReleaseMode)
	return fx.New(
		fx.Supply(s, log),
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(stopTimeout),
		eventsModule,
		storageModule,
		fleetModule,
		routingModule,
		requestModule,
		operatorModule,
		shutdownModule,
		fx.Options(options...),
	)
}
