package daemon

import (
	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/certs"
	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/reverseproxy"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// requestModule provides the path of a request and serves callers.
var requestModule = fx.Module("request",
	fx.Provide(upstream.NewClient, quarantine.New, newEntry, serveCallers),
	fx.Invoke(tuneCollector),
)

// entryParams are the collaborators of the caller side.
type entryParams struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Settings   *settings.Settings
	Config     *config.SnapshotHolder
	Picker     routing.Picker
	Upstream   *upstream.Client
	Ledger     ledger.Ledger
	Recorder   events.Recorder
	Quarantine *quarantine.List
	Observer   health.Observer
}

// newEntry returns the caller side. Its stop hook runs after the HTTP server's:
// outcomes are recorded before the instance leaves.
func newEntry(p entryParams) *reverseproxy.Server {
	s := reverseproxy.New(reverseproxy.Options{
		Config:       p.Config,
		Picker:       p.Picker,
		Upstream:     p.Upstream,
		Ledger:       p.Ledger,
		Recorder:     p.Recorder,
		Quarantine:   p.Quarantine,
		Observer:     p.Observer,
		CallerHeader: p.Settings.Caller.IdentityHeader,
	})
	p.Lifecycle.Append(fx.StopHook(s.WaitForOutcomes))
	return s
}

func serveCallers(lc fx.Lifecycle, s *settings.Settings, e *reverseproxy.Server, r *reloader, log *zap.Logger) (*callers, error) {
	source, err := r.follow(lc, certs.Files{Cert: s.Caller.TLS.Cert, Key: s.Caller.TLS.Key})
	if err != nil {
		return nil, err
	}
	c := new(callers)
	c.server = serveHTTP(lc, log.Named("caller"), s.Caller.Listen, c.wrap(e.Handler()), source)
	return c, nil
}
