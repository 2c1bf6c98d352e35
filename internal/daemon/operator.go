package daemon

import (
	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/discovery"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/operator"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
)

// operatorModule serves operators.
var operatorModule = fx.Module("operator",
	fx.Provide(newOperator),
	fx.Invoke(serveOperators),
)

func newOperator(s *settings.Settings, ring *events.Ring, h *config.Holder, t *routing.Table, w *discovery.Watcher) *operator.Server {
	return &operator.Server{Token: s.Operator.Token, Ring: ring, Config: h, Table: t, Ready: w.Ready}
}

func serveOperators(lc fx.Lifecycle, s *settings.Settings, o *operator.Server, log *zap.Logger) {
	serveHTTP(lc, log.Named("operator"), s.Operator.Listen, o.Handler())
}
