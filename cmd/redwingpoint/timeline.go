package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/operator"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/operator/client"
)

// filterNames are the flags of timeline that select events.
var filterNames = []struct{ name, usage string }{
	{"request", "ID of a request, as its answer carries it"},
	{"service", "name of a service"},
	{"target", "ID of a target"},
	{"revision", "revision of the configuration"},
	{"kind", "kind of event, such as request-retried"},
	{"since", "how long back, such as 10m, or a time such as 2026-12-24T18:00:00Z"},
}

func timelineCommand() *ffcli.Command {
	flags := newFlags("redwingpoint timeline")
	r := newRemote(flags)
	for _, f := range filterNames {
		flags.String(f.name, "", f.usage)
	}
	return r.command(flags, "timeline", "redwingpoint timeline [filters]", "print the events of all instances as one time line",
		"  redwingpoint timeline --request 4f0c2d\n  redwingpoint timeline --kind target-ejected --since 1h\n  redwingpoint timeline --output json | jq .detail",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			filter, err := filterOf(flags)
			if err != nil {
				return err
			}
			return r.timeline(ctx, c, filter)
		})
}

func filterOf(flags *flag.FlagSet) (url.Values, error) {
	get := func(name string) string { return flags.Lookup(name).Value.String() }
	if _, err := operator.ParseTimelineFilter(get); err != nil {
		return nil, &usageError{Problem: "--" + err.Error()}
	}
	values := url.Values{}
	for _, f := range filterNames {
		if v := get(f.name); v != "" {
			values.Set(f.name, v)
		}
	}
	return values, nil
}

func (r *remote) timeline(ctx context.Context, c *client.Client, filter url.Values) error {
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	merged, silent := collect(ctx, c, status, filter)
	if err := r.printEvents(merged); err != nil {
		return err
	}
	if len(silent) > 0 {
		return &partialError{Silent: silent}
	}
	return nil
}

// collect asks every member at once; the answering instance itself is asked at
// the address that the operator gave.
func collect(ctx context.Context, c *client.Client, s *api.Status, filter url.Values) (merged []events.Event, silent []string) {
	lists := make([][]events.Event, len(s.Members))
	failed := make([]bool, len(s.Members))
	var wg sync.WaitGroup
	for i, member := range s.Members {
		at := c
		if member.Instance != s.Instance {
			at = c.Peer(member)
		}
		wg.Go(func() {
			answer, err := at.Timeline(ctx, filter)
			if err != nil {
				failed[i] = true
				return
			}
			lists[i] = answer.Events
		})
	}
	wg.Wait()
	for i, member := range s.Members {
		if failed[i] {
			silent = append(silent, string(member.Instance))
		}
	}
	return events.Merge(lists...), silent
}

func (r *remote) printEvents(list []events.Event) error {
	enc := json.NewEncoder(r.out)
	for i := range list {
		if r.output == outputJSON {
			if err := enc.Encode(list[i]); err != nil {
				return eris.Wrap(err, "write")
			}
			continue
		}
		if _, err := fmt.Fprintln(r.out, list[i].Text()); err != nil {
			return eris.Wrap(err, "write")
		}
	}
	return nil
}
