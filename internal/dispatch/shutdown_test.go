package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// fillingPicker offers targets that are full, except to the first question.
type fillingPicker struct {
	*orderedPicker
	asked int
}

func (p *fillingPicker) Pick(ctx context.Context, req routing.ProbingRequest) ([]routing.Candidate, error) {
	candidates, err := p.orderedPicker.Pick(ctx, req)
	p.asked++
	for i := range candidates {
		if p.asked > 1 {
			candidates[i].Estimate = routing.Estimate{Duration: time.Hour}
		}
	}
	return candidates, err
}

// TestWaitingRequestsAreRefusedDuringAShutdown guards against requests that no target runs and that
// a shutdown cuts without a response, since they wait for a target until its end.
func TestWaitingRequestsAreRefusedDuringAShutdown(t *testing.T) {
	check := func(t *testing.T, f *fixture) {
		startedAt := time.Now()
		f.BeginShutdown(startedAt.Add(100*time.Millisecond), startedAt.Add(20*time.Second))
		response, took := answerTime(f)
		if response.Status != http.StatusServiceUnavailable || took < 100*time.Millisecond || took > 2*time.Second {
			t.Errorf("status %d after %v", response.Status, took)
		}
	}
	for _, class := range []model.Class{model.Idempotent, model.NonIdempotent} {
		t.Run("no target has received it, "+class.String(), func(t *testing.T) {
			f := newFixture(t, class, succeeds)
			f.Picker = &fillingPicker{f.picker, 1}
			check(t, f)
		})
		t.Run("a target has declined it, "+class.String(), func(t *testing.T) {
			f := newFixture(t, class, declines, succeeds)
			f.Picker = &fillingPicker{f.picker, 0}
			check(t, f)
		})
		t.Run("it waits for its turn, "+class.String(), func(t *testing.T) {
			f, _ := newContendedFixture(t, class, 50*time.Millisecond)
			inVirtualTime(t, func(t *testing.T) {
				askUrgently(t, f)
				f.picker.full = true
				startedAt := time.Now()
				f.BeginShutdown(startedAt.Add(100*time.Millisecond), startedAt.Add(time.Second))
				if response, took := answerTime(f); response.Status != http.StatusServiceUnavailable || took > 150*time.Millisecond {
					t.Errorf("status %d after %v", response.Status, took)
				}
			})
		})
	}
}

// TestRequestsAtWorkAtTheEndOfAShutdownGetAResponse guards against callers that don't learn what became
// of a request that a shutdown breaks off.
func TestRequestsAtWorkAtTheEndOfAShutdownGetAResponse(t *testing.T) {
	for _, class := range []model.Class{model.Idempotent, model.NonIdempotent, model.Upload} {
		for name, cause := range map[string]error{"shutdown": httpserver.ClosedError{}, "caller gone": nil} {
			t.Run(name+", "+class.String(), func(t *testing.T) {
				f := newFixture(t, class, hangs)
				lifetime, end := context.WithCancelCause(context.Background())
				ctx, leave := context.WithCancel(lifetime)
				req := httptest.NewRequest(http.MethodPost, "/a/", strings.NewReader("x"))
				req.Host = "h"
				time.AfterFunc(100*time.Millisecond, func() {
					if cause == nil {
						leave()
						time.Sleep(100 * time.Millisecond)
					}
					end(httpserver.ClosedError{})
				})
				response := f.Serve(ctx, &httpserver.Request{
					HTTP: req, RequestTarget: "/a/", Path: "/a/", ReceivedAt: time.Now(), BodyDeadline: func(time.Time) {}, Lifetime: lifetime,
				})
				switch {
				case cause == nil && response != nil:
					t.Errorf("status %d for a caller that has gone", response.Status)
				case cause != nil && (response == nil || response.Status != http.StatusBadGateway || response.Header.Get("Retry-After") != ""):
					t.Errorf("response %v, want status 502", response)
				}
			})
		}
	}
}
