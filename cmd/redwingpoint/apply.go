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
	// defaultInForceWait is the default of --wait: how long apply waits until the
	// revision is in force in every region.
	defaultInForceWait = 30 * time.Second
	// inForcePollInterval is the delay between two requests for the regions' state.
	inForcePollInterval = 200 * time.Millisecond
	// maxApplyAttempts bounds how often an edit is sent while its outcome is unknown.
	maxApplyAttempts = 3
)

func configApplyCommand() *ffcli.Command {
	flags := newFlags("redwingpoint config apply")
	r := newRemoteCommand(flags)
	author := authorFlag(flags)
	dryRun := flags.Bool("dry-run", false, "only show what would change for each service")
	change := flags.String("change", "", "ID of the change; the same ID takes effect once, however often it is sent")
	wait := flags.Duration("wait", defaultInForceWait, "how long to wait until the revision is in force in every region")
	return r.build(flags, "apply", "redwingpoint config apply [--dry-run] FILE", "put a document in force",
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
				return &usageError{Message: "--author is required"}
			}
			if *dryRun {
				return r.dryRun(ctx, c, req)
			}
			return r.apply(ctx, c, req, *wait)
		})
}

// applyResult is the JSON output of config apply.
type applyResult struct {
	*api.ApplyResponse
	InForce *api.ConfigStatus `json:"inForce"`
}

// apply sends an edit, waits until it is in force everywhere and prints the result.
// Errors include those of applyWithRetry and *notInForceError if some regions don't
// have the revision when the wait ends.
func (r *remoteCommand) apply(ctx context.Context, c *client.Client, req api.ApplyRequest, wait time.Duration) error {
	response, err := applyWithRetry(ctx, c, req)
	if err != nil {
		return err
	}
	inForce := waitInForce(ctx, c, response.Revision, wait)
	result := applyResult{ApplyResponse: response, InForce: inForce}
	if err := r.print(result, func(w *tabwriter.Writer) { printApplyResult(w, response, inForce) }); err != nil {
		return err
	}
	return checkInForce(inForce, response.Revision)
}

// applyWithRetry applies an edit. If the outcome is unknown, it sends the edit again
// with the same change ID, so that the edit takes effect at most once. The error is
// *api.Problem; its code is api.CodeOutcomeUnknown if all attempts end that way.
func applyWithRetry(ctx context.Context, c *client.Client, req api.ApplyRequest) (*api.ApplyResponse, error) {
	for attempt := 1; ; attempt++ {
		response, err := c.Apply(ctx, req)
		var problem *api.Problem
		var unreachable *client.UnreachableError
		unknown := errors.As(err, &unreachable) || (errors.As(err, &problem) && problem.Code == api.CodeOutcomeUnknown)
		if !unknown {
			return response, err
		}
		if attempt == maxApplyAttempts {
			return nil, &api.Problem{Code: api.CodeOutcomeUnknown, Detail: err.Error(), ChangeID: req.ChangeID}
		}
	}
}

// waitInForce polls until a revision is in force everywhere or the wait is over, and
// returns the latest report; nil if the instance returned none.
func waitInForce(ctx context.Context, c *client.Client, revision model.Revision, wait time.Duration) *api.ConfigStatus {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var latest *api.ConfigStatus
	for {
		if report, err := c.ConfigStatus(ctx); err == nil {
			latest = report
		}
		if latest != nil && latest.InForceEverywhere(revision) {
			return latest
		}
		select {
		case <-ctx.Done():
			return latest
		case <-time.After(inForcePollInterval):
		}
	}
}

// checkInForce returns *notInForceError with the regions in which no instance is
// live or some live instance has not reached a revision; nil if there are none.
func checkInForce(inForce *api.ConfigStatus, revision model.Revision) error {
	if inForce == nil {
		return &notInForceError{Regions: []string{"any region as far as is known"}}
	}
	var regions []string
	for _, region := range inForce.Regions {
		if region.Live == 0 || region.Revision < revision {
			regions = append(regions, string(region.Region))
		}
	}
	if len(regions) > 0 {
		return &notInForceError{Regions: regions}
	}
	return nil
}

func printApplyResult(w *tabwriter.Writer, response *api.ApplyResponse, inForce *api.ConfigStatus) {
	switch {
	case response.Unchanged:
		printRow(w, fmt.Sprintf("revision %d has these values already", response.Revision))
	case response.Rebased:
		printRow(w, fmt.Sprintf("accepted as revision %d, on top of other operators' changes", response.Revision))
	default:
		printRow(w, fmt.Sprintf("accepted as revision %d", response.Revision))
	}
	if !response.Unchanged {
		printChanges(w, response.Changes)
	}
	printWarnings(w, response.Warnings)
	if inForce != nil {
		printRegions(w, inForce, response.Revision)
	}
}

// printRegions prints one line for each region; want is the revision that should be
// in force. An instance counts as up to date if it is live and has that revision or a
// later one.
func printRegions(w *tabwriter.Writer, inForce *api.ConfigStatus, want model.Revision) {
	printRow(w, "region", "in force", "instances")
	for _, region := range inForce.Regions {
		upToDate, lastReported := 0, model.Revision(0)
		for _, instance := range region.Instances {
			if instance.Live && instance.Revision >= want {
				upToDate++
			}
			lastReported = max(lastReported, instance.Revision)
		}
		state := "no"
		switch {
		case region.Unreachable && (region.Live == 0 || upToDate < region.Live):
			state = fmt.Sprintf("cut off; last heard revision %d", lastReported)
		case region.Live == 0:
			state = fmt.Sprintf("not reached; last heard revision %d", lastReported)
		case upToDate == region.Live:
			state = fmt.Sprintf("revision %d", region.Revision)
		}
		count := fmt.Sprintf("%d of %d live", upToDate, region.Live)
		if region.NonMembers > 0 {
			count += fmt.Sprintf(", %d not heard", region.NonMembers)
		}
		printRow(w, region.Region, state, count)
	}
}

func configStatusCommand() *ffcli.Command {
	flags := newFlags("redwingpoint config status")
	r := newRemoteCommand(flags)
	return r.build(flags, "status", "redwingpoint config status", "show which revision is in force in each region",
		"  redwingpoint config status",
		func(ctx context.Context, c *client.Client, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			inForce, err := c.ConfigStatus(ctx)
			if err != nil {
				return err
			}
			err = r.print(inForce, func(w *tabwriter.Writer) {
				printRow(w, fmt.Sprintf("accepted is revision %d", inForce.Accepted))
				if inForce.StoreError != "" {
					printRow(w, "the store doesn't answer: "+inForce.StoreError)
				}
				printRegions(w, inForce, inForce.Accepted)
			})
			if err != nil {
				return err
			}
			return checkInForce(inForce, inForce.Accepted)
		})
}
