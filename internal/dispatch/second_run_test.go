package dispatch

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// timedUpstream answers each run after its target's time, unless it is broken off before.
type timedUpstream struct {
	mu      sync.Mutex
	takes   map[model.TargetID]time.Duration
	failing map[model.TargetID]bool
	// statuses are those of the targets' responses, other than 200.
	statuses  map[model.TargetID]int
	runs      []model.TargetID
	cancelled int
}

func (u *timedUpstream) Do(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	id := call.Endpoint.Target.ID
	u.mu.Lock()
	u.runs = append(u.runs, id)
	takes, failing := u.takes[id], u.failing[id]
	u.mu.Unlock()
	select {
	case <-time.After(takes):
	case <-ctx.Done():
		u.mu.Lock()
		u.cancelled++
		u.mu.Unlock()
		return nil, &upstream.CallError{Target: id, Reason: upstream.Cancelled, Sent: true, Cause: ctx.Err()}
	}
	if failing {
		return nil, &upstream.CallError{Target: id, Reason: upstream.ConnectionLost, Sent: true, Cause: io.ErrUnexpectedEOF}
	}
	return &upstream.Response{Status: cmp.Or(u.statuses[id], http.StatusOK), Header: http.Header{"By": {string(id)}}, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

func (u *timedUpstream) HasEnded(context.Context, *routing.Endpoint) bool { return false }

// newContendedFixture is a fixture for a service that a rule of another priority uses too.
// It must be made outside of a synctest bubble, since it starts servers. Requests have an objective of 600 ms and 1.5 s until their timeout; targets have the given
// durations.
func newContendedFixture(t *testing.T, class model.Class, takes ...time.Duration) (*fixture, *timedUpstream) {
	f := newFixture(t, class, make([]http.HandlerFunc, len(takes))...)
	u := &timedUpstream{takes: make(map[model.TargetID]time.Duration), failing: make(map[model.TargetID]bool), statuses: make(map[model.TargetID]int)}
	for i, e := range f.picker.endpoints {
		u.takes[e.Target.ID] = takes[i]
	}
	f.Upstream = u
	backends := []route.Backend{{Service: "s", Weight: 1}}
	table, err := route.NewTable(route.Config{
		Revision: 2, Limits: route.Limits{BodyBytes: 1000}, Services: []route.Service{{Name: "s"}},
		Rules: []*route.Rule{
			{Name: "r", Host: "h", Prefix: "/a/", Class: class, Objective: 600 * time.Millisecond, Timeout: 1500 * time.Millisecond, MaxAttempts: 2, Priority: 2, Backends: backends},
			{Name: "urgent", Host: "h", Prefix: "/urgent/", Class: model.NonIdempotent, Objective: 600 * time.Millisecond, Timeout: 1500 * time.Millisecond, MaxAttempts: 2, Backends: backends},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Routes.Apply(table)
	return f, u
}

// inVirtualTime runs a test in a synctest bubble. Its clock starts before the origin of
// routing.Clock and is put after it, since loads take earlier readings as pauses to come.
func inVirtualTime(t *testing.T, run func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(max(0, -routing.Monotonic()) + time.Hour)
		run(t)
	})
}

// answerTime sends a request and returns its response and when that arrived.
func answerTime(f *fixture) (*httpserver.Response, time.Duration) {
	startedAt := time.Now()
	return f.send(context.Background(), "/a/", "x"), time.Since(startedAt)
}

// TestSecondRunAnswersForASlowOne plays runs that take seven times their usual time on idle
// targets, beside what must not get a second run.
func TestSecondRunAnswersForASlowOne(t *testing.T) {
	const usual, slow = 200 * time.Millisecond, 1400 * time.Millisecond
	for _, c := range []struct {
		name  string
		class model.Class
		takes []time.Duration
		runs  int
		limit time.Duration
	}{
		{"usual run", model.Idempotent, []time.Duration{usual, usual}, 1, usual},
		{"slow run", model.Idempotent, []time.Duration{slow, usual}, 2, 600 * time.Millisecond},
		{"two slow runs", model.Idempotent, []time.Duration{slow, slow}, 2, slow},
		{"slow run that must not be repeated", model.NonIdempotent, []time.Duration{slow, usual}, 1, slow},
	} {
		f, u := newContendedFixture(t, c.class, c.takes...)
		inVirtualTime(t, func(t *testing.T) {
			response, after := answerTime(f)
			synctest.Wait()
			if response == nil || response.Status != http.StatusOK || after > c.limit || len(u.runs) != c.runs {
				t.Errorf("%s: response %+v after %v with runs at %v, want one within %v with %d runs", c.name, response, after, u.runs, c.limit, c.runs)
			}
			if u.cancelled != c.runs-1 {
				t.Errorf("%s: %d runs broken off of %d", c.name, u.cancelled, c.runs)
			}
			for _, e := range f.picker.endpoints {
				if n := e.Load.InFlight(); n != 0 {
					t.Errorf("%s: %d exchanges left at %s", c.name, n, e.Target.ID)
				}
			}
		})
	}
}

// TestFailedSecondRunLeavesTheFirst plays a lost answer of the second run.
func TestFailedSecondRunLeavesTheFirst(t *testing.T) {
	f, u := newContendedFixture(t, model.Idempotent, 700*time.Millisecond, 50*time.Millisecond)
	inVirtualTime(t, func(t *testing.T) {
		u.failing["t1"] = true
		response, after := answerTime(f)
		if response == nil || response.Header.Get("By") != "t0" || after != 700*time.Millisecond || len(u.runs) != 2 {
			t.Errorf("response %+v after %v, runs at %v", response, after, u.runs)
		}
	})
}

// TestSecondRunsSpendTheRetryBudget plays a service whose runs are all slow.
func TestSecondRunsSpendTheRetryBudget(t *testing.T) {
	f, u := newContendedFixture(t, model.Idempotent, 1400*time.Millisecond, 1400*time.Millisecond)
	inVirtualTime(t, func(t *testing.T) {
		const requests = 100
		for range requests {
			answerTime(f)
		}
		// The share of 0.2 allows 20 repeats, the budget filled by newFixture 2 more.
		if second := len(u.runs) - requests; second > 22 || second < 10 {
			t.Errorf("%d second runs for %d requests", second, requests)
		}
	})
}

// TestNoSecondRunWhereNothingCompetes guards services whose requests have one priority.
func TestNoSecondRunWhereNothingCompetes(t *testing.T) {
	f, u := newContendedFixture(t, model.Idempotent, 1400*time.Millisecond, 200*time.Millisecond)
	inVirtualTime(t, func(t *testing.T) {
		config := f.Routes.Current().Config()
		config.Revision = 3
		for _, r := range config.Rules {
			r.Priority = 1
		}
		table, err := route.NewTable(config)
		if err != nil {
			t.Fatal(err)
		}
		f.Routes.Apply(table)
		if answerTime(f); len(u.runs) != 1 {
			t.Errorf("runs at %v", u.runs)
		}
	})
}
