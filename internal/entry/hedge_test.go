package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const usualLatency = 10 * time.Millisecond

// varied returns the n-th of latencies that spread evenly below usualLatency.
func varied(n int64) time.Duration {
	return usualLatency/2 + time.Duration(n*7919%1000)*usualLatency/2000
}

// straggling returns an exchanger whose target "nahled-a" takes a second once
// slow is set; cancelled counts the exchanges that were given up.
func straggling(slow *atomic.Bool, cancelled *atomic.Int64) scripted {
	var calls atomic.Int64
	return func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
		work := varied(calls.Add(1))
		if slow.Load() && call.Endpoint.Target.ID == "nahled-a" {
			work = time.Second
		}
		if err := pause(ctx, call, work); err != nil {
			cancelled.Add(1)
			return nil, err
		}
		return answerWith(http.StatusOK, string(call.Endpoint.Target.ID)), nil
	}
}

func TestStragglerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		var slow atomic.Bool
		var cancelled atomic.Int64
		b := newBench(testDocument, func(o *Options) { o.Upstream = straggling(&slow, &cancelled) })
		b.listTargets("nahled", 2, 2)
		for range 200 {
			b.do(get("/nahled/1"))
		}
		synctest.Wait()
		slow.Store(true)
		cancelled.Store(0)
		hedges := 0
		for range 10 {
			start := time.Now()
			w := b.do(get("/nahled/1"))
			took := time.Since(start)
			if w.Code != http.StatusOK || w.Body.String() != "nahled-b" || took > 3*usualLatency {
				t.Fatalf("%d %s after %v", w.Code, w.Body, took)
			}
			if took > usualLatency {
				hedges++
			}
			synctest.Wait()
		}
		if hedges == 0 || cancelled.Load() < int64(hedges) {
			t.Errorf("%d hedges, %d exchanges cancelled", hedges, cancelled.Load())
		}
		for _, target := range b.table.Snapshot().Pool("nahled").Endpoints {
			if n := target.Load.InFlight(); n != 0 {
				t.Errorf("%s still counts %d exchanges", target.Target.ID, n)
			}
		}
	})
}

func TestHedgesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		const requests = 5000
		var calls atomic.Int64
		b := newBench(testDocument, func(o *Options) {
			o.Upstream = scripted(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				n := calls.Add(1)
				work := varied(n)
				if n > 100 {
					work = time.Second
				}
				if err := pause(ctx, call, work); err != nil {
					return nil, err
				}
				return answerWith(http.StatusOK, ""), nil
			})
		})
		b.listTargets("nahled", 4, 2)
		for range requests {
			b.do(get("/nahled/1"))
		}
		if hedges := calls.Load() - requests; hedges > requests/10+hedgeBurst || hedges == 0 {
			t.Errorf("%d hedges of %d requests", hedges, requests)
		}
	})
}

// TestNoHedgeWhileARequestWaits lets a straggling attempt and a request that
// waits for its first one meet: the free slot of the other target is not hedged to.
func TestNoHedgeWhileARequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		var slow atomic.Bool
		var cancelled atomic.Int64
		b := newBench(testDocument, func(o *Options) { o.Upstream = straggling(&slow, &cancelled) })
		b.listTargets("nahled", 2, 2)
		for range 200 {
			b.do(get("/nahled/1"))
		}
		synctest.Wait()
		slow.Store(true)
		queue := b.services.get(b.config.Current().Policy("nahled")).queue
		ctx, leave := context.WithCancel(t.Context())
		go func() { _ = queue.Wait(ctx, "waiting", limit.QueueLimits{Length: 8}, func() bool { return false }) }()
		synctest.Wait()
		before := b.count(events.RequestHedged)
		var tried sync.WaitGroup
		for _, e := range b.table.Snapshot().Pool("nahled").Endpoints {
			r := &request{
				policy:   b.config.Current().Policy("nahled"),
				svc:      b.services.get(b.config.Current().Policy("nahled")),
				http:     get("/nahled/1"),
				deadline: time.Now().Add(time.Minute),
			}
			e.Load.Begin()
			tried.Go(func() {
				if x, _ := b.runHedged(t.Context(), r, e, nil, false); x != nil {
					x.close()
				}
			})
		}
		tried.Wait()
		if hedges := b.count(events.RequestHedged) - before; hedges != 0 {
			t.Errorf("%d hedges were sent while a request waited", hedges)
		}
		leave()
	})
}

func TestHedgeStaysInItsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		far := 0
		b := newBench(testDocument, func(o *Options) {
			o.Upstream = scripted(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				if call.Endpoint.Target.ID == "far" {
					far++
				}
				if err := pause(ctx, call, 10*time.Second); err != nil {
					return nil, err
				}
				return answerWith(http.StatusOK, ""), nil
			})
		})
		b.table.SetTargets("nahled", []model.Target{
			{ID: "near", Service: "nahled", Location: praha, Slots: 4},
			{ID: "far", Service: "nahled", Location: model.Location{Region: "brno"}, Slots: 4},
		})
		if w := b.do(get("/nahled/1")); w.Code != http.StatusOK || far != 0 {
			t.Errorf("%d, %d hedges to another region", w.Code, far)
		}
	})
}

// An answer that comes although its exchange was given up reaches nobody.
func TestLateAnswerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		issued, closed := 0, 0
		var calls atomic.Int64
		var warm atomic.Bool
		b := newBench(testDocument, func(o *Options) {
			o.Upstream = scripted(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				if warm.Load() && call.Endpoint.Target.ID == "nahled-a" {
					<-ctx.Done()
					issued++
					late := answerWith(http.StatusOK, "late answer")
					late.Body = closeCounter{late.Body, &closed}
					return late, nil
				}
				time.Sleep(varied(calls.Add(1)))
				return answerWith(http.StatusOK, "own answer"), nil
			})
		})
		b.listTargets("nahled", 2, 2)
		for range 200 {
			b.do(get("/nahled/1"))
		}
		warm.Store(true)
		for range 10 {
			if w := b.do(get("/nahled/1")); w.Body.String() != "own answer" {
				t.Errorf("%d %s", w.Code, w.Body)
			}
			synctest.Wait()
		}
		if issued == 0 || issued != closed || b.count(events.LateAnswerDropped) < issued {
			t.Errorf("%d late answers, %d closed", issued, closed)
		}
	})
}

type closeCounter struct {
	rc interface {
		Read([]byte) (int, error)
		Close() error
	}
	closed *int
}

func (c closeCounter) Read(p []byte) (int, error) { return c.rc.Read(p) }

func (c closeCounter) Close() error {
	*c.closed++
	return c.rc.Close()
}

// mutableConn is a connection that can go silent for good.
type mutableConn struct {
	net.Conn
	silent    atomic.Bool
	swallowed *atomic.Int64
}

func (c *mutableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		c.swallowed.Add(1)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Open connections go silent for good while new ones work: the requests in
// between are answered over fresh connections, and silent ones are not used on.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var mu sync.Mutex
	var conns []*mutableConn
	var swallowed atomic.Int64
	dial := func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		raw, err := new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return nil, err
		}
		c := &mutableConn{Conn: raw, swallowed: &swallowed}
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, c)
		return c, nil
	}
	b := newBench(testDocument, func(o *Options) { o.Upstream = upstream.NewClientWithDialer(dial) })
	target := b.serveTargets(t, "nahled", 1)[0]
	openConnections(t, b, target, 8)
	mu.Lock()
	for _, c := range conns {
		c.silent.Store(true)
	}
	before := len(conns)
	mu.Unlock()
	for range 50 {
		if w := b.do(get("/nahled/1")); w.Code != http.StatusOK {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	}
	if got := swallowed.Load(); got != 1 {
		t.Errorf("%d of 50 requests ran into silent connections", got)
	}
	mu.Lock()
	defer mu.Unlock()
	if got, hedges := len(conns)-before, b.count(events.RequestHedged); got > hedges+1 {
		t.Errorf("%d new connections, %d hedges", got, hedges)
	}
}

