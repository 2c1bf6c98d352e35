package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/certs"
	"redwingpoint.org/redwingpoint/internal/events"
)

// certPollInterval is the interval at which certificate files are checked for changes.
const certPollInterval = 10 * time.Second

// certReloader reloads TLS certificates of servers when their files change and on SIGHUP.
type certReloader struct {
	recorder events.Recorder
	log      *zap.Logger
}

func newCertReloader(r events.Recorder, log *zap.Logger) *certReloader {
	return &certReloader{recorder: r, log: log.Named("tls")}
}

// load returns the TLS configuration of a server, which is reloaded between start and
// stop of the application. It returns nil if files names no certificate.
func (r *certReloader) load(lc fx.Lifecycle, files certs.Files) (*certs.ReloadableConfig, error) {
	if files.Cert == "" {
		return nil, nil
	}
	tlsConfig, err := certs.Load(files)
	if err != nil {
		return nil, err
	}
	runLoop(lc, func(ctx context.Context) {
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		tlsConfig.Watch(ctx, certPollInterval, hangups, func(err error) { r.report(files, err) })
	})
	return tlsConfig, nil
}

// report logs and records the result of a reload.
func (r *certReloader) report(files certs.Files, err error) {
	if err != nil {
		r.log.Error("certificate not reloaded", zap.String("file", files.Cert), zap.Error(err))
		r.recorder.Record(events.Event{Kind: events.SettingsReloaded, Detail: "refused, the old certificate stays: " + err.Error()})
		return
	}
	r.log.Info("certificate reloaded", zap.String("file", files.Cert))
	r.recorder.Record(events.Event{Kind: events.SettingsReloaded, Detail: files.Cert})
}
