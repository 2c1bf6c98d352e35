package daemon

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/buildinfo"
	"redwingpoint.org/redwingpoint/internal/certs"
	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/discovery"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/operator"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/store"
)

// operatorModule serves operators and ends exceptions at their expiry.
var operatorModule = fx.Module("operator",
	fx.Provide(newApplier, newOperator, newReloader),
	fx.Invoke(serveOperators, expireExceptions),
)

func newApplier(store store.Store, h *config.Holder, r events.Recorder) *config.Applier {
	return &config.Applier{Store: store, Known: h.Revision, Now: time.Now, Recorder: r}
}

// operatorDeps are what the operator endpoint shows and drives.
type operatorDeps struct {
	fx.In

	Settings *settings.Settings
	Ring     *events.Ring
	Config   *config.Holder
	Applier  *config.Applier
	Table    *routing.Table
	Board    fleet.FactStore
	Members  *fleet.Members
	Watcher  *discovery.Watcher
	Requests *quarantine.List
	Lister   store.InstanceLister
	Metrics  *metrics.Set
	Budget   *limit.ControlBudget
	LogLevel zap.AtomicLevel `optional:"true"`
}

func newOperator(d operatorDeps) *operator.Server {
	if d.LogLevel == (zap.AtomicLevel{}) {
		d.LogLevel = zap.NewAtomicLevel()
	}
	return &operator.Server{
		Instance: d.Settings.Instance,
		Location: d.Settings.Location,
		Version:  buildinfo.Version(),
		Token:    d.Settings.Operator.Token,
		Ring:     d.Ring,
		Config:   d.Config,
		Applier:  d.Applier,
		Table:    d.Table,
		Board:    d.Board,
		Members:  d.Members,
		LogLevel: d.LogLevel,
		Metrics:  d.Metrics,

		Measuring:  d.Budget,
		Quarantine: d.Requests,
		Lister:     d.Lister,
		Ready:      d.Watcher.Ready,
	}
}

func serveOperators(lc fx.Lifecycle, s *settings.Settings, o *operator.Server, r *reloader, log *zap.Logger) error {
	source, err := r.follow(lc, certs.Files{
		Cert: s.Operator.TLS.Cert, Key: s.Operator.TLS.Key, ClientCA: s.Operator.ClientCA,
	})
	if err != nil {
		return err
	}
	serveHTTP(lc, log.Named("operator"), s.Operator.Listen, o.Handler(), source)
	return nil
}

func expireExceptions(lc fx.Lifecycle, h *config.Holder, r events.Recorder) {
	runLoop(lc, func(ctx context.Context) { h.Run(ctx, r) })
}
