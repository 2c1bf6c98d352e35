package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// permitPicker offers the targets of an orderedPicker with a permit granted at a time.
type permitPicker struct {
	*orderedPicker
	grantedAt time.Time
}

func (p *permitPicker) Pick(ctx context.Context, req routing.ProbingRequest) ([]routing.Candidate, error) {
	candidates, err := p.orderedPicker.Pick(ctx, req)
	for i := range candidates {
		candidates[i].ColdPermit = &routing.ColdPermit{GrantedAt: p.grantedAt}
	}
	return candidates, err
}

// TestRequestIsNotSentByAnExpiredPermit checks that a request whose permit has expired when the
// connection is ready reaches no target, is refused as not run, and that the target isn't
// blamed.
func TestRequestIsNotSentByAnExpiredPermit(t *testing.T) {
	for _, c := range []struct {
		age        time.Duration
		status     int
		deliveries string
	}{{0, http.StatusCreated, "1"}, {time.Minute, http.StatusServiceUnavailable, "0"}} {
		f := newFixture(t, model.NonIdempotent, succeeds)
		f.Picker = &permitPicker{f.picker, time.Now().Add(-c.age)}
		a := f.send(context.Background(), "/a/", "x")
		if a.Status != c.status || f.deliveries() != c.deliveries {
			t.Errorf("permit of age %v: status %d, deliveries %s, want %d, %s", c.age, a.Status, f.deliveries(), c.status, c.deliveries)
		}
		if risk := f.picker.endpoints[0].Load.Reliability.Risk(routing.Monotonic()); risk > 0 {
			t.Errorf("permit of age %v: the target counts as failing (%v)", c.age, risk)
		}
	}
}
