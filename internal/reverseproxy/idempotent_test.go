package reverseproxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

func TestRetryAvoidsSheddingTarget(t *testing.T) {
	s := newTestServer(testDocument, nil)
	targets := s.serveTargets(t, "nahled", 2)
	targets[0].Rejecting.Store(true)
	for range 10 {
		if w := s.do(get("/nahled/letters/7")); w.Code != http.StatusOK {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	}
	if shed := s.observed.count(health.Shed); int64(shed) != targets[0].Received() {
		t.Errorf("%d of %d sheds observed", shed, targets[0].Received())
	}
	if got := s.observed.count(health.Answered); got != 10 {
		t.Errorf("%d responses observed", got)
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	const requests = 2000
	attempts := 0
	s := newTestServer(testDocument, func(o *Options) {
		o.Upstream = clientFunc(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
			attempts++
			return nil, brokenConnection(call)
		})
	})
	s.listTargets("nahled", 5, 2)
	for range requests {
		wantProblem(t, s.do(get("/nahled/1")), http.StatusBadGateway, CodeTargetFailed, OutcomeUnknown)
	}
	if retries := attempts - requests; retries > requests/10+10 || retries < requests/20 {
		t.Errorf("%d retries of %d requests", retries, requests)
	}
}

// In a chain of services, only the load balancer closest to the failing service
// may retry.
func TestRetriesDoNotMultiplyAcrossNestedCalls(t *testing.T) {
	const requests = 1000
	calls := 0
	handler := func(upstream.Call) *upstream.Response {
		calls++
		return newResponse(http.StatusServiceUnavailable, "down")
	}
	for range maxCallDepth {
		nested := handler
		s := newTestServer(strings.Replace(testDocument, `"defaults":{`, `"defaults":{"hedgeBudget":0,`, 1), func(o *Options) {
			o.Upstream = clientFunc(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
				return nested(call), nil
			})
		})
		s.listTargets("nahled", 3, 2)
		handler = func(call upstream.Call) *upstream.Response {
			req := get("/nahled/1")
			for name, values := range call.Header {
				req.Header[name] = values
			}
			w := s.do(req)
			return &upstream.Response{Status: w.Code, Header: w.Header(), Body: io.NopCloser(w.Body)}
		}
	}
	for range requests {
		if response := handler(upstream.Call{}); response.Status != http.StatusServiceUnavailable {
			t.Fatalf("status %d", response.Status)
		}
	}
	if calls > requests+requests/10+10 {
		t.Errorf("%d requests caused %d calls of the last service", requests, calls)
	}
}

func TestRetriedRequestIsNotRetriedBelow(t *testing.T) {
	attempts := 0
	s := newTestServer(testDocument, func(o *Options) {
		o.Upstream = clientFunc(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
			attempts++
			return nil, brokenConnection(call)
		})
	})
	s.listTargets("nahled", 3, 2)
	req := get("/nahled/1")
	req.Header.Set(upstream.HeaderRetried, "true")
	wantProblem(t, s.do(req), http.StatusBadGateway, CodeTargetFailed, OutcomeUnknown)
	if attempts != 1 {
		t.Errorf("%d attempts", attempts)
	}
}

func TestTruncatedShortResponseIsRetried(t *testing.T) {
	s := newTestServer(testDocument, nil)
	targets := s.serveTargets(t, "nahled", 2)
	targets[0].SetBehavior(standin.Truncate)
	for range 8 {
		w := s.do(get("/nahled/1"))
		if w.Code != http.StatusOK || !strings.HasPrefix(w.Body.String(), "nahled-b ran") {
			t.Errorf("%d %q", w.Code, w.Body)
		}
	}
}

// A long response that is truncated must not look complete to the caller.
func TestTruncatedLongResponseAbortsTransfer(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "nahled", 1)[0]
	target.SetBehavior(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 4*readAheadBytes))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	server := httptest.NewUnstartedServer(s.Handler())
	server.Config.ErrorLog = discardLog
	server.Start()
	defer server.Close()
	resp, err := http.Get(server.URL + "/nahled/1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%d bytes of a truncated response look complete", len(body))
	}
}

func TestRemainingDeadlineIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		var deadlines []string
		s := newTestServer(testDocument, func(o *Options) {
			o.Upstream = clientFunc(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				deadlines = append(deadlines, call.Header.Get(upstream.HeaderDeadline)+" "+call.Header.Get(upstream.HeaderDepth))
				if err := sleepContext(ctx, call, 40*time.Millisecond); err != nil {
					return nil, err
				}
				return nil, brokenConnection(call)
			})
		})
		s.configure(strings.NewReplacer(`"revision":1`, `"revision":2`, `"deadline":"30s"`, `"deadline":"1s","hedgeBudget":0`).Replace(testDocument))
		s.listTargets("nahled", 5, 2)
		req := get("/nahled/1")
		req.Header.Set(upstream.HeaderDeadline, "100")
		req.Header.Set(upstream.HeaderDepth, "3")
		wantProblem(t, s.do(req), http.StatusGatewayTimeout, CodeDeadlinePassed, OutcomeUnknown)
		if len(deadlines) != 3 || deadlines[0] != "100 4" || deadlines[len(deadlines)-1] != "20 4" {
			t.Errorf("deadlines %v", deadlines)
		}
	})
}

