package entry

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

func TestRejectingTargetIsAvoidedByRetry(t *testing.T) {
	b := newBench(testDocument, nil)
	targets := b.serveTargets(t, "nahled", 2)
	targets[0].Rejecting.Store(true)
	for range 10 {
		if w := b.do(get("/nahled/letters/7")); w.Code != http.StatusOK {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	}
	if shed := b.observed.count(health.Shed); int64(shed) != targets[0].Received() {
		t.Errorf("observer saw %d of %d sheds", shed, targets[0].Received())
	}
	if got := b.observed.count(health.Answered); got != 10 {
		t.Errorf("observer saw %d answers", got)
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	const requests = 2000
	attempts := 0
	b := newBench(testDocument, func(o *Options) {
		o.Upstream = scripted(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
			attempts++
			return nil, brokenAt(call)
		})
	})
	b.listTargets("nahled", 5, 2)
	for range requests {
		wantProblem(t, b.do(get("/nahled/1")), http.StatusBadGateway, CodeTargetFailed, MayHaveRun)
	}
	if retries := attempts - requests; retries > requests/10+10 || retries < requests/20 {
		t.Errorf("%d retries of %d requests", retries, requests)
	}
}

// In a chain of services the failures of the last one are retried by the layer
// next to it only.
func TestRetriesDoNotMultiplyOverFifteenCalls(t *testing.T) {
	const requests = 1000
	bottom := 0
	next := func(upstream.Call) *upstream.Response {
		bottom++
		return answerWith(http.StatusServiceUnavailable, "down")
	}
	for range maxDepth {
		below := next
		b := newBench(strings.Replace(testDocument, `"defaults":{`, `"defaults":{"hedgeBudget":0,`, 1), func(o *Options) {
			o.Upstream = scripted(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
				return below(call), nil
			})
		})
		b.listTargets("nahled", 3, 2)
		next = func(call upstream.Call) *upstream.Response {
			req := get("/nahled/1")
			for name, values := range call.Header {
				req.Header[name] = values
			}
			w := b.do(req)
			return &upstream.Response{Status: w.Code, Header: w.Header(), Body: io.NopCloser(w.Body)}
		}
	}
	for range requests {
		if answer := next(upstream.Call{}); answer.Status != http.StatusServiceUnavailable {
			t.Fatalf("status %d", answer.Status)
		}
	}
	if bottom > requests+requests/10+10 {
		t.Errorf("%d requests arrived as %d", requests, bottom)
	}
}

func TestRetriedRequestIsNotRetriedBelow(t *testing.T) {
	attempts := 0
	b := newBench(testDocument, func(o *Options) {
		o.Upstream = scripted(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
			attempts++
			return nil, brokenAt(call)
		})
	})
	b.listTargets("nahled", 3, 2)
	req := get("/nahled/1")
	req.Header.Set(upstream.HeaderRetried, "true")
	wantProblem(t, b.do(req), http.StatusBadGateway, CodeTargetFailed, MayHaveRun)
	if attempts != 1 {
		t.Errorf("%d attempts", attempts)
	}
}

func TestShortCutAnswerIsRetriedWhole(t *testing.T) {
	b := newBench(testDocument, nil)
	targets := b.serveTargets(t, "nahled", 2)
	targets[0].SetBehavior(standin.Truncate)
	for range 8 {
		w := b.do(get("/nahled/1"))
		if w.Code != http.StatusOK || !strings.HasPrefix(w.Body.String(), "nahled-b ran") {
			t.Errorf("%d %q", w.Code, w.Body)
		}
	}
}

// A long answer that is cut short must not look whole to the caller.
func TestLongCutAnswerAbortsTransfer(t *testing.T) {
	b := newBench(testDocument, nil)
	target := b.serveTargets(t, "nahled", 1)[0]
	target.SetBehavior(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 4*aheadBytes))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	entry := httptest.NewUnstartedServer(b.Handler())
	entry.Config.ErrorLog = quietLog
	entry.Start()
	defer entry.Close()
	resp, err := http.Get(entry.URL + "/nahled/1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%d bytes of a cut answer look whole", len(body))
	}
}

func TestDeadlineShrinksAndTravels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		var deadlines []string
		b := newBench(testDocument, func(o *Options) {
			o.Upstream = scripted(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				deadlines = append(deadlines, call.Header.Get(upstream.HeaderDeadline)+" "+call.Header.Get(upstream.HeaderDepth))
				if err := pause(ctx, call, 40*time.Millisecond); err != nil {
					return nil, err
				}
				return nil, brokenAt(call)
			})
		})
		b.configure(strings.NewReplacer(`"revision":1`, `"revision":2`, `"deadline":"30s"`, `"deadline":"1s","hedgeBudget":0`).Replace(testDocument))
		b.listTargets("nahled", 5, 2)
		req := get("/nahled/1")
		req.Header.Set(upstream.HeaderDeadline, "100")
		req.Header.Set(upstream.HeaderDepth, "3")
		wantProblem(t, b.do(req), http.StatusGatewayTimeout, CodeDeadlinePassed, MayHaveRun)
		if len(deadlines) != 3 || deadlines[0] != "100 4" || deadlines[len(deadlines)-1] != "20 4" {
			t.Errorf("deadlines %v", deadlines)
		}
	})
}

