package dispatch

import (
	"context"
	"net/http"
	"time"

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// RouteQuery describes a request to explain. Callers' keys are not part of it.
type RouteQuery struct {
	Host, Path string
	// Organisation is on whose behalf the request would be sent; empty means without a key.
	Organisation model.OrganisationName
	// Service selects one of the services among which the rule splits its requests; empty
	// means the one with the largest weight.
	Service model.ServiceName
}

// RouteExplanation tells where a request would go now, and why. Times are in milliseconds.
type RouteExplanation struct {
	// Decision is "send", "wait" if no target is expected to respond in time, or "refuse".
	Decision string `json:"decision"`
	// Status, Cause and RetryAfterMs are those of the refusal.
	Status       int     `json:"status,omitempty"`
	Cause        Cause   `json:"cause,omitempty"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
	// Revision is that of the routes, last confirmed as the store's latest ConfirmedAgeMs ago,
	// or never if that is below 0.
	Revision       model.Revision `json:"revision"`
	LearntFrom     route.Source   `json:"learntFrom,omitempty"`
	ConfirmedBy    route.Source   `json:"confirmedBy,omitempty"`
	ConfirmedAgeMs float64        `json:"confirmedAgeMs"`

	Rule         *ExplainedRule         `json:"rule,omitempty"`
	Organisation *ExplainedOrganisation `json:"organisation,omitempty"`
	// Homes are the regions that may serve the request; none means all.
	Homes []model.Region `json:"homes,omitempty"`
	// Service is the one whose targets follow.
	Service    model.ServiceName              `json:"service,omitempty"`
	Candidates []ExplainedCandidate           `json:"candidates,omitempty"`
	Excluded   map[routing.Exclusion][]string `json:"excluded,omitempty"`
	// Unasked is the number of targets that are asked only if no candidate is in time.
	Unasked int `json:"unasked,omitempty"`
	// Problem is why the targets' load couldn't be asked for.
	Problem string `json:"problem,omitempty"`
}

// ExplainedRule is the rule that a request matches.
type ExplainedRule struct {
	Name        string          `json:"name"`
	Prefix      string          `json:"prefix"`
	Class       string          `json:"class"`
	Priority    int             `json:"priority"`
	ObjectiveMs float64         `json:"objectiveMs"`
	TimeoutMs   float64         `json:"timeoutMs"`
	Homes       []model.Region  `json:"homes,omitempty"`
	Public      bool            `json:"public,omitempty"`
	Backends    []route.Backend `json:"backends"`
}

// ExplainedOrganisation is the organisation of a request.
type ExplainedOrganisation struct {
	Name          model.OrganisationName `json:"name"`
	Priority      *int                   `json:"priority,omitempty"`
	RatePerSecond float64                `json:"ratePerSecond,omitempty"`
	Burst         float64                `json:"burst,omitempty"`
	Homes         []model.Region         `json:"homes,omitempty"`
	Problem       string                 `json:"problem,omitempty"`
}

// ExplainedCandidate is a target that was asked for its load.
type ExplainedCandidate struct {
	ID            model.TargetID      `json:"id"`
	Region        model.Region        `json:"region"`
	FailureDomain model.FailureDomain `json:"failureDomain"`
	// Running, Waiting, Slots and PacePercent are what the target reported now.
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	Slots       int `json:"slots"`
	PacePercent int `json:"pacePercent"`
	// Silent is why there is no report.
	Silent     string  `json:"silent,omitempty"`
	Risk       float64 `json:"risk"`
	ExpectedMs float64 `json:"expectedMs"`
	CostMs     float64 `json:"costMs"`
	InTime     bool    `json:"inTime"`
}

// Decisions of a RouteExplanation.
const (
	DecisionSend   = "send"
	DecisionWait   = "wait"
	DecisionRefuse = "refuse"
)

// Inspector is implemented by pickers that can show what a pick would start from.
type Inspector interface {
	Inspect(ctx context.Context, req routing.ProbingRequest) (routing.Inspection, error)
}

// Explain tells where a request would go now, without sending it and without counting it: it
// spends no retry, quota or permit. It may ask the targets for their load, within the probe
// budget.
func (d *Dispatcher) Explain(ctx context.Context, q RouteQuery) RouteExplanation {
	table, confirmed := d.Routes.Current(), d.Routes.Confirmed()
	out := RouteExplanation{ConfirmedBy: confirmed.By, ConfirmedAgeMs: toMs(confirmed.Age())}
	if table == nil {
		out.refuse(localReply{status: http.StatusServiceUnavailable, cause: CauseNoRoutes, retryAfter: noRoutesRetryAfter})
		return out
	}
	out.Revision, out.LearntFrom = table.Revision, table.LearntFrom
	rule := table.Match(q.Host, q.Path)
	if rule == nil {
		out.refuse(localReply{status: http.StatusNotFound, cause: CauseNoRoute})
		return out
	}
	out.Rule = explainRule(rule)
	organisation := table.OrganisationNamed(q.Organisation)
	if organisation != nil {
		out.Organisation = explainOrganisation(organisation)
	}
	if reply := explainKey(table, rule, organisation, q.Organisation); reply != nil {
		out.refuse(*reply)
		return out
	}
	f := d.explainingForwarder(q, table, rule, organisation)
	out.Homes, out.Service = f.homes().Regions(), f.service.Name
	if reply := f.explainChecks(); reply != nil {
		out.refuse(*reply)
		return out
	}
	d.explainTargets(ctx, f, &out)
	return out
}

// explainKey returns the reply to a request on behalf of an organisation that may not use the
// rule, or nil.
func explainKey(table *route.Table, rule *route.Rule, organisation *route.Organisation, name model.OrganisationName) *localReply {
	switch {
	case !table.KeysRequired || rule.Public || organisation != nil && organisation.Problem == "":
		return nil
	case name == "":
		return &localReply{status: http.StatusUnauthorized, cause: CauseKeyMissing}
	}
	return &localReply{status: http.StatusUnauthorized, cause: CauseKeyUnknown}
}

// explainingForwarder returns a forwarder of a request that is not sent.
func (d *Dispatcher) explainingForwarder(q RouteQuery, table *route.Table, rule *route.Rule, organisation *route.Organisation) *forwarder {
	now := time.Now()
	name := q.Service
	if name == "" {
		name = heaviestBackend(rule)
	}
	return &forwarder{
		d:                 d,
		inbound:           &httpserver.Request{HTTP: &http.Request{Host: q.Host, Header: http.Header{}}, Path: q.Path, ReceivedAt: now},
		rule:              rule,
		service:           table.Service(name),
		state:             d.serviceStates.get(name),
		contended:         table.Contended(name),
		durations:         d.serviceStates.get(name).durations(rule, table.Contended(name)),
		limits:            table.Limits,
		revision:          table.Revision,
		organisation:      organisation,
		objectiveDeadline: now.Add(rule.Objective),
		deadline:          now.Add(rule.Timeout),
	}
}

// heaviestBackend returns the service that gets most of a rule's requests.
func heaviestBackend(rule *route.Rule) model.ServiceName {
	heaviest := rule.Backends[0]
	for _, b := range rule.Backends[1:] {
		if b.Weight > heaviest.Weight {
			heaviest = b
		}
	}
	return heaviest.Service
}

// explainChecks returns the reply of the checks that come before a target is chosen, or nil.
func (f *forwarder) explainChecks() *localReply {
	if f.organisation != nil {
		if reply := f.checkConfirmation(); reply != nil {
			return reply
		}
	}
	if f.lacksHome(f.homes()) {
		return &localReply{status: http.StatusServiceUnavailable, cause: CauseNoHome, retryAfter: noHomeRetryAfter}
	}
	return firstReply(f.checkQuota, f.checkShutdown)
}

// explainTargets adds the targets and the decision that follows from them.
func (d *Dispatcher) explainTargets(ctx context.Context, f *forwarder, out *RouteExplanation) {
	inspector, ok := d.Picker.(Inspector)
	if !ok {
		out.Problem = "this instance's choice of targets can't be shown"
		return
	}
	req := f.pickRequest()
	found, err := inspector.Inspect(ctx, req)
	if err != nil {
		out.Problem = err.Error()
	}
	out.Unasked = found.Unasked
	out.Excluded = make(map[routing.Exclusion][]string, len(found.Excluded))
	for reason, endpoints := range found.Excluded {
		for _, e := range endpoints {
			out.Excluded[reason] = append(out.Excluded[reason], string(e.Target.ID))
		}
	}
	for i := range found.Candidates {
		out.Candidates = append(out.Candidates, explainCandidate(&found.Candidates[i], req.Work))
	}
	switch {
	case len(out.Candidates) > 0 && out.Candidates[0].InTime:
		out.Decision = DecisionSend
	case len(out.Candidates) > 0 || out.Unasked > 0 || len(out.Excluded[routing.LimitStated])+len(out.Excluded[routing.TargetCold]) > 0:
		out.Decision = DecisionWait
	default:
		out.refuse(localReply{status: http.StatusServiceUnavailable, cause: CauseNoTarget, retryAfter: noTargetRetryAfter})
	}
}

func (e *RouteExplanation) refuse(reply localReply) {
	e.Decision, e.Status, e.Cause, e.RetryAfterMs = DecisionRefuse, reply.status, reply.cause, toMs(reply.retryAfter)
}

func explainRule(r *route.Rule) *ExplainedRule {
	return &ExplainedRule{
		Name: r.Name, Prefix: r.Prefix, Class: r.Class.String(), Priority: r.Priority, ObjectiveMs: toMs(r.Objective),
		TimeoutMs: toMs(r.Timeout), Homes: r.Homes, Public: r.Public, Backends: r.Backends,
	}
}

func explainOrganisation(o *route.Organisation) *ExplainedOrganisation {
	return &ExplainedOrganisation{
		Name: o.Name, Priority: o.Priority, RatePerSecond: o.RatePerSecond, Burst: o.Burst, Homes: o.Homes, Problem: o.Problem,
	}
}

func explainCandidate(c *routing.Candidate, w routing.Work) ExplainedCandidate {
	out := ExplainedCandidate{
		ID: c.Endpoint.Target.ID, Region: c.Endpoint.Target.Location.Region, FailureDomain: c.Endpoint.Target.Location.FailureDomain,
		Running: c.Report.Running, Waiting: c.Report.Waiting, Slots: c.Report.Slots, PacePercent: c.Report.Pace,
		Risk: c.Risk, ExpectedMs: toMs(c.Estimate.Duration), CostMs: toMs(c.Estimate.Cost), InTime: c.InTime(w),
	}
	if c.Err != nil {
		out.Silent = c.Err.Error()
	}
	return out
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
