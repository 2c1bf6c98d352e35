package daemon

import (
	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/certs"
	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/entry"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// requestModule provides the path of a request and serves callers.
var requestModule = fx.Module("request",
	fx.Provide(upstream.NewClient, newEntry),
	fx.Invoke(serveCallers),
)

func newEntry(h *config.Holder, p routing.Picker, u *upstream.Client, l ledger.Ledger, r events.Recorder) *entry.Server {
	return entry.New(entry.Options{Config: h, Picker: p, Upstream: u, Ledger: l, Recorder: r})
}

func serveCallers(lc fx.Lifecycle, s *settings.Settings, e *entry.Server, r *reloader, log *zap.Logger) error {
	source, err := r.follow(lc, certs.Files{Cert: s.Caller.TLS.Cert, Key: s.Caller.TLS.Key})
	if err != nil {
		return err
	}
	serveHTTP(lc, log.Named("caller"), s.Caller.Listen, e.Handler(), source)
	return nil
}
