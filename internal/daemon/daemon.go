// Package daemon wires the packages of one entry instance together and runs them.
package daemon

import (
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/settings"
)

// stopTimeout bounds the leaving of an instance: uploads of minutes finish.
const stopTimeout = 30 * time.Minute

// wiringLog logs the steps of the wiring at debug level and its failures as errors.
func wiringLog(log *zap.Logger) fxevent.Logger {
	l := &fxevent.ZapLogger{Logger: log.Named("fx")}
	l.UseLogLevel(zap.DebugLevel)
	return l
}

// New returns the application of one instance. Options may supply the
// zap.AtomicLevel of the log, so that operators can change it.
func New(s *settings.Settings, log *zap.Logger, options ...fx.Option) *fx.App {
	gin.SetMode(gin.ReleaseMode)
	return fx.New(
		fx.Supply(s, log),
		fx.WithLogger(func() fxevent.Logger { return wiringLog(log) }),
		fx.StopTimeout(stopTimeout),
		eventsModule,
		storageModule,
		fleetModule,
		routingModule,
		requestModule,
		operatorModule,
		leaveModule,
		fx.Options(options...),
	)
}
