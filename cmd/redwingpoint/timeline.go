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

// timelineFilters are the flags of the timeline command that select events. The
// operator endpoint takes query parameters of the same names.
var timelineFilters = []struct{ name, usage string }{
	{"request", "ID of a request, as stated in its response"},
	{"service", "name of a service"},
	{"target", "ID of a target"},
	{"revision", "revision of the configuration"},
	{"kind", "kind of event, such as request-retried"},
	{"since", "earliest time: a duration before now such as 10m, or a time such as 2026-12-24T18:00:00Z"},
}

func timelineCommand() *ffcli.Command {
	flags := newFlags("redwingpoint timeline")
	r := newRemoteCommand(flags)
	for _, f := range timelineFilters {
		flags.String(f.name, "", f.usage)
	}
	return r.build(flags, "timeline", "redwingpoint timeline [filters]", "print the events of all instances as one time line",
		"  redwingpoint timeline --request 4f0c2d\n  redwingpoint timeline --kind target-ejected --since 1h\n  redwingpoint timeline --output json | jq .detail",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			filter, err := timelineQuery(flags)
			if err != nil {
				return err
			}
			return r.timeline(ctx, c, filter)
		})
}

// timelineQuery returns the filters that are set as query parameters, or *usageError if
// one is invalid.
func timelineQuery(flags *flag.FlagSet) (url.Values, error) {
	flagValue := func(name string) string { return flags.Lookup(name).Value.String() }
	if _, err := operator.ParseTimelineFilter(flagValue); err != nil {
		return nil, &usageError{Message: "--" + err.Error()}
	}
	values := url.Values{}
	for _, f := range timelineFilters {
		if v := flagValue(f.name); v != "" {
			values.Set(f.name, v)
		}
	}
	return values, nil
}

// timeline prints the events of all members. The error is *partialResultError if some
// members' events could not be read.
func (r *remoteCommand) timeline(ctx context.Context, c *client.Client, filter url.Values) error {
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	merged, failed := fetchTimelines(ctx, c, status, filter)
	if err := r.printEvents(merged); err != nil {
		return err
	}
	if len(failed) > 0 {
		return &partialResultError{Failed: failed}
	}
	return nil
}

// fetchTimelines requests the events of all members concurrently and returns them
// merged, with the IDs of the members whose request failed. The instance that returned
// the status is called at the address that the operator gave.
func fetchTimelines(ctx context.Context, c *client.Client, status *api.Status, filter url.Values) (merged []events.Event, failed []string) {
	eventLists := make([][]events.Event, len(status.Members))
	hasFailed := make([]bool, len(status.Members))
	var wg sync.WaitGroup
	for i, member := range status.Members {
		memberClient := c
		if member.Instance != status.Instance {
			memberClient = c.Peer(member)
		}
		wg.Go(func() {
			response, err := memberClient.Timeline(ctx, filter)
			if err != nil {
				hasFailed[i] = true
				return
			}
			eventLists[i] = response.Events
		})
	}
	wg.Wait()
	for i, member := range status.Members {
		if hasFailed[i] {
			failed = append(failed, string(member.Instance))
		}
	}
	return events.Merge(eventLists...), failed
}

// printEvents prints one line for each event, as text or JSON.
func (r *remoteCommand) printEvents(merged []events.Event) error {
	enc := json.NewEncoder(r.out)
	for i := range merged {
		if r.output == outputJSON {
			if err := enc.Encode(merged[i]); err != nil {
				return eris.Wrap(err, "write")
			}
			continue
		}
		if _, err := fmt.Fprintln(r.out, merged[i].Text()); err != nil {
			return eris.Wrap(err, "write")
		}
	}
	return nil
}
