package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

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
			return runGateway(ctx, s)
		},
	}
}

// runGateway runs until the process is told to stop and every exchange has finished.
func runGateway(ctx context.Context, s *settings.Gateway) error {
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := sink.Logger(zap.InfoLevel).With(zap.String("instance", string(s.Instance)))
	provider, err := platform.NewProvider(s)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGHUP)
	app := daemon.NewGateway(s, provider, log)
	if err := app.Start(ctx); err != nil {
		return eris.Wrap(err, "start")
	}
	<-app.Wait()
	return app.Stop(context.WithoutCancel(ctx))
}