// openConnections leaves n unused connections to a target, and known latencies.
func openConnections(t *testing.T, b *bench, target *standin.Target, n int) {
	t.Helper()
	release := make(chan struct{})
	target.SetBehavior(func(http.ResponseWriter, *http.Request) { <-release })
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { b.do(get("/nahled/1")) })
	}
	eventually(t, "all connections are open", func() bool { return target.Received() == int64(n) })
	close(release)
	wg.Wait()
	target.SetBehavior(nil)
	for range 600 {
		b.do(get("/nahled/1"))
	}
}

func TestCrashingRequestIsQuarantinedEverywhere(t *testing.T) {
	b := newBench(testDocument, nil)
	other := newBench(testDocument, func(o *Options) { o.Picker = nil })
	b.board.Subscribe(fleet.FactQuarantine, func(f fleet.Fact) { other.board.Merge(f) })
	targets := b.serveTargets(t, "nahled", 4)
	for _, target := range targets {
		target.SetBehavior(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/poison") {
				panic(http.ErrAbortHandler)
			}
		})
	}
	reached := func() (n int64) {
		for _, target := range targets {
			n += target.Received()
		}
		return n
	}
	wantProblem(t, b.do(get("/nahled/poison")), http.StatusBadGateway, CodeTargetFailed, MayHaveRun)
	eventually(t, "the request is quarantined", func() bool { return !other.quarantine.Empty() })
	before := reached()
	for _, instance := range []*bench{b, other} {
		w := instance.do(get("/nahled/poison"))
		wantProblem(t, w, http.StatusUnprocessableEntity, CodeQuarantined, NotRun)
		if w.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	if reached() != before {
		t.Error("a quarantined request reached a target")
	}
	if w := b.do(get("/nahled/harmless")); w.Code != http.StatusOK {
		t.Errorf("harmless request: %d %s", w.Code, w.Body)
	}
	if got := b.count(events.QuarantineAdded); got != 1 {
		t.Errorf("%d events", got)
	}
}

// A print batch that crashes targets: no key is sent twice, a third key is not
// run, and the keys that were sent stay of unknown outcome.
func TestCrashingBatchIsQuarantinedTruthfully(t *testing.T) {
	b := newBench(testDocument, nil)
	targets := b.serveTargets(t, "odeslani", 8)
	for _, target := range targets {
		target.SetBehavior(standin.Crash)
	}
	reached := func() (n int64) {
		for _, target := range targets {
			n += target.Received()
		}
		return n
	}
	sent := 0
	for ; b.quarantine.Empty(); sent++ {
		w := b.do(post("/odeslani/batches", "key-"+strconv.Itoa(sent), "poison"))
		wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, MayHaveRun)
		// The quarantine is published by another goroutine.
		time.Sleep(time.Millisecond)
	}
	w := b.do(post("/odeslani/batches", "key-new", "poison"))
	wantProblem(t, w, http.StatusUnprocessableEntity, CodeQuarantined, NotRun)
	w = b.do(post("/odeslani/batches", "key-0", "poison"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, MayHaveRun)
	if got := reached(); got != int64(sent) {
		t.Errorf("%d receipts were sent %d times", sent, got)
	}
}

// A hedge that runs already answers for a first attempt that breaks.
func TestHedgeAnswersForBrokenAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		var warm atomic.Bool
		var calls atomic.Int64
		b := newBench(testDocument, func(o *Options) {
			o.Upstream = scripted(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				if warm.Load() && call.Endpoint.Target.ID == "nahled-a" {
					time.Sleep(12 * time.Millisecond)
					return nil, brokenAt(call)
				}
				if err := pause(ctx, call, varied(calls.Add(1))); err != nil {
					return nil, err
				}
				return answerWith(http.StatusOK, "preview"), nil
			})
		})
		b.listTargets("nahled", 2, 2)
		for range 200 {
			b.do(get("/nahled/1"))
		}
		warm.Store(true)
		for range 8 {
			if w := b.do(get("/nahled/1")); w.Code != http.StatusOK {
				t.Errorf("%d %s", w.Code, w.Body)
			}
		}
		if retries := b.count(events.RequestRetried); retries != 0 {
			t.Errorf("%d retries although a hedge was running", retries)
		}
	})
}
