package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingpoint.org/redwingpoint/internal/daemon"
	"redwingpoint.org/redwingpoint/internal/dispatch"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// explainTimeout bounds the question to a gateway, which may ask targets in other regions.
const explainTimeout = 5 * time.Second

// gatewayAnswerError reports a gateway that didn't answer with an explanation.
type gatewayAnswerError struct {
	Address string
	Status  int
	Text    string
}

func (e *gatewayAnswerError) Error() string {
	return fmt.Sprintf("gateway at %s answered %d: %s", e.Address, e.Status, strings.TrimSpace(e.Text))
}

// routeQuestion is what the flags of "explain route" say.
type routeQuestion struct {
	gateway, host, path, organisation, service, output string
}

func explainRouteCommand() *ffcli.Command {
	flags := newFlags("redwingpoint explain route")
	var q routeQuestion
	flags.StringVar(&q.gateway, "gateway", "127.0.0.1:9464", "address of a gateway's metrics")
	flags.StringVar(&q.host, "host", "", "host of the request")
	flags.StringVar(&q.path, "path", "", "path of the request")
	flags.StringVar(&q.organisation, "organisation", "", "organisation whose key the request has; keys themselves aren't accepted")
	flags.StringVar(&q.service, "service", "", "one of the services among which the rule splits requests; without it the heaviest")
	flags.StringVar(&q.output, "output", "text", "text or json")
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return &ffcli.Command{
		Name:       "route",
		ShortUsage: "redwingpoint explain route --host HOST --path PATH [--organisation NAME] [--gateway ADDRESS]",
		ShortHelp:  "show where a request would go now and why, without sending it",
		LongHelp:   "Asks a running gateway, which may ask targets for their load but sends no request and spends\nno retry, quota or permit.\n\nExamples:\n\n  redwingpoint explain route --gateway 10.1.0.34:9464 --host jepu9.example --path /lepu270/2f",
		FlagSet:    flags,
		Options:    flagSources(),
		Exec: func(ctx context.Context, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			switch {
			case q.host == "" || !strings.HasPrefix(q.path, "/"):
				return &usageError{Message: "--host and --path are required; the path begins with a slash"}
			case q.output != "text" && q.output != "json":
				return &usageError{Message: "invalid --output " + q.output, Allowed: []string{"text", "json"}}
			}
			return explainRoute(ctx, q, os.Stdout)
		},
	}
}

// explainRoute asks a gateway and prints its explanation. The error is *gatewayAnswerError or
// that of the connection.
func explainRoute(ctx context.Context, q routeQuestion, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	query := url.Values{"host": {q.host}, "path": {q.path}, "organisation": {q.organisation}, "service": {q.service}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.gateway+daemon.ExplainPath+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return err
	}
	var explanation dispatch.RouteExplanation
	if resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &explanation) != nil {
		return &gatewayAnswerError{Address: q.gateway, Status: resp.StatusCode, Text: string(raw[:min(len(raw), 200)])}
	}
	if q.output == "json" {
		_, err = out.Write(raw)
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printExplanation(w, &explanation)
	return w.Flush()
}

// maxExplanationBytes bounds the answer that is read; 3,700 excluded targets take some 70 kB.
const maxExplanationBytes = 4 << 20

// printExplanation prints the decision first, then what it follows from.
func printExplanation(w *tabwriter.Writer, e *dispatch.RouteExplanation) {
	switch e.Decision {
	case dispatch.DecisionSend:
		printRow(w, fmt.Sprintf("would be sent to %s", e.Candidates[0].ID))
	case dispatch.DecisionWait:
		printRow(w, "would wait: no target asked is expected to answer in time")
	case dispatch.DecisionRefuse:
		printRow(w, fmt.Sprintf("would be refused: status %d, cause %s, come back after %.0f ms", e.Status, e.Cause, e.RetryAfterMs))
	default:
		printRow(w, "undecided: "+e.Problem)
	}
	printRow(w, fmt.Sprintf("routes: revision %d from %s, confirmed by %s %.0f ms ago", e.Revision, orNone(string(e.LearntFrom)), orNone(string(e.ConfirmedBy)), e.ConfirmedAgeMs))
	if r := e.Rule; r != nil {
		printRow(w, fmt.Sprintf("rule: %s %s, %s, priority %d, objective %.0f ms, timeout %.0f ms", r.Name, r.Prefix, r.Class, r.Priority, r.ObjectiveMs, r.TimeoutMs))
		for _, b := range r.Backends {
			printRow(w, fmt.Sprintf("  service %s, weight %d", b.Service, b.Weight))
		}
	}
	if o := e.Organisation; o != nil {
		printRow(w, fmt.Sprintf("organisation: %s, quota %g a second and %g at once %s", o.Name, o.RatePerSecond, o.Burst, o.Problem))
	}
	if len(e.Homes) > 0 {
		printRow(w, fmt.Sprint("homes: ", e.Homes))
	}
	if e.Problem != "" && e.Decision != "" {
		printRow(w, "targets not asked: "+e.Problem)
	}
	printTargets(w, e)
}

// printTargets prints the targets that were asked and the number of the others by reason.
func printTargets(w *tabwriter.Writer, e *dispatch.RouteExplanation) {
	if len(e.Candidates) > 0 {
		printRow(w, "")
		printRow(w, "target of "+string(e.Service), "failure domain", "running", "waiting", "slots", "pace %", "risk", "expected ms", "cost ms", "in time")
	}
	for _, c := range e.Candidates {
		printRow(w, c.ID, c.FailureDomain, c.Running, c.Waiting, c.Slots, c.PacePercent, fmt.Sprintf("%.2f", c.Risk),
			fmt.Sprintf("%.0f", c.ExpectedMs), fmt.Sprintf("%.0f", c.CostMs), c.InTime, c.Silent)
	}
	reasons := make([]routing.Exclusion, 0, len(e.Excluded))
	for reason := range e.Excluded {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		printRow(w, fmt.Sprintf("not asked, %s: %d targets", reason, len(e.Excluded[reason])))
	}
	if e.Unasked > 0 {
		printRow(w, fmt.Sprintf("asked only if no other is in time: %d targets", e.Unasked))
	}
}
