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
	r := newRemoteCommand(flags)
	return r.build(flags, "status", "redwingpoint status", "show the fleet at a glance",
		"  redwingpoint status --operator http://10.0.0.1:9090\n  redwingpoint status --output json",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			status, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return r.print(status, func(w *tabwriter.Writer) { printStatus(w, status) })
		})
}

// printStatus prints the state of the instance and one table each of the members and
// the services, then the exceptions of the configuration in force.
func printStatus(w *tabwriter.Writer, status *api.Status) {
	ready := "ready"
	if !status.Ready {
		ready = "not ready"
	}
	printRow(w, fmt.Sprintf("%s is %s, revision %d, quarantined requests: %d", status.Instance, ready, status.Revision, status.Quarantined))
	printRow(w, "")
	printRow(w, "instance", "failure domain", "state", "revision")
	for _, member := range status.Members {
		state := "live"
		if member.Leaving {
			state = "leaving"
		}
		printRow(w, member.Instance, member.Location.FailureDomain, state, member.Revision)
	}
	printRow(w, "")
	printRow(w, "service", "class", "targets", "usable", "draining", "ejected", "in flight")
	for _, service := range status.Services {
		printRow(w, service.Service, service.Class, service.Targets, service.Usable, service.Draining, service.Ejected, service.InFlight)
	}
	for _, exception := range status.Exceptions {
		printRow(w, "")
		expiry := "without end"
		if exception.Expires != nil {
			expiry = "until " + formatTime(exception.Expires)
		}
		printRow(w, fmt.Sprintf("exception for %s by %s, %s: %s", exception.Scope, orNone(exception.Author), expiry, exception.Reason))
	}
}

func quarantineCommand() *ffcli.Command {
	c := &ffcli.Command{
		Name:        "quarantine",
		ShortUsage:  "redwingpoint quarantine <subcommand> [flags]",
		ShortHelp:   "list requests that are quarantined for crashing targets, and lift their quarantine",
		FlagSet:     newFlags("redwingpoint quarantine"),
		Subcommands: []*ffcli.Command{quarantineListCommand(), quarantineLiftCommand()},
	}
	c.Exec = subcommandRequired(c)
	return c
}

func quarantineListCommand() *ffcli.Command {
	flags := newFlags("redwingpoint quarantine list")
	r := newRemoteCommand(flags)
	return r.build(flags, "list", "redwingpoint quarantine list", "list the quarantined requests",
		"  redwingpoint quarantine list",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			quarantine, err := c.Quarantine(ctx)
			if err != nil {
				return err
			}
			return r.printQuarantine(quarantine)
		})
}

func quarantineLiftCommand() *ffcli.Command {
	flags := newFlags("redwingpoint quarantine lift")
	r := newRemoteCommand(flags)
	return r.build(flags, "lift", "redwingpoint quarantine lift FINGERPRINT", "let a request through again, on every instance",
		"  redwingpoint quarantine lift 5f1c9a",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := requireArgs(args, "FINGERPRINT"); err != nil {
				return err
			}
			quarantine, err := c.LiftQuarantine(ctx, args[0])
			if err != nil {
				return err
			}
			return r.printQuarantine(quarantine)
		})
}

// printQuarantine prints the quarantined requests.
func (r *remoteCommand) printQuarantine(quarantine *api.Quarantine) error {
	return r.print(quarantine, func(w *tabwriter.Writer) {
		if len(quarantine.Requests) == 0 {
			printRow(w, "no request is quarantined")
			return
		}
		printRow(w, "fingerprint", "service", "request", "crashed", "until")
		for _, entry := range quarantine.Requests {
			printRow(w, entry.Fingerprint, entry.Service, entry.Request, entry.Targets, formatTime(&entry.Until))
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
