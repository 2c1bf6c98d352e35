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

// operatorModule serves the operator API and removes expired exceptions from the
// configuration in force.
var operatorModule = fx.Module("operator",
	fx.Provide(newApplier, newOperator, newCertReloader),
	fx.Invoke(serveOperators, expireExceptions),
)

// newApplier returns the component that writes new configuration revisions.
func newApplier(store store.Store, h *config.SnapshotHolder, r events.Recorder) *config.Applier {
	return &config.Applier{Store: store, KnownRevision: h.Revision, Now: time.Now, Recorder: r}
}

// operatorParams are the dependencies of the operator API.
type operatorParams struct {
	fx.In

	Settings      *settings.Settings
	Ring          *events.Ring
	Config        *config.SnapshotHolder
	Applier       *config.Applier
	Table         *routing.Table
	Facts         fleet.FactStore
	Members       *fleet.Members
	Watcher       *discovery.Watcher
	Quarantine    *quarantine.List
	Lister        store.InstanceLister
	Metrics       *metrics.Set
	ControlBudget *limit.ControlBudget
	LogLevel      zap.AtomicLevel `optional:"true"`
}

// newOperator returns the operator API server. Without a log level among the
// dependencies, changes of the level by operators have no effect.
func newOperator(p operatorParams) *operator.Server {
	if p.LogLevel == (zap.AtomicLevel{}) {
		p.LogLevel = zap.NewAtomicLevel()
	}
	return &operator.Server{
		Instance: p.Settings.Instance,
		Location: p.Settings.Location,
		Version:  buildinfo.Version(),
		Token:    p.Settings.Operator.Token,
		Ring:     p.Ring,
		Config:   p.Config,
		Applier:  p.Applier,
		Table:    p.Table,
		Facts:    p.Facts,
		Members:  p.Members,
		LogLevel: p.LogLevel,
		Metrics:  p.Metrics,

		ControlBudget:  p.ControlBudget,
		Quarantine:     p.Quarantine,
		InstanceLister: p.Lister,
		Ready:          p.Watcher.Ready,
	}
}

// serveOperators serves the operator API between start and stop of the application. The
// error is that of loading the certificate or the CA of client certificates.
func serveOperators(lc fx.Lifecycle, s *settings.Settings, o *operator.Server, r *certReloader, log *zap.Logger) error {
	tlsConfig, err := r.load(lc, certs.Files{
		Cert: s.Operator.TLS.Cert, Key: s.Operator.TLS.Key, ClientCA: s.Operator.ClientCA,
	})
	if err != nil {
		return err
	}
	serveHTTP(lc, log.Named("operator"), s.Operator.Listen, o.Handler(), tlsConfig)
	return nil
}

// expireExceptions removes exceptions at their expiry.
func expireExceptions(lc fx.Lifecycle, h *config.SnapshotHolder, r events.Recorder) {
	runLoop(lc, func(ctx context.Context) { h.Run(ctx, r) })
}