func TestCancellationReachesTarget(t *testing.T) {
	b := newBench(testDocument, nil)
	target := b.serveTargets(t, "nahled", 1)[0]
	target.Work = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- b.do(get("/nahled/1").WithContext(ctx)) }()
	eventually(t, "the target runs it", func() bool { return target.Runs() == 1 })
	cancel()
	wantProblem(t, <-done, statusCallerGone, CodeCallerCancelled, MayHaveRun)
	eventually(t, "the target is told", func() bool { return target.Cancelled() == 1 })
}

type noTarget struct{}

func (noTarget) Pick(req routing.Request) (*routing.Endpoint, error) {
	return nil, &routing.NoTargetError{Service: req.Service}
}

func TestAllTargetsUnusableIsNotRun(t *testing.T) {
	b := newBench(testDocument, func(o *Options) { o.Picker = noTarget{} })
	for _, req := range []*http.Request{get("/nahled/1"), post("/odeslani/1", "k", "x"), put("/prijem/1", strings.NewReader("x"))} {
		w := b.do(req)
		wantProblem(t, w, http.StatusServiceUnavailable, CodeNoTarget, NotRun)
		if w.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	if state := b.ledger.state(); state != "not-run" {
		t.Errorf("ledger says %q", state)
	}
}

func TestCrossRegionVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		var crossed atomic.Int64
		b := newBench(strings.Replace(testDocument, `"deadline":"30s"`, `"deadline":"1s","crossRegionBytes":10000`, 1), func(o *Options) {
			o.Upstream = scripted(func(context.Context, upstream.Call) (*upstream.Response, error) {
				crossed.Add(1000)
				return answerWith(http.StatusOK, strings.Repeat("x", 1000)), nil
			})
		})
		b.table.SetTargets("nahled", []model.Target{{ID: "far", Service: "nahled", Location: model.Location{Region: "brno"}, Slots: 100}})
		start := time.Now()
		refused := 0
		for range 1000 {
			if w := b.do(get("/nahled/1")); w.Code != http.StatusOK {
				refused++
			}
		}
		seconds := time.Since(start).Seconds()
		if limit := int64(10000*(seconds+1)) + 1000; crossed.Load() > limit {
			t.Errorf("%d bytes in %.1f s", crossed.Load(), seconds)
		}
		if refused > 0 {
			t.Errorf("%d requests that could wait for volume were refused", refused)
		}
	})
}

func TestMarkOfRetriedAnswerIsKept(t *testing.T) {
	attempts := 0
	b := newBench(testDocument, func(o *Options) {
		o.Upstream = scripted(func(context.Context, upstream.Call) (*upstream.Response, error) {
			attempts++
			x := answerWith(http.StatusBadGateway, "down")
			x.Header.Set(upstream.HeaderRetried, strconv.FormatBool(true))
			return x, nil
		})
	})
	b.listTargets("nahled", 3, 2)
	w := b.do(get("/nahled/1"))
	if w.Code != http.StatusBadGateway || w.Header().Get(upstream.HeaderRetried) == "" || attempts != 1 {
		t.Errorf("%d %v after %d attempts", w.Code, w.Header(), attempts)
	}
}

// What a target says to the instance must not reach a layer above, which would
// take it for the word of its own target.
func TestSignalsOfTargetsStayBehind(t *testing.T) {
	b := newBench(testDocument, nil)
	for _, service := range []model.ServiceName{"nahled", "odeslani"} {
		b.serveTargets(t, service, 1)[0].Draining.Store(true)
	}
	for _, w := range []*httptest.ResponseRecorder{b.do(get("/nahled/1")), b.do(post("/odeslani/1", "k", "x"))} {
		if w.Code != http.StatusOK || w.Header().Get(upstream.HeaderDraining) != "" || w.Header().Get(upstream.HeaderInFlight) != "" {
			t.Errorf("%d %v", w.Code, w.Header())
		}
	}
}

func TestIdempotentShedEverywhereIsNotRun(t *testing.T) {
	b := newBench(testDocument, nil)
	for _, target := range b.serveTargets(t, "nahled", 2) {
		target.Rejecting.Store(true)
	}
	w := b.do(get("/nahled/1"))
	wantProblem(t, w, http.StatusServiceUnavailable, CodeOverLimit, NotRun)
	if w.Header().Get("Retry-After") == "" || w.Header().Get(upstream.HeaderShed) != "" {
		t.Errorf("header %v", w.Header())
	}
}

// With no target left to try, the caller gets the last failure itself.
func TestLastFailureIsRelayed(t *testing.T) {
	b := newBench(testDocument, func(o *Options) {
		o.Upstream = scripted(func(context.Context, upstream.Call) (*upstream.Response, error) {
			return answerWith(http.StatusBadGateway, "no connection to the letters"), nil
		})
	})
	b.listTargets("nahled", 2, 2)
	w := b.do(get("/nahled/1"))
	if w.Code != http.StatusBadGateway || w.Body.String() != "no connection to the letters" || w.Header().Get(upstream.HeaderRetried) == "" {
		t.Errorf("%d %s %v", w.Code, w.Body, w.Header())
	}
}
