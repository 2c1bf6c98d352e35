// Command redwingpoint is a load balancer for servers whose load changes within
// milliseconds. It also is the command line that operators use to query and control
// a running fleet.
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

func main() { os.Exit(Main()) }

// Main runs the command given by os.Args and returns the exit code of the process.
func Main() int {
	gin.SetMode(gin.ReleaseMode)
	return run(context.Background(), os.Args[1:])
}

// run executes one command, prints its error to stderr and returns the exit code.
func run(ctx context.Context, args []string) int {
	root := rootCommand()
	err := root.ParseAndRun(ctx, args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "redwingpoint:", formatError(err))
	}
	return exitCode(err)
}

// rootCommand returns a new command tree with its own flag sets.
func rootCommand() *ffcli.Command {
	root := &ffcli.Command{
		Name:       "redwingpoint",
		ShortUsage: "redwingpoint <subcommand> [flags]",
		LongHelp: `Runs an entry instance of the load balancer, and queries and controls a running fleet.

Every flag can be given as a flag, in the environment (REDWINGPOINT_ and the
flag's name in capitals, hyphens as underscores), or in the file that --options
names (one "name value" a line). The first of these three that sets it wins.

Exit codes: 0 done, 1 failure, 2 usage, 3 invalid document or settings,
4 conflict with another change, 5 accepted but not in force everywhere.`,
		FlagSet: newFlags("redwingpoint"),
		Subcommands: []*ffcli.Command{
			serveCommand(), gatewayCommand(), explainCommand(), configCommand(), statusCommand(), timelineCommand(), quarantineCommand(),
			keysCommand(), versionCommand(),
		},
	}
	root.Subcommands = append(root.Subcommands, completionCommand(root))
	root.Exec = subcommandRequired(root)
	return root
}

func newFlags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// subcommandRequired returns an Exec function for a command that does nothing by
// itself: it returns flag.ErrHelp without a subcommand and *usageError for an
// unknown one.
func subcommandRequired(c *ffcli.Command) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return flag.ErrHelp
		}
		var names []string
		for _, sub := range c.Subcommands {
			names = append(names, sub.Name)
		}
		return &usageError{Message: "unknown subcommand " + args[0], Allowed: names}
	}
}
