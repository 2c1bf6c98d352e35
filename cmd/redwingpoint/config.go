package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/operator/client"
)

func configCommand() *ffcli.Command {
	c := &ffcli.Command{
		Name:        "config",
		ShortUsage:  "redwingpoint config <subcommand> [flags]",
		ShortHelp:   "read and change the configuration of the fleet",
		FlagSet:     newFlags("redwingpoint config"),
		Subcommands: []*ffcli.Command{configGetCommand(), configDiffCommand(), configApplyCommand(), configHistoryCommand(), configStatusCommand()},
	}
	c.Exec = subcommandRequired(c)
	return c
}

func configGetCommand() *ffcli.Command {
	flags := newFlags("redwingpoint config get")
	r := newRemoteCommand(flags)
	revision := flags.String("revision", "", "a revision of the history; default is the current one")
	return r.build(flags, "get", "redwingpoint config get [--revision N]", "print the configuration, ready to edit",
		"  redwingpoint config get >fleet.yaml\n  redwingpoint config get --revision 41 --output json",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			response, err := c.Config(ctx, *revision)
			if err != nil {
				return err
			}
			if response.Source == api.SourceInstance {
				fmt.Fprintln(os.Stderr, "redwingpoint: the store doesn't answer; this is what is in force at the instance")
			}
			return r.print(response, func(w *tabwriter.Writer) { _, _ = io.WriteString(w, response.Text) })
		})
}

func configDiffCommand() *ffcli.Command {
	flags := newFlags("redwingpoint config diff")
	r := newRemoteCommand(flags)
	author := authorFlag(flags)
	return r.build(flags, "diff", "redwingpoint config diff FILE", "show what applying a file would change for each service",
		"  redwingpoint config diff fleet.yaml",
		func(ctx context.Context, c *client.Client, args []string) error {
			text, err := readDocument(args)
			if err != nil {
				return err
			}
			return r.dryRun(ctx, c, api.ApplyRequest{Text: text, Author: *author, ChangeID: uuid.NewString()})
		})
}

func authorFlag(flags *flag.FlagSet) *string {
	return flags.String("author", os.Getenv("USER"), "your name, for the history; the name in a client certificate takes precedence")
}

// readDocument reads and validates the file named by the only argument, so that
// mistakes are reported without a request to the fleet. Errors include *usageError
// and *documentError.
func readDocument(args []string) (string, error) {
	if err := requireArgs(args, "FILE"); err != nil {
		return "", err
	}
	raw, err := readFile(args[0])
	if err != nil {
		return "", eris.Wrap(err, "read document")
	}
	if _, err := config.Parse(raw); err != nil {
		var invalid *config.InvalidError
		if errors.As(err, &invalid) {
			return "", &documentError{File: args[0], Cause: invalid}
		}
		return "", err
	}
	return string(raw), nil
}

// readFile reads the named file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// documentError reports every mistake in a document file, each with the file name.
type documentError struct {
	File  string
	Cause *config.InvalidError
}

func (e *documentError) Error() string {
	text := fmt.Sprintf("%d mistakes; nothing was changed", len(e.Cause.Errors))
	if len(e.Cause.Errors) == 1 {
		text = "1 mistake; nothing was changed"
	}
	for i := range e.Cause.Errors {
		text += "\n" + e.File + ":" + e.Cause.Errors[i].Error()
	}
	return text
}

// Unwrap returns the cause, so that errors.As finds *config.InvalidError.
func (e *documentError) Unwrap() error { return e.Cause }

// dryRun prints what an edit would change, without storing it.
func (r *remoteCommand) dryRun(ctx context.Context, c *client.Client, req api.ApplyRequest) error {
	req.DryRun = true
	response, err := c.Apply(ctx, req)
	if err != nil {
		return err
	}
	return r.print(response, func(w *tabwriter.Writer) {
		printRow(w, fmt.Sprintf("would change on top of revision %d:", response.Previous))
		printChanges(w, response.Changes)
		printWarnings(w, response.Warnings)
	})
}

func printWarnings(w io.Writer, warnings []string) {
	for _, text := range warnings {
		_, _ = fmt.Fprintln(w, "warning: "+text)
	}
}

func printChanges(w io.Writer, changes []config.Change) {
	if len(changes) == 0 {
		printRow(w, "  no effective change")
	}
	for _, change := range changes {
		scope := string(change.Service)
		if change.Region != "" {
			scope += " in " + string(change.Region)
		}
		printRow(w, "  "+scope, change.Field, orNone(change.From)+" -> "+orNone(change.To))
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

func configHistoryCommand() *ffcli.Command {
	flags := newFlags("redwingpoint config history")
	r := newRemoteCommand(flags)
	return r.build(flags, "history", "redwingpoint config history", "list accepted revisions, the newest first",
		"  redwingpoint config history",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			response, err := c.History(ctx)
			if err != nil {
				return err
			}
			return r.print(response, func(w *tabwriter.Writer) {
				printRow(w, "revision", "author", "time")
				for _, revision := range response.Revisions {
					printRow(w, revision.Revision, orNone(revision.Author), formatTime(revision.Time))
				}
			})
		})
}

// formatTime returns a time in UTC, or "-" if there is none.
func formatTime(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}
