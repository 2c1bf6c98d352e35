package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"redwingpoint.org/redwingpoint/internal/dispatch"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// TestExplainRoutePrintsTheAnswerOfAGateway checks the question that reaches a gateway and what
// is printed of its answer, and that another answer is an error.
func TestExplainRoutePrintsTheAnswerOfAGateway(t *testing.T) {
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("host") != "h.example" || r.URL.Query().Get("organisation") != "o" {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		_ = json.NewEncoder(w).Encode(dispatch.RouteExplanation{
			Decision: dispatch.DecisionSend, Revision: 7, Rule: &dispatch.ExplainedRule{Name: "r"}, Service: "s",
			Candidates: []dispatch.ExplainedCandidate{{ID: "t-1", Running: 2, Slots: 6, InTime: true}},
			Excluded:   map[routing.Exclusion][]string{routing.TargetCold: {"t-2", "t-3"}},
		})
	}))
	defer gateway.Close()
	q := routeQuestion{gateway: gateway.Listener.Addr().String(), host: "h.example", path: "/p/", organisation: "o", output: "text"}
	var out bytes.Buffer
	if err := explainRoute(context.Background(), q, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"would be sent to t-1", "revision 7", "target of s", "cold, needs a permit: 2 targets"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	q.host = "other"
	if err := explainRoute(context.Background(), q, &out); err == nil || !strings.Contains(err.Error(), "418") {
		t.Errorf("%v, want the gateway's status", err)
	}
}
