package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// homePicker offers a target in each of some regions to the requests whose homes allow it. It
// calls onPick before.
type homePicker struct {
	endpoints []*routing.Endpoint
	onPick    func(routing.ProbingRequest)
	full      bool
}

func (p *homePicker) Pick(_ context.Context, req routing.ProbingRequest) (out []routing.Candidate, err error) {
	full := p.full
	p.onPick(req)
	for _, e := range p.endpoints {
		if req.Homes.Allows(e.Target.Location.Region) {
			out = append(out, routing.Candidate{Endpoint: e, Estimate: routing.Estimate{HasFreeSlot: !full}})
		}
	}
	return out, nil
}

func newInbound(path string) *httpserver.Request {
	req := httptest.NewRequest(http.MethodGet, path, nil)
	req.Host = "h"
	return &httpserver.Request{HTTP: req, RequestTarget: path, Path: path, ReceivedAt: time.Now(), BodyDeadline: func(time.Time) {}}
}

// homesForwarder returns the forwarder of a request with the given homes of its rule and its
// organisation, and a function that puts other homes of the rule in force.
func homesForwarder(t *testing.T, picker Picker, ruleHomes, organisationHomes []model.Region) (*forwarder, func(revision model.Revision, homes ...model.Region)) {
	t.Helper()
	f := newFixture(t, model.Idempotent)
	f.Picker = picker
	f.Regions = map[model.Region]bool{"praha": true, "brno": true}
	apply := func(revision model.Revision, homes ...model.Region) {
		table, err := route.NewTable(route.Config{
			Revision: revision,
			Services: []route.Service{{Name: "s"}},
			Rules: []*route.Rule{{
				Name: "r", Host: "h", Prefix: "/a/", Objective: time.Minute, Timeout: time.Minute, MaxAttempts: 2, Homes: homes,
				Backends: []route.Backend{{Service: "s", Weight: 1}},
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
		f.Routes.Apply(table)
	}
	apply(2, ruleHomes...)
	table := f.Routes.Current()
	forwarder := f.newForwarder(newInbound("/a/"), table, table.Match("h", "/a/"))
	if organisationHomes != nil {
		forwarder.organisation = &route.Organisation{Name: "o", Homes: organisationHomes}
	}
	return forwarder, apply
}

// TestRequestsWithoutHomeAreRefusedAtOnce checks that a request that no region may serve is
// refused as not run, without a wait and without a look at any target.
func TestRequestsWithoutHomeAreRefusedAtOnce(t *testing.T) {
	for name, homes := range map[string]struct{ rule, organisation []model.Region }{
		"homes of rule and organisation that exclude each other": {[]model.Region{"praha"}, []model.Region{"brno"}},
		"a region that doesn't exist":                            {[]model.Region{"nowhere"}, nil},
	} {
		picks := 0
		f, _ := homesForwarder(t, &homePicker{onPick: func(routing.ProbingRequest) { picks++ }}, homes.rule, homes.organisation)
		_, reply := f.selectTarget(t.Context(), localReply{})
		if reply == nil || reply.status != http.StatusServiceUnavailable || reply.cause != CauseNoHome || picks > 0 {
			t.Errorf("%s: %+v after %d picks, want an immediate 503 for %s", name, reply, picks, CauseNoHome)
		}
	}
}

// TestHomesTakenAwayBindWaitingRequests changes the homes while a request waits for a slot:
// it may be sent only where both the routes of its arrival and those in force allow it.
func TestHomesTakenAwayBindWaitingRequests(t *testing.T) {
	praha := &routing.Endpoint{Target: model.Target{ID: "praha", Location: model.Location{Region: "praha"}}, Load: new(routing.Load)}
	brno := &routing.Endpoint{Target: model.Target{ID: "brno", Location: model.Location{Region: "brno"}}, Load: new(routing.Load)}
	for name, c := range map[string]struct {
		before, after []model.Region
		want          model.TargetID
	}{
		"one of two homes is taken away": {[]model.Region{"praha", "brno"}, []model.Region{"brno"}, "brno"},
		"a home is added":                {[]model.Region{"brno"}, nil, "brno"},
		"the home is replaced":           {[]model.Region{"brno"}, []model.Region{"praha"}, ""},
	} {
		picker := &homePicker{endpoints: []*routing.Endpoint{praha, brno}, full: true}
		f, apply := homesForwarder(t, picker, c.before, nil)
		picker.onPick = func(routing.ProbingRequest) {
			if picker.full {
				picker.full = false
				apply(3, c.after...)
			}
		}
		got, reply := f.selectTarget(t.Context(), localReply{})
		if c.want == "" && (reply == nil || reply.cause != CauseNoHome) {
			t.Errorf("%s: %v, %+v, want a refusal for %s", name, got.Endpoint, reply, CauseNoHome)
		}
		if c.want != "" && (reply != nil || got.Endpoint.Target.ID != c.want) {
			t.Errorf("%s: %+v, %+v, want %s", name, got.Endpoint, reply, c.want)
		}
	}
}
