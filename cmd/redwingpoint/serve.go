package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/daemon"
	"redwingpoint.org/redwingpoint/internal/logsink"
	"redwingpoint.org/redwingpoint/internal/settings"
)

func serveCommand() *ffcli.Command {
	flags := newFlags("redwingpoint serve")
	settingsPath := flags.String("settings", "/etc/redwingpoint/settings.yaml", "file with the settings of this process")
	check := flags.Bool("check", false, "only read the settings and report every mistake")
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "redwingpoint serve [--check] --settings FILE",
		ShortHelp:  "run one entry instance",
		LongHelp:   "Examples:\n\n  redwingpoint serve --check --settings settings.yaml\n  redwingpoint serve --settings settings.yaml",
		FlagSet:    flags,
		Options:    flagSources(),
		Exec: func(ctx context.Context, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			loaded, err := settings.Load(*settingsPath)
			if err != nil {
				return err
			}
			if *check {
				fmt.Println("ok")
				return nil
			}
			return serve(ctx, loaded)
		},
	}
}

// serve runs an entry instance until the process receives SIGINT or SIGTERM and
// shutdown has ended. Shutdown waits, up to a limit, for requests in progress.
func serve(ctx context.Context, instanceSettings *settings.Settings) error {
	logConfig := zap.NewProductionConfig()
	log, err := logConfig.Build()
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	// Certificate reloading installs its own SIGHUP handler. Without certificates there
	// is none, and the default action of SIGHUP would end the process.
	signal.Ignore(syscall.SIGHUP)
	log = log.With(zap.String("instance", string(instanceSettings.Instance)))
	defer logsink.RedirectStdLog(log)()
	app := daemon.New(instanceSettings, log, fx.Supply(logConfig.Level))
	if err := app.Start(ctx); err != nil {
		return eris.Wrap(err, "start")
	}
	<-app.Wait()
	return app.Stop(context.WithoutCancel(ctx))
}
