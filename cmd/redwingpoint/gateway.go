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
	settingsPath := flags.String("settings", "/etc/redwingpoint/gateway.yaml", "file with the settings of this process")
	check := flags.Bool("check", false, "only read the settings and report every mistake")
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "redwingpoint gateway [--check] --settings FILE",
		ShortHelp:  "run one gateway, which takes its routes and targets from a platform",
		LongHelp:   "Examples:\n\n  redwingpoint gateway --check --settings gateway.yaml\n  redwingpoint gateway --settings gateway.yaml",
		FlagSet:    flags,
		Options:    flagSources(),
		Exec: func(ctx context.Context, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			loaded, err := settings.LoadGateway(*settingsPath)
			if err != nil {
				return err
			}
			if *check {
				fmt.Println("ok")
				return nil
			}
			return runGateway(ctx, loaded, *settingsPath)
		},
	}
}

// runGateway runs a gateway until the process receives SIGINT or SIGTERM and shutdown
// has ended. Shutdown waits, up to a limit, for requests in progress.
func runGateway(ctx context.Context, gatewaySettings *settings.Gateway, settingsPath string) error {
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := sink.Logger(zap.InfoLevel).With(zap.String("instance", string(gatewaySettings.Instance)))
	defer logsink.RedirectStdLog(log)()
	provider, err := platform.NewProvider(gatewaySettings)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	provider.SettingsUpdates = watchSettings(watchCtx, settingsPath, hangups, log)
	provider.DroppedLogLines = sink.Dropped
	app := daemon.NewGateway(gatewaySettings, provider, log)
	if err := app.Start(ctx); err != nil {
		return eris.Wrap(err, "start")
	}
	<-app.Wait()
	return app.Stop(context.WithoutCancel(ctx))
}

// settingsPollInterval is how often the settings file is checked for a change, as it
// may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings returns a channel that receives the settings each time the content of
// their file has changed. The file is checked at every settingsPollInterval and every
// value received from hangups, until ctx is done. An unreadable or invalid file is
// logged and not sent. The channel is unbuffered and never closed.
func watchSettings(ctx context.Context, settingsPath string, hangups <-chan os.Signal, log *zap.Logger) <-chan *settings.Gateway {
	changed := make(chan *settings.Gateway)
	lastContent, err := os.ReadFile(settingsPath)
	if err != nil {
		log.Warn("can't read settings file; the first readable version counts as a change", zap.Error(err))
	}
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-hangups:
				log.Info("SIGHUP received; checking the settings file")
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			content, err := os.ReadFile(settingsPath)
			if err != nil {
				log.Warn("can't read settings file", zap.Error(err))
				continue
			}
			if bytes.Equal(content, lastContent) {
				continue
			}
			lastContent = content
			sendSettings(ctx, settingsPath, changed, log)
		}
	}()
	return changed
}

// sendSettings loads the settings and sends them unless they are invalid or ctx is
// done.
func sendSettings(ctx context.Context, settingsPath string, out chan<- *settings.Gateway, log *zap.Logger) {
	loaded, err := settings.LoadGateway(settingsPath)
	if err != nil {
		log.Warn("settings rejected", zap.Error(err))
		return
	}
	select {
	case out <- loaded:
	case <-ctx.Done():
	}
}
