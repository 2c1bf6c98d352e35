package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/daemon"
	"redwingpoint.org/redwingpoint/internal/settings"
)

func serveCommand() *ffcli.Command {
	flags := flag.NewFlagSet("redwingpoint serve", flag.ContinueOnError)
	path := flags.String("settings", "/etc/redwingpoint/settings.yaml", "file with the settings of this process")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "redwingpoint serve --settings FILE",
		ShortHelp:  "run one entry instance",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *path)
		},
	}
}

// serve runs until the process is told to stop and every exchange has finished.
func serve(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	app := daemon.New(s, log.With(zap.String("instance", string(s.Instance))))
	if err := app.Start(ctx); err != nil {
		return eris.Wrap(err, "start")
	}
	<-app.Wait()
	return app.Stop(context.WithoutCancel(ctx))
}
