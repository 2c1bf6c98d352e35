package main

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/operator/client"
)

const (
	// inForceWait is the default time to wait for all regions.
	inForceWait = 30 * time.Second
	// inForcePoll is the pause between two looks at the regions.
	inForcePoll = 200 * time.Millisecond
	// settleTries is the number of times that an edit of unknown outcome is sent.
	settleTries = 3
)

func configApply() *ffcli.Command {
	flags := newFlags("redwingpoint config apply")
	r := newRemote(flags)
	author := authorFlag(flags)
	dryRun := flags.Bool("dry-run", false, "only show what would change for each service")
	change := flags.String("change", "", "ID of the change; the same ID takes effect once, however often it is sent")
	wait := flags.Duration("wait", inForceWait, "how long to wait until the revision is in force in every region")
	return r.command(flags, "apply", "redwingpoint config apply [--dry-run] FILE", "put a document in force",
		"  redwingpoint config get >fleet.yaml\n  $EDITOR fleet.yaml\n  redwingpoint config apply --dry-run fleet.yaml\n  redwingpoint config apply --author jana fleet.yaml",
		func(ctx context.Context, c *client.Client, args []string) error {
			text, err := readDocument(args)
			if err != nil {
				return err
			}
			req := api.ApplyRequest{Text: text, Author: *author, ChangeID: *change}
			if req.ChangeID == "" {
				req.ChangeID = uuid.NewString()
			}
			if req.Author == "" {
				return &usageError{Problem: "say who you are with --author"}
			}
			if *dryRun {
				return r.dryRun(ctx, c, req)
			}
			return r.apply(ctx, c, req, *wait)
		})
}

// applied is the JSON output of an apply.
type applied struct {
	*api.ApplyResponse
	InForce *api.ConfigStatus `json:"inForce"`
}

func (r *remote) apply(ctx context.Context, c *client.Client, req api.ApplyRequest, wait time.Duration) error {
	answer, err := send(ctx, c, req)
	if err != nil {
		return err
	}
	inForce := waitInForce(ctx, c, answer.Revision, wait)
	result := applied{ApplyResponse: answer, InForce: inForce}
	if err := r.show(result, func(w *tabwriter.Writer) { printApplied(w, answer, inForce) }); err != nil {
		return err
	}
	return missing(inForce, answer.Revision)
}

// send applies an edit. One of unknown outcome is sent again under its change
// ID, which settles it.
func send(ctx context.Context, c *client.Client, req api.ApplyRequest) (*api.ApplyResponse, error) {
	for try := 1; ; try++ {
		answer, err := c.Apply(ctx, req)
		var problem *api.Problem
		var silent *client.UnreachableError
		unknown := errors.As(err, &silent) || (errors.As(err, &problem) && problem.Code == api.CodeOutcomeUnknown)
		if !unknown {
			return answer, err
		}
		if try == settleTries {
			return nil, &api.Problem{Code: api.CodeOutcomeUnknown, Detail: err.Error(), ChangeID: req.ChangeID}
		}
	}
}

// waitInForce returns the last report once a revision is in force everywhere or
// the wait is over. It is nil if the instance gave none.
func waitInForce(ctx context.Context, c *client.Client, revision model.Revision, wait time.Duration) *api.ConfigStatus {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var last *api.ConfigStatus
	for {
		if report, err := c.ConfigStatus(ctx); err == nil {
			last = report
		}
		if last != nil && last.InForceEverywhere(revision) {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(inForcePoll):
		}
	}
}

func missing(f *api.ConfigStatus, revision model.Revision) error {
	if f == nil {
		return &notInForceError{Regions: []string{"any region as far as is known"}}
	}
	var regions []string
	for _, region := range f.Regions {
		if region.Live == 0 || region.Revision < revision {
			regions = append(regions, string(region.Region))
		}
	}
	if len(regions) > 0 {
		return &notInForceError{Regions: regions}
	}
	return nil
}

func printApplied(w *tabwriter.Writer, answer *api.ApplyResponse, f *api.ConfigStatus) {
	switch {
	case answer.Unchanged:
		row(w, fmt.Sprintf("revision %d has these values already", answer.Revision))
	case answer.Rebased:
		row(w, fmt.Sprintf("accepted as revision %d, on top of other operators' changes", answer.Revision))
	default:
		row(w, fmt.Sprintf("accepted as revision %d", answer.Revision))
	}
	if !answer.Unchanged {
		printChanges(w, answer.Changes)
	}
	printWarnings(w, answer.Warnings)
	if f != nil {
		printRegions(w, f, answer.Revision)
	}
}

// printRegions prints one line for each region; want is the revision that
// should be in force.
func printRegions(w *tabwriter.Writer, f *api.ConfigStatus, want model.Revision) {
	row(w, "region", "in force", "instances")
	for _, region := range f.Regions {
		reached, last := 0, model.Revision(0)
		for _, i := range region.Instances {
			if i.Live && i.Revision >= want {
				reached++
			}
			last = max(last, i.Revision)
		}
		state := "no"
		switch {
		case region.Unreachable && (region.Live == 0 || reached < region.Live):
			state = fmt.Sprintf("cut off; last heard revision %d", last)
		case region.Live == 0:
			state = fmt.Sprintf("not reached; last heard revision %d", last)
		case reached == region.Live:
			state = fmt.Sprintf("revision %d", region.Revision)
		}
		count := fmt.Sprintf("%d of %d live", reached, region.Live)
		if region.NonMembers > 0 {
			count += fmt.Sprintf(", %d not heard", region.NonMembers)
		}
		row(w, region.Region, state, count)
	}
}

func configStatus() *ffcli.Command {
	flags := newFlags("redwingpoint config status")
	r := newRemote(flags)
	return r.command(flags, "status", "redwingpoint config status", "show which revision is in force in each region",
		"  redwingpoint config status",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			f, err := c.ConfigStatus(ctx)
			if err != nil {
				return err
			}
			err = r.show(f, func(w *tabwriter.Writer) {
				row(w, fmt.Sprintf("accepted is revision %d", f.Accepted))
				if f.StoreError != "" {
					row(w, "the store doesn't answer: "+f.StoreError)
				}
				printRegions(w, f, f.Accepted)
			})
			if err != nil {
				return err
			}
			return missing(f, f.Accepted)
		})
}
