package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// inspectedPicker shows fixed candidates and fails the test at a pick.
type inspectedPicker struct {
	t     *testing.T
	found routing.Inspection
}

func (p *inspectedPicker) Pick(context.Context, routing.ProbingRequest) ([]routing.Candidate, error) {
	p.t.Error("an explanation picked a target")
	return nil, &routing.NoTargetError{}
}

func (p *inspectedPicker) Inspect(context.Context, routing.ProbingRequest) (routing.Inspection, error) {
	return p.found, nil
}

// TestExplainTellsTheDecisionWithoutSending checks each decision that comes before a target
// is chosen, and those that follow from the targets.
func TestExplainTellsTheDecisionWithoutSending(t *testing.T) {
	candidate := func(duration time.Duration) routing.Candidate {
		return routing.Candidate{Endpoint: &routing.Endpoint{Target: model.Target{ID: "t"}, Load: new(routing.Load)},
			Estimate: routing.Estimate{HasFreeSlot: true, Duration: duration}}
	}
	for name, c := range map[string]struct {
		query    RouteQuery
		found    routing.Inspection
		decision string
		status   int
		cause    Cause
	}{
		"unknown host":           {query: RouteQuery{Host: "x", Path: "/a/"}, decision: DecisionRefuse, status: http.StatusNotFound, cause: CauseNoRoute},
		"without a key":          {query: RouteQuery{Host: "h", Path: "/a/"}, decision: DecisionRefuse, status: http.StatusUnauthorized, cause: CauseKeyMissing},
		"unknown organisation":   {query: RouteQuery{Host: "h", Path: "/a/", Organisation: "x"}, decision: DecisionRefuse, status: http.StatusUnauthorized, cause: CauseKeyUnknown},
		"homes exclude all":      {query: RouteQuery{Host: "h", Path: "/a/", Organisation: "far"}, decision: DecisionRefuse, status: http.StatusServiceUnavailable, cause: CauseNoHome},
		"a target in time":       {query: RouteQuery{Host: "h", Path: "/a/", Organisation: "o"}, found: routing.Inspection{Candidates: []routing.Candidate{candidate(time.Second)}}, decision: DecisionSend},
		"only late targets":      {query: RouteQuery{Host: "h", Path: "/a/", Organisation: "o"}, found: routing.Inspection{Candidates: []routing.Candidate{candidate(time.Hour)}}, decision: DecisionWait},
		"no target is listed":    {query: RouteQuery{Host: "h", Path: "/a/", Organisation: "o"}, decision: DecisionRefuse, status: http.StatusServiceUnavailable, cause: CauseNoTarget},
		"public without any key": {query: RouteQuery{Host: "h", Path: "/open/"}, found: routing.Inspection{Candidates: []routing.Candidate{candidate(time.Second)}}, decision: DecisionSend},
	} {
		f := newFixture(t, model.Idempotent)
		f.Picker = &inspectedPicker{t, c.found}
		rule := func(prefix string, public bool) *route.Rule {
			return &route.Rule{Name: prefix, Host: "h", Prefix: prefix, Objective: time.Minute, Timeout: time.Minute, MaxAttempts: 2, Public: public,
				Homes: []model.Region{"praha"}, Backends: []route.Backend{{Service: "s", Weight: 1}}}
		}
		table, err := route.NewTable(route.Config{Revision: 2, Services: []route.Service{{Name: "s"}}, KeysRequired: true,
			Rules:         []*route.Rule{rule("/a/", false), rule("/open/", true)},
			Organisations: []route.Organisation{{Name: "o"}, {Name: "far", Homes: []model.Region{"brno"}}}})
		if err != nil {
			t.Fatal(err)
		}
		f.Routes.Apply(table)
		got := f.Explain(t.Context(), c.query)
		if got.Decision != c.decision || got.Status != c.status || got.Cause != c.cause || got.Revision != 2 {
			t.Errorf("%s: %+v, want %s %d %s", name, got, c.decision, c.status, c.cause)
		}
	}
}
