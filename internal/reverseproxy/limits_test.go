package reverseproxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// slotLimitPicker treats a target as full once this instance uses all of its
// slots.
type slotLimitPicker struct{ table *routing.Table }

func (p slotLimitPicker) Pick(req routing.Request) (*routing.Endpoint, error) {
	for _, e := range p.table.Snapshot().Pool(req.Service).Endpoints {
		if e.Load.InFlight() < e.Target.Slots {
			return e, nil
		}
	}
	return nil, &routing.SaturatedError{Service: req.Service}
}

// newSlotLimitedServer returns a server for two targets with two slots each,
// which take maxNormalLatency, and the maximum number of concurrent exchanges so
// far.
func newSlotLimitedServer(document string) (*testServer, *atomic.Int64) {
	var running, maxRunning atomic.Int64
	s := newTestServer(document, func(o *Options) {
		o.Upstream = clientFunc(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
			maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
			defer running.Add(-1)
			if err := sleepContext(ctx, call, maxNormalLatency); err != nil {
				return nil, err
			}
			return newResponse(http.StatusOK, ""), nil
		})
	})
	s.picker = slotLimitPicker{s.table}
	s.listTargets("nahled", 2, 2)
	return s, &maxRunning
}

// doConcurrently sends n concurrent requests of one caller and returns the
// responses.
func (s *testServer) doConcurrently(n int, caller string) []*httptest.ResponseRecorder {
	responses := make([]*httptest.ResponseRecorder, n)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() {
			req := get("/nahled/1")
			req.Header.Set(DefaultCallerHeader, caller)
			responses[i] = s.do(req)
		})
	}
	wg.Wait()
	return responses
}

func TestRequestsQueueForFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		s, maxRunning := newSlotLimitedServer(testDocument)
		start := time.Now()
		for _, w := range s.doConcurrently(40, "housing") {
			if w.Code != http.StatusOK {
				t.Errorf("%d %s", w.Code, w.Body)
			}
		}
		if maxRunning.Load() != 4 {
			t.Errorf("%d exchanges ran at once on 4 slots", maxRunning.Load())
		}
		if took := time.Since(start); took != 10*maxNormalLatency {
			t.Errorf("10 rounds of %v took %v", maxNormalLatency, took)
		}
	})
}

func TestExcessRequestsAreRefusedWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		s, _ := newSlotLimitedServer(strings.Replace(testDocument, `"defaults":{`, `"defaults":{"queueLimit":8,`, 1))
		served, refused := 0, 0
		for _, w := range s.doConcurrently(100, "housing") {
			if w.Code == http.StatusOK {
				served++
				continue
			}
			refused++
			wantProblem(t, w, http.StatusTooManyRequests, CodeOverLimit, NotRun)
			if w.Header().Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		}
		if served != 12 || refused != 88 {
			t.Errorf("%d served, %d refused", served, refused)
		}
	})
}

func TestQueueWaitEndsBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		s := newTestServer(testDocument, func(o *Options) { o.Picker = fullPicker{} })
		start := time.Now()
		w := s.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusServiceUnavailable, CodeOverLimit, NotRun)
		if took := time.Since(start); took > 30*time.Second {
			t.Errorf("refused after %v", took)
		}
		if state := s.ledger.state(); state != "not-run" {
			t.Errorf("ledger state %q", state)
		}
	})
}

type fullPicker struct{}

func (fullPicker) Pick(req routing.Request) (*routing.Endpoint, error) {
	return nil, &routing.SaturatedError{Service: req.Service}
}

// Responses that arrive late and out of order must each reach their own caller,
// complete.
func TestEveryCallerGetsItsOwnResponse(t *testing.T) {
	s := newTestServer(testDocument, nil)
	for _, target := range s.serveTargets(t, "nahled", 3) {
		target.SetBehavior(func(w http.ResponseWriter, r *http.Request) {
			if len(r.URL.Path)%3 == 0 {
				select {
				case <-time.After(3 * time.Millisecond):
				case <-r.Context().Done():
				}
			}
			_, _ = io.WriteString(w, strings.Repeat(r.URL.Path, 500))
		})
	}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var wg sync.WaitGroup
	for caller := range 16 {
		wg.Go(func() {
			for i := range 50 {
				path := fmt.Sprintf("/letters/%d/%d", caller, i*i*i)
				resp, err := client.Get(server.URL + "/nahled" + path)
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || string(body) != strings.Repeat(path, 500) {
					t.Errorf("%s got %d bytes, %v", path, len(body), err)
				}
			}
		})
	}
	wg.Wait()
}

// A target that starts to drain must be able to complete its current request, and
// the observer must be told that it drains.
func TestDrainDoesNotInterruptRequest(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "odeslani", 1)[0]
	arrived, finish := make(chan struct{}), make(chan struct{})
	target.SetBehavior(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-finish
		w.Header().Set(upstream.HeaderDraining, "true")
		_, _ = io.WriteString(w, "printed")
	})
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- s.do(post("/odeslani/batches", "k", "letters")) }()
	<-arrived
	close(finish)
	if w := <-done; w.Code != http.StatusOK || w.Body.String() != "printed" {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	s.observed.mu.Lock()
	defer s.observed.mu.Unlock()
	if len(s.observed.all) != 1 || !s.observed.all[0].Draining || s.observed.all[0].Outcome != health.Answered {
		t.Errorf("observed %+v", s.observed.all)
	}
}

// blockedWriter is a caller that doesn't accept response bytes until release is
// closed.
type blockedWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.ResponseRecorder.Write(p)
}

func TestSlowCallerDoesNotHoldSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		s, _ := newSlotLimitedServer(testDocument)
		s.upstream = clientFunc(func(context.Context, upstream.Call) (*upstream.Response, error) {
			return newResponse(http.StatusOK, "preview"), nil
		})
		release := make(chan struct{})
		for range 4 {
			go s.Handler().ServeHTTP(blockedWriter{httptest.NewRecorder(), release}, get("/nahled/1"))
		}
		synctest.Wait()
		start := time.Now()
		if w := s.do(get("/nahled/1")); w.Code != http.StatusOK || time.Since(start) != 0 {
			t.Errorf("%d after %v", w.Code, time.Since(start))
		}
		close(release)
	})
}

func TestMetricsAreExported(t *testing.T) {
	s := newTestServer(testDocument, nil)
	s.serveTargets(t, "nahled", 1)
	s.do(get("/nahled/1"))
	s.do(get("/nowhere/1"))
	var out strings.Builder
	metrics.WritePrometheus(&out, false)
	for _, name := range []string{
		`redwingpoint_request_duration_seconds_count{service="nahled",class="idempotent"}`,
		`redwingpoint_retries_total{service="nahled"}`,
		`redwingpoint_hedges_total{service="nahled"}`,
		`redwingpoint_queue_depth{service="nahled"}`,
		`redwingpoint_retry_budget_denials_total{service="nahled"}`,
		`redwingpoint_refusals_total{code="unknown-service"}`,
	} {
		if !strings.Contains(out.String(), name) {
			t.Errorf("no %s", name)
		}
	}
}
