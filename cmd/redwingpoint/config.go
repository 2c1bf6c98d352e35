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
		Subcommands: []*ffcli.Command{configGet(), configDiff(), configApply(), configHistory(), configStatus()},
	}
	c.Exec = subcommandRequired(c)
	return c
}

func configGet() *ffcli.Command {
	flags := newFlags("redwingpoint config get")
	r := newRemote(flags)
	revision := flags.String("revision", "", "a revision of the history; default is the current one")
	return r.command(flags, "get", "redwingpoint config get [--revision N]", "print the configuration, ready to edit",
		"  redwingpoint config get >fleet.yaml\n  redwingpoint config get --revision 41 --output json",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			answer, err := c.Config(ctx, *revision)
			if err != nil {
				return err
			}
			if answer.Source == api.SourceInstance {
				fmt.Fprintln(os.Stderr, "redwingpoint: the store doesn't answer; this is what is in force at the instance")
			}
			return r.show(answer, func(w *tabwriter.Writer) { _, _ = io.WriteString(w, answer.Text) })
		})
}

func configDiff() *ffcli.Command {
	flags := newFlags("redwingpoint config diff")
	r := newRemote(flags)
	author := authorFlag(flags)
	return r.command(flags, "diff", "redwingpoint config diff FILE", "show what applying a file would change for each service",
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
	return flags.String("author", os.Getenv("USER"), "your name, for the history; a client certificate's name goes first")
}

// readDocument reads and checks the file, so that mistakes show without a fleet.
func readDocument(args []string) (string, error) {
	if err := wantArgs(args, "FILE"); err != nil {
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

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// documentError reports the mistakes of a file with its name.
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

// Unwrap returns the cause.
func (e *documentError) Unwrap() error { return e.Cause }

func (r *remote) dryRun(ctx context.Context, c *client.Client, req api.ApplyRequest) error {
	req.DryRun = true
	answer, err := c.Apply(ctx, req)
	if err != nil {
		return err
	}
	return r.show(answer, func(w *tabwriter.Writer) {
		row(w, fmt.Sprintf("would change on top of revision %d:", answer.Previous))
		printChanges(w, answer.Changes)
		printWarnings(w, answer.Warnings)
	})
}

func printWarnings(w io.Writer, warnings []string) {
	for _, text := range warnings {
		_, _ = fmt.Fprintln(w, "warning: "+text)
	}
}

func printChanges(w io.Writer, changes []config.Change) {
	if len(changes) == 0 {
		row(w, "  no effective change")
	}
	for _, c := range changes {
		where := string(c.Service)
		if c.Region != "" {
			where += " in " + string(c.Region)
		}
		row(w, "  "+where, c.Field, orNone(c.From)+" -> "+orNone(c.To))
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

func configHistory() *ffcli.Command {
	flags := newFlags("redwingpoint config history")
	r := newRemote(flags)
	return r.command(flags, "history", "redwingpoint config history", "list accepted revisions, the newest first",
		"  redwingpoint config history",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			answer, err := c.History(ctx)
			if err != nil {
				return err
			}
			return r.show(answer, func(w *tabwriter.Writer) {
				row(w, "revision", "author", "time")
				for _, v := range answer.Revisions {
					row(w, v.Revision, orNone(v.Author), formatTime(v.Time))
				}
			})
		})
}

func formatTime(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}
