package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// spentPicker ranks a busy target once, which then makes a statement, and has no probes left
// afterwards.
type spentPicker struct {
	endpoint *routing.Endpoint
	states   routing.Statement
	picks    int
}

func (p *spentPicker) Pick(context.Context, routing.ProbingRequest) ([]routing.Candidate, error) {
	p.picks++
	if p.picks > 1 {
		return nil, &routing.ProbeBudgetError{Service: "s"}
	}
	p.endpoint.Load.RecordStatement(p.states, true, routing.Monotonic())
	return []routing.Candidate{{Endpoint: p.endpoint, Estimate: routing.Estimate{HasFreeSlot: true, Duration: 900 * time.Millisecond}}}, nil
}

// TestWaitingRequestHeedsStatements guards against a request that waits for a better target,
// and is then sent by an old ranking to one that meanwhile asked for a pause, named a limit or
// said that it leaves.
func TestWaitingRequestHeedsStatements(t *testing.T) {
	for name, c := range map[string]struct {
		states routing.Statement
		status int
	}{
		"nothing": {routing.Statement{}, http.StatusCreated},
		"pause":   {routing.Statement{Pause: time.Minute}, http.StatusServiceUnavailable},
		"limit":   {routing.Statement{Limited: true, LimitPerSecond: 1}, http.StatusServiceUnavailable},
		"leaving": {routing.Statement{Leaving: true}, http.StatusServiceUnavailable},
	} {
		f := newFixture(t, model.NonIdempotent, succeeds)
		f.Routes.Current().Match("h", "/a/").Objective = 200 * time.Millisecond
		f.Picker = &spentPicker{endpoint: f.picker.endpoints[0], states: c.states}
		a := f.send(context.Background(), "/a/", "x")
		if a.Status != c.status || (c.status != http.StatusCreated) != (f.deliveries() == "0") {
			t.Errorf("%s: status %d, deliveries %s, want %d", name, a.Status, f.deliveries(), c.status)
		}
	}
}
