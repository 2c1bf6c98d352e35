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
	"redwingpoint.org/redwingpoint/internal/settings"
)

func serveCommand() *ffcli.Command {
	flags := newFlags("redwingpoint serve")
	path := flags.String("settings", "/etc/redwingpoint/settings.yaml", "file with the settings of this process")
	check := flags.Bool("check", false, "only read the settings and report every mistake")
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "redwingpoint serve [--check] --settings FILE",
		ShortHelp:  "run one entry instance",
		LongHelp:   "Examples:\n\n  redwingpoint serve --check --settings settings.yaml\n  redwingpoint serve --settings settings.yaml",
		FlagSet:    flags,
		Options:    sources(),
		Exec: func(ctx context.Context, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			s, err := settings.Load(*path)
			if err != nil {
				return err
			}
			if *check {
				fmt.Println("ok")
				return nil
			}
			return serve(ctx, s)
		},
	}
}

// serve runs until the process is told to stop and every exchange has finished.
func serve(ctx context.Context, s *settings.Settings) error {
	config := zap.NewProductionConfig()
	log, err := config.Build()
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	// A hangup only reloads certificates; without any it must not end the process.
	signal.Ignore(syscall.SIGHUP)
	log = log.With(zap.String("instance", string(s.Instance)))
	app := daemon.New(s, log, fx.Supply(config.Level))
	if err := app.Start(ctx); err != nil {
		return eris.Wrap(err, "start")
	}
	<-app.Wait()
	return app.Stop(context.WithoutCancel(ctx))
}
