package entry

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

// slotPicker counts a target as full once all its slots are taken by this instance.
type slotPicker struct{ table *routing.Table }

func (p slotPicker) Pick(req routing.Request) (*routing.Endpoint, error) {
	for _, e := range p.table.Snapshot().Pool(req.Service).Endpoints {
		if e.Load.InFlight() < e.Target.Slots {
			return e, nil
		}
	}
	return nil, &routing.SaturatedError{Service: req.Service}
}

// slotBench has two targets with two slots each that take usualLatency, and an
// exchanger that notes the most exchanges that ran at once.
func slotBench(document string) (*bench, *atomic.Int64) {
	var running, most atomic.Int64
	b := newBench(document, func(o *Options) {
		o.Upstream = scripted(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
			most.Store(max(most.Load(), running.Add(1)))
			defer running.Add(-1)
			if err := pause(ctx, call, usualLatency); err != nil {
				return nil, err
			}
			return answerWith(http.StatusOK, ""), nil
		})
	})
	b.picker = slotPicker{b.table}
	b.listTargets("nahled", 2, 2)
	return b, &most
}

// atOnce sends n requests of a caller at once.
func (b *bench) atOnce(n int, caller string) []*httptest.ResponseRecorder {
	answers := make([]*httptest.ResponseRecorder, n)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			req := get("/nahled/1")
			req.Header.Set(DefaultCallerHeader, caller)
			answers[i] = b.do(req)
		})
	}
	wg.Wait()
	return answers
}

func TestRequestsWaitForAFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		b, most := slotBench(testDocument)
		start := time.Now()
		for _, w := range b.atOnce(40, "housing") {
			if w.Code != http.StatusOK {
				t.Errorf("%d %s", w.Code, w.Body)
			}
		}
		if most.Load() != 4 {
			t.Errorf("%d exchanges ran at once on 4 slots", most.Load())
		}
		if took := time.Since(start); took != 10*usualLatency {
			t.Errorf("10 rounds of %v took %v", usualLatency, took)
		}
	})
}

func TestFloodIsRefusedWithAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		b, _ := slotBench(strings.Replace(testDocument, `"defaults":{`, `"defaults":{"queueLimit":8,`, 1))
		served, refused := 0, 0
		for _, w := range b.atOnce(100, "housing") {
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

func TestWaitEndsBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		b := newBench(testDocument, func(o *Options) { o.Picker = fullPicker{} })
		start := time.Now()
		w := b.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusServiceUnavailable, CodeOverLimit, NotRun)
		if took := time.Since(start); took > 30*time.Second {
			t.Errorf("refused after %v", took)
		}
		if state := b.ledger.state(); state != "not-run" {
			t.Errorf("ledger says %q", state)
		}
	})
}

type fullPicker struct{}

func (fullPicker) Pick(req routing.Request) (*routing.Endpoint, error) {
	return nil, &routing.SaturatedError{Service: req.Service}
}

// Answers come late and out of order; each caller gets its own and whole.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	b := newBench(testDocument, nil)
	for _, target := range b.serveTargets(t, "nahled", 3) {
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
	entry := httptest.NewServer(b.Handler())
	defer entry.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var wg sync.WaitGroup
	for caller := range 16 {
		wg.Go(func() {
			for i := range 50 {
				path := fmt.Sprintf("/letters/%d/%d", caller, i*i*i)
				resp, err := client.Get(entry.URL + "/nahled" + path)
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

// A target that begins to drain finishes what it runs, and the observer is told.
func TestDrainMidRequestCutsNothing(t *testing.T) {
	b := newBench(testDocument, nil)
	target := b.serveTargets(t, "odeslani", 1)[0]
	arrived, finish := make(chan struct{}), make(chan struct{})
	target.SetBehavior(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-finish
		w.Header().Set(upstream.HeaderDraining, "true")
		_, _ = io.WriteString(w, "printed")
	})
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- b.do(post("/odeslani/batches", "k", "letters")) }()
	<-arrived
	close(finish)
	if w := <-done; w.Code != http.StatusOK || w.Body.String() != "printed" {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	b.observed.mu.Lock()
	defer b.observed.mu.Unlock()
	if len(b.observed.all) != 1 || !b.observed.all[0].Draining || b.observed.all[0].Outcome != health.Answered {
		t.Errorf("observed %+v", b.observed.all)
	}
}

// stuckWriter is a caller that does not take its answer until released.
type stuckWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.ResponseRecorder.Write(p)
}

func TestSlowCallerDoesNotHoldASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		b, _ := slotBench(testDocument)
		b.upstream = scripted(func(context.Context, upstream.Call) (*upstream.Response, error) {
			return answerWith(http.StatusOK, "preview"), nil
		})
		release := make(chan struct{})
		for range 4 {
			go b.Handler().ServeHTTP(stuckWriter{httptest.NewRecorder(), release}, get("/nahled/1"))
		}
		synctest.Wait()
		start := time.Now()
		if w := b.do(get("/nahled/1")); w.Code != http.StatusOK || time.Since(start) != 0 {
			t.Errorf("%d after %v", w.Code, time.Since(start))
		}
		close(release)
	})
}

func TestMetricsAreExported(t *testing.T) {
	b := newBench(testDocument, nil)
	b.serveTargets(t, "nahled", 1)
	b.do(get("/nahled/1"))
	b.do(get("/nowhere/1"))
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
