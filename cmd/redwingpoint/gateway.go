package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/daemon"
	"redwingpoint.org/redwingpoint/internal/logsink"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/platform"
)

func gatewayCommand() *ffcli.Command {
	flags := newFlags("redwingpoint gateway")
	path := flags.String("settings", "/etc/redwingpoint/gateway.yaml", "file with the settings of this process")
	check := flags.Bool("check", false, "only read the settings and report every mistake")
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "redwingpoint gateway [--check] --settings FILE",
		ShortHelp:  "run one gateway on the users' platform",
		LongHelp:   "Examples:\n\n  redwingpoint gateway --check --settings gateway.yaml\n  redwingpoint gateway --settings gateway.yaml",
		FlagSet:    flags,
		Options:    sources(),
		Exec: func(ctx context.Context, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			s, err := settings.LoadGateway(*path)
			if err != nil {
				return err
			}
			if *check {
				fmt.Println("ok")
				return nil
			}
			return runGateway(ctx, s, *path)
		},
	}
}

// runGateway runs until the process is told to stop and every exchange has finished.
func runGateway(ctx context.Context, s *settings.Gateway, path string) error {
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := sink.Logger(zap.InfoLevel).With(zap.String("instance", string(s.Instance)))
	provider, err := platform.NewProvider(s)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	provider.SettingsUpdates = watchSettings(watching, path, hangups, log)
	provider.DroppedLogLines = sink.Dropped
	app := daemon.NewGateway(s, provider, log)
	if err := app.Start(ctx); err != nil {
		return eris.Wrap(err, "start")
	}
	<-app.Wait()
	return app.Stop(context.WithoutCancel(ctx))
}

// settingsInterval is how often the settings file is compared: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// watchSettings delivers the settings whenever their file has changed. A file that
// can't be used is reported and changes nothing.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, log *zap.Logger) <-chan *settings.Gateway {
	out := make(chan *settings.Gateway)
	known, err := os.ReadFile(path)
	if err != nil {
		log.Warn("settings can't be watched", zap.Error(err))
	}
	go func() {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		for {
			select {
			case <-hangups:
				log.Info("hangup received")
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				log.Warn("settings can't be read", zap.Error(err))
				continue
			}
			if bytes.Equal(raw, known) {
				continue
			}
			known = raw
			deliver(ctx, path, out, log)
		}
	}()
	return out
}

func deliver(ctx context.Context, path string, out chan<- *settings.Gateway, log *zap.Logger) {
	s, err := settings.LoadGateway(path)
	if err != nil {
		log.Warn("settings rejected", zap.Error(err))
		return
	}
	select {
	case out <- s:
	case <-ctx.Done():
	}
}
