package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// askUrgently sends some urgent requests while room is short, so that there is a reserve.
func askUrgently(t *testing.T, f *fixture) {
	t.Helper()
	for range 5 {
		if a := f.send(context.Background(), "/urgent/", "x"); a.Status != http.StatusOK {
			t.Fatalf("urgent request: status %d", a.Status)
		}
	}
	for range 20 {
		f.serviceStates.get("s").scheduler.Demand.Look(1, 1)
	}
}

// TestPatientRequestsLeaveRoomForUrgentOnes plays a target with its last slot free: it is for
// urgent requests, a patient one waits until there is more room.
func TestPatientRequestsLeaveRoomForUrgentOnes(t *testing.T) {
	f, u := newContendedFixture(t, model.NonIdempotent, 50*time.Millisecond)
	inVirtualTime(t, func(t *testing.T) {
		f.picker.free.Store(1)
		askUrgently(t, f)
		const roomAfter = 60 * time.Millisecond
		time.AfterFunc(roomAfter, func() { f.picker.free.Store(5) })
		response, after := answerTime(f)
		if response.Status != http.StatusOK || after < roomAfter || after > 3*roomAfter || len(u.runs) != 6 {
			t.Errorf("status %d after %v, %d runs", response.Status, after, len(u.runs))
		}
	})
}

// TestPatientRequestWithoutDemandTakesTheLastSlot guards against a reserve for nobody.
func TestPatientRequestWithoutDemandTakesTheLastSlot(t *testing.T) {
	f, _ := newContendedFixture(t, model.NonIdempotent, 50*time.Millisecond)
	inVirtualTime(t, func(t *testing.T) {
		f.picker.free.Store(1)
		if response, after := answerTime(f); response.Status != http.StatusOK || after != 50*time.Millisecond {
			t.Errorf("status %d after %v", response.Status, after)
		}
	})
}

// TestRequestWithoutRoomIsRefusedWhenItsTimeToStartHasPassed plays targets that stay full.
func TestRequestWithoutRoomIsRefusedWhenItsTimeToStartHasPassed(t *testing.T) {
	f, u := newContendedFixture(t, model.NonIdempotent, 50*time.Millisecond)
	inVirtualTime(t, func(t *testing.T) {
		askUrgently(t, f)
		f.picker.full = true
		response, after := answerTime(f)
		if response.Status != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || after > 600*time.Millisecond || len(u.runs) != 5 {
			t.Errorf("status %d after %v, Retry-After %q, %d runs", response.Status, after, response.Header.Get("Retry-After"), len(u.runs))
		}
	})
}
