// Command redwingpoint is a load balancer for servers whose load shifts in milliseconds.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/gin-gonic/gin"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	gin.SetMode(gin.ReleaseMode)
	os.Exit(run(context.Background(), os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	root := &ffcli.Command{
		Name:        "redwingpoint",
		ShortUsage:  "redwingpoint <subcommand> [flags]",
		FlagSet:     flag.NewFlagSet("redwingpoint", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{serveCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "redwingpoint:", err)
		return exitFailure
	}
}
