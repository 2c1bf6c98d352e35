package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingpoint.org/redwingpoint/internal/buildinfo"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/operator/client"
)

func statusCommand() *ffcli.Command {
	flags := newFlags("redwingpoint status")
	r := newRemote(flags)
	return r.command(flags, "status", "redwingpoint status", "show the fleet at a glance",
		"  redwingpoint status --operator http://10.0.0.1:9090\n  redwingpoint status --output json",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return r.show(s, func(w *tabwriter.Writer) { printStatus(w, s) })
		})
}

func printStatus(w *tabwriter.Writer, s *api.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready"
	}
	row(w, fmt.Sprintf("%s is %s, revision %d, quarantined requests: %d", s.Instance, ready, s.Revision, s.Quarantined))
	row(w, "")
	row(w, "instance", "failure domain", "state", "revision")
	for _, m := range s.Members {
		state := "live"
		if m.Leaving {
			state = "leaving"
		}
		row(w, m.Instance, m.Location.FailureDomain, state, m.Revision)
	}
	row(w, "")
	row(w, "service", "class", "targets", "usable", "draining", "ejected", "in flight")
	for _, v := range s.Services {
		row(w, v.Service, v.Class, v.Targets, v.Usable, v.Draining, v.Ejected, v.InFlight)
	}
	for _, e := range s.Exceptions {
		row(w, "")
		end := "without end"
		if e.Expires != nil {
			end = "until " + formatTime(e.Expires)
		}
		row(w, fmt.Sprintf("exception for %s by %s, %s: %s", e.Scope, orNone(e.Author), end, e.Reason))
	}
}

func quarantineCommand() *ffcli.Command {
	c := &ffcli.Command{
		Name:        "quarantine",
		ShortUsage:  "redwingpoint quarantine <subcommand> [flags]",
		ShortHelp:   "list and lift requests that crashed targets",
		FlagSet:     newFlags("redwingpoint quarantine"),
		Subcommands: []*ffcli.Command{quarantineList(), quarantineLift()},
	}
	c.Exec = subcommandRequired(c)
	return c
}

func quarantineList() *ffcli.Command {
	flags := newFlags("redwingpoint quarantine list")
	r := newRemote(flags)
	return r.command(flags, "list", "redwingpoint quarantine list", "list the quarantined requests",
		"  redwingpoint quarantine list",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			q, err := c.Quarantine(ctx)
			if err != nil {
				return err
			}
			return r.showQuarantine(q)
		})
}

func quarantineLift() *ffcli.Command {
	flags := newFlags("redwingpoint quarantine lift")
	r := newRemote(flags)
	return r.command(flags, "lift", "redwingpoint quarantine lift FINGERPRINT", "let a request through again, on every instance",
		"  redwingpoint quarantine lift 5f1c9a",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := wantArgs(args, "FINGERPRINT"); err != nil {
				return err
			}
			q, err := c.LiftQuarantine(ctx, args[0])
			if err != nil {
				return err
			}
			return r.showQuarantine(q)
		})
}

func (r *remote) showQuarantine(q *api.Quarantine) error {
	return r.show(q, func(w *tabwriter.Writer) {
		if len(q.Requests) == 0 {
			row(w, "no request is quarantined")
			return
		}
		row(w, "fingerprint", "service", "request", "crashed", "until")
		for _, e := range q.Requests {
			row(w, e.Fingerprint, e.Service, e.Request, e.Targets, formatTime(&e.Until))
		}
	})
}

func versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "redwingpoint version",
		ShortHelp:  "print the version",
		FlagSet:    newFlags("redwingpoint version"),
		Exec: func(context.Context, []string) error {
			fmt.Println("redwingpoint", buildinfo.Version())
			return nil
		},
	}
}
