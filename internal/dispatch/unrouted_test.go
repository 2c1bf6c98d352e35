package dispatch

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// TestRefusalWithoutRouteTellsWhatWasKnown guards against a 404 that nobody can explain
// afterwards: its log line tells the revision held, from whom it came, and when and by whom it
// was last confirmed.
func TestRefusalWithoutRouteTellsWhatWasKnown(t *testing.T) {
	f := newFixture(t, model.Idempotent, succeeds)
	core, lines := observer.New(zap.InfoLevel)
	f.Log = zap.New(core)
	refuse := func() map[string]any {
		t.Helper()
		if got := f.send(t.Context(), "/b/", ""); got.Status != http.StatusNotFound {
			t.Fatalf("status %d", got.Status)
		}
		return lines.TakeAll()[0].ContextMap()
	}
	if got := refuse(); got["revision"] != uint64(1) || got["confirmed_before"] != -time.Second || got["request"] != "request-1" {
		t.Errorf("without a confirmation: %v", got)
	}
	table, err := route.NewTable(route.Config{Revision: 2})
	if err != nil {
		t.Fatal(err)
	}
	table.LearntFrom = route.FromPeer
	f.Routes.Apply(table)
	f.Routes.Confirm(route.FromRelay, time.Now())
	got := refuse()
	age, _ := got["confirmed_before"].(time.Duration)
	if got["revision"] != uint64(2) || got["learnt_from"] != "peer" || got["confirmed_by"] != "relay" || age < 0 || age > time.Minute {
		t.Errorf("after a confirmation: %v", got)
	}
}
