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

// requestModule provides the components that handle requests, and serves callers.
var requestModule = fx.Module("request",
	fx.Provide(upstream.NewClient, quarantine.New, newReverseProxy, serveCallers),
	fx.Invoke(configureGC),
)

// reverseProxyParams are the dependencies of the reverse proxy.
type reverseProxyParams struct {
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

// newReverseProxy returns the server that handles callers' requests. Its stop hook runs
// after that of the HTTP server, so that all outcomes are recorded before the process
// exits.
func newReverseProxy(p reverseProxyParams) *reverseproxy.Server {
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

// serveCallers serves callers between start and stop of the application. The error is
// that of loading the certificate.
func serveCallers(lc fx.Lifecycle, s *settings.Settings, proxy *reverseproxy.Server, r *certReloader, log *zap.Logger) (*callerServer, error) {
	tlsConfig, err := r.load(lc, certs.Files{Cert: s.Caller.TLS.Cert, Key: s.Caller.TLS.Key})
	if err != nil {
		return nil, err
	}
	c := new(callerServer)
	c.server = serveHTTP(lc, log.Named("caller"), s.Caller.Listen, c.closeOnShutdown(proxy.Handler()), tlsConfig)
	return c, nil
}