func TestCancellationReachesTarget(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "nahled", 1)[0]
	target.Work = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- s.do(get("/nahled/1").WithContext(ctx)) }()
	eventually(t, "the target runs the request", func() bool { return target.Runs() == 1 })
	cancel()
	wantProblem(t, <-done, statusCallerGone, CodeCallerCancelled, OutcomeUnknown)
	eventually(t, "the target sees the cancellation", func() bool { return target.Cancelled() == 1 })
}

type noTargetPicker struct{}

func (noTargetPicker) Pick(req routing.Request) (*routing.Endpoint, error) {
	return nil, &routing.NoTargetError{Service: req.Service}
}

func TestNoUsableTargetIsNotRun(t *testing.T) {
	s := newTestServer(testDocument, func(o *Options) { o.Picker = noTargetPicker{} })
	for _, req := range []*http.Request{get("/nahled/1"), post("/odeslani/1", "k", "x"), put("/prijem/1", strings.NewReader("x"))} {
		w := s.do(req)
		wantProblem(t, w, http.StatusServiceUnavailable, CodeNoTarget, NotRun)
		if w.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	if state := s.ledger.state(); state != "not-run" {
		t.Errorf("ledger state %q", state)
	}
}

func TestCrossRegionVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		var crossed atomic.Int64
		s := newTestServer(strings.Replace(testDocument, `"deadline":"30s"`, `"deadline":"1s","crossRegionBytes":10000`, 1), func(o *Options) {
			o.Upstream = clientFunc(func(context.Context, upstream.Call) (*upstream.Response, error) {
				crossed.Add(1000)
				return newResponse(http.StatusOK, strings.Repeat("x", 1000)), nil
			})
		})
		s.table.SetTargets("nahled", []model.Target{{ID: "far", Service: "nahled", Location: model.Location{Region: "brno"}, Slots: 100}})
		start := time.Now()
		refused := 0
		for range 1000 {
			if w := s.do(get("/nahled/1")); w.Code != http.StatusOK {
				refused++
			}
		}
		seconds := time.Since(start).Seconds()
		if limit := int64(10000*(seconds+1)) + 1000; crossed.Load() > limit {
			t.Errorf("%d bytes in %.1f s", crossed.Load(), seconds)
		}
		if refused > 0 {
			t.Errorf("%d requests were refused instead of queued for cross-region budget", refused)
		}
	})
}

func TestRetriedHeaderIsForwardedToCaller(t *testing.T) {
	attempts := 0
	s := newTestServer(testDocument, func(o *Options) {
		o.Upstream = clientFunc(func(context.Context, upstream.Call) (*upstream.Response, error) {
			attempts++
			x := newResponse(http.StatusBadGateway, "down")
			x.Header.Set(upstream.HeaderRetried, strconv.FormatBool(true))
			return x, nil
		})
	})
	s.listTargets("nahled", 3, 2)
	w := s.do(get("/nahled/1"))
	if w.Code != http.StatusBadGateway || w.Header().Get(upstream.HeaderRetried) == "" || attempts != 1 {
		t.Errorf("%d %v after %d attempts", w.Code, w.Header(), attempts)
	}
}

// Load headers of a target must not be forwarded to the caller, whose load
// balancer would attribute them to its own target.
func TestTargetLoadHeadersAreNotForwarded(t *testing.T) {
	s := newTestServer(testDocument, nil)
	for _, service := range []model.ServiceName{"nahled", "odeslani"} {
		s.serveTargets(t, service, 1)[0].Draining.Store(true)
	}
	for _, w := range []*httptest.ResponseRecorder{s.do(get("/nahled/1")), s.do(post("/odeslani/1", "k", "x"))} {
		if w.Code != http.StatusOK || w.Header().Get(upstream.HeaderDraining) != "" || w.Header().Get(upstream.HeaderInFlight) != "" {
			t.Errorf("%d %v", w.Code, w.Header())
		}
	}
}

func TestIdempotentShedByAllTargetsIsNotRun(t *testing.T) {
	s := newTestServer(testDocument, nil)
	for _, target := range s.serveTargets(t, "nahled", 2) {
		target.Rejecting.Store(true)
	}
	w := s.do(get("/nahled/1"))
	wantProblem(t, w, http.StatusServiceUnavailable, CodeOverLimit, NotRun)
	if w.Header().Get("Retry-After") == "" || w.Header().Get(upstream.HeaderShed) != "" {
		t.Errorf("header %v", w.Header())
	}
}

// If no target is left to try, the caller must get the last failed response.
func TestLastFailedResponseIsRelayed(t *testing.T) {
	s := newTestServer(testDocument, func(o *Options) {
		o.Upstream = clientFunc(func(context.Context, upstream.Call) (*upstream.Response, error) {
			return newResponse(http.StatusBadGateway, "no connection to the letters"), nil
		})
	})
	s.listTargets("nahled", 2, 2)
	w := s.do(get("/nahled/1"))
	if w.Code != http.StatusBadGateway || w.Body.String() != "no connection to the letters" || w.Header().Get(upstream.HeaderRetried) == "" {
		t.Errorf("%d %s %v", w.Code, w.Body, w.Header())
	}
}
