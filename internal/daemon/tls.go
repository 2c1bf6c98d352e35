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

// certPollInterval is how often certificate files are looked at for a change.
const certPollInterval = 10 * time.Second

// reloader reads certificates again when their files change and on SIGHUP.
type reloader struct {
	recorder events.Recorder
	log      *zap.Logger
}

func newReloader(r events.Recorder, log *zap.Logger) *reloader {
	return &reloader{recorder: r, log: log.Named("tls")}
}

// follow returns the source of a server's certificate, or nil if there is none.
func (r *reloader) follow(lc fx.Lifecycle, files certs.Files) (*certs.ReloadableConfig, error) {
	if files.Cert == "" {
		return nil, nil
	}
	source, err := certs.Load(files)
	if err != nil {
		return nil, err
	}
	runLoop(lc, func(ctx context.Context) {
		hangup := make(chan os.Signal, 1)
		signal.Notify(hangup, syscall.SIGHUP)
		defer signal.Stop(hangup)
		source.Watch(ctx, certPollInterval, hangup, func(err error) { r.report(files, err) })
	})
	return source, nil
}

func (r *reloader) report(files certs.Files, err error) {
	if err != nil {
		r.log.Error("certificate not reloaded", zap.String("file", files.Cert), zap.Error(err))
		r.recorder.Record(events.Event{Kind: events.SettingsReloaded, Detail: "refused, the old certificate stays: " + err.Error()})
		return
	}
	r.log.Info("certificate reloaded", zap.String("file", files.Cert))
	r.recorder.Record(events.Event{Kind: events.SettingsReloaded, Detail: files.Cert})
}
