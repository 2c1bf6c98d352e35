package reverseproxy

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

// maxNormalLatency is the upper limit of the latencies of targets that are not slow.
const maxNormalLatency = 10 * time.Millisecond

// normalLatency returns the n-th of a series of latencies that are spread evenly
// between maxNormalLatency/2 and maxNormalLatency.
func normalLatency(n int64) time.Duration {
	return maxNormalLatency/2 + time.Duration(n*7919%1000)*maxNormalLatency/2000
}

// slowTargetClient returns a client whose target "nahled-a" takes one second once
// slow is set. It counts cancelled exchanges in cancelled.
func slowTargetClient(slow *atomic.Bool, cancelled *atomic.Int64) clientFunc {
	var calls atomic.Int64
	return func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
		work := normalLatency(calls.Add(1))
		if slow.Load() && call.Endpoint.Target.ID == "nahled-a" {
			work = time.Second
		}
		if err := sleepContext(ctx, call, work); err != nil {
			cancelled.Add(1)
			return nil, err
		}
		return newResponse(http.StatusOK, string(call.Endpoint.Target.ID)), nil
	}
}

func TestSlowTargetIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		var slow atomic.Bool
		var cancelled atomic.Int64
		s := newTestServer(testDocument, func(o *Options) { o.Upstream = slowTargetClient(&slow, &cancelled) })
		s.listTargets("nahled", 2, 2)
		for range 200 {
			s.do(get("/nahled/1"))
		}
		synctest.Wait()
		slow.Store(true)
		cancelled.Store(0)
		hedges := 0
		for range 10 {
			start := time.Now()
			w := s.do(get("/nahled/1"))
			took := time.Since(start)
			if w.Code != http.StatusOK || w.Body.String() != "nahled-b" || took > 3*maxNormalLatency {
				t.Fatalf("%d %s after %v", w.Code, w.Body, took)
			}
			if took > maxNormalLatency {
				hedges++
			}
			synctest.Wait()
		}
		if hedges == 0 || cancelled.Load() < int64(hedges) {
			t.Errorf("%d hedges, %d exchanges cancelled", hedges, cancelled.Load())
		}
		for _, target := range s.table.Snapshot().Pool("nahled").Endpoints {
			if n := target.Load.InFlight(); n != 0 {
				t.Errorf("%s still counts %d exchanges", target.Target.ID, n)
			}
		}
	})
}

func TestHedgesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		const requests = 5000
		var calls atomic.Int64
		s := newTestServer(testDocument, func(o *Options) {
			o.Upstream = clientFunc(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				n := calls.Add(1)
				work := normalLatency(n)
				if n > 100 {
					work = time.Second
				}
				if err := sleepContext(ctx, call, work); err != nil {
					return nil, err
				}
				return newResponse(http.StatusOK, ""), nil
			})
		})
		s.listTargets("nahled", 4, 2)
		for range requests {
			s.do(get("/nahled/1"))
		}
		if hedges := calls.Load() - requests; hedges > requests/10+hedgeBurst || hedges == 0 {
			t.Errorf("%d hedges of %d requests", hedges, requests)
		}
	})
}

// An attempt is slow while another request is queued: the free slot of the other
// target must go to the queued request, not to a hedge.
func TestNoHedgeWhileRequestIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		var slow atomic.Bool
		var cancelled atomic.Int64
		s := newTestServer(testDocument, func(o *Options) { o.Upstream = slowTargetClient(&slow, &cancelled) })
		s.listTargets("nahled", 2, 2)
		for range 200 {
			s.do(get("/nahled/1"))
		}
		synctest.Wait()
		slow.Store(true)
		queue := s.services.get(s.config.Current().Policy("nahled")).queue
		ctx, leave := context.WithCancel(t.Context())
		go func() { _ = queue.Wait(ctx, "waiting", limit.QueueLimits{Length: 8}, func() bool { return false }) }()
		synctest.Wait()
		before := s.countEvents(events.RequestHedged)
		var attempts sync.WaitGroup
		for _, e := range s.table.Snapshot().Pool("nahled").Endpoints {
			r := &request{
				policy:      s.config.Current().Policy("nahled"),
				svc:         s.services.get(s.config.Current().Policy("nahled")),
				httpRequest: get("/nahled/1"),
				deadline:    time.Now().Add(time.Minute),
			}
			e.Load.Begin()
			attempts.Go(func() {
				if x, _ := s.runHedged(t.Context(), r, e, nil, false); x != nil {
					x.close()
				}
			})
		}
		attempts.Wait()
		if hedges := s.countEvents(events.RequestHedged) - before; hedges != 0 {
			t.Errorf("%d hedges were sent while a request was queued", hedges)
		}
		leave()
	})
}

func TestHedgeStaysInRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		far := 0
		s := newTestServer(testDocument, func(o *Options) {
			o.Upstream = clientFunc(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				if call.Endpoint.Target.ID == "far" {
					far++
				}
				if err := sleepContext(ctx, call, 10*time.Second); err != nil {
					return nil, err
				}
				return newResponse(http.StatusOK, ""), nil
			})
		})
		s.table.SetTargets("nahled", []model.Target{
			{ID: "near", Service: "nahled", Location: testLocation, Slots: 4},
			{ID: "far", Service: "nahled", Location: model.Location{Region: "brno"}, Slots: 4},
		})
		if w := s.do(get("/nahled/1")); w.Code != http.StatusOK || far != 0 {
			t.Errorf("%d, %d hedges to another region", w.Code, far)
		}
	})
}

// A response that arrives although its exchange was cancelled must be closed and
// must not reach a caller.
func TestLateResponseIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		issued, closed := 0, 0
		var calls atomic.Int64
		var warmedUp atomic.Bool
		s := newTestServer(testDocument, func(o *Options) {
			o.Upstream = clientFunc(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				if warmedUp.Load() && call.Endpoint.Target.ID == "nahled-a" {
					<-ctx.Done()
					issued++
					late := newResponse(http.StatusOK, "late response")
					late.Body = closeCounter{late.Body, &closed}
					return late, nil
				}
				time.Sleep(normalLatency(calls.Add(1)))
				return newResponse(http.StatusOK, "own response"), nil
			})
		})
		s.listTargets("nahled", 2, 2)
		for range 200 {
			s.do(get("/nahled/1"))
		}
		warmedUp.Store(true)
		for range 10 {
			if w := s.do(get("/nahled/1")); w.Body.String() != "own response" {
				t.Errorf("%d %s", w.Code, w.Body)
			}
			synctest.Wait()
		}
		if issued == 0 || issued != closed || s.countEvents(events.LateAnswerDropped) < issued {
			t.Errorf("%d late responses, %d closed", issued, closed)
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

// blackholeConn is a connection whose writes are silently dropped once blackhole
// is set.
type blackholeConn struct {
	net.Conn
	blackhole     atomic.Bool
	droppedWrites *atomic.Int64
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackhole.Load() {
		c.droppedWrites.Add(1)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Open connections become unresponsive while new ones work: requests must be
// answered over new connections, and unresponsive connections must not be used
// again.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	var mu sync.Mutex
	var conns []*blackholeConn
	var droppedWrites atomic.Int64
	dial := func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		raw, err := new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return nil, err
		}
		c := &blackholeConn{Conn: raw, droppedWrites: &droppedWrites}
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, c)
		return c, nil
	}
	s := newTestServer(testDocument, func(o *Options) { o.Upstream = upstream.NewClientWithDialer(dial) })
	target := s.serveTargets(t, "nahled", 1)[0]
	openConnections(t, s, target, 8)
	mu.Lock()
	for _, c := range conns {
		c.blackhole.Store(true)
	}
	before := len(conns)
	mu.Unlock()
	for range 50 {
		if w := s.do(get("/nahled/1")); w.Code != http.StatusOK {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	}
	if got := droppedWrites.Load(); got != 1 {
		t.Errorf("%d of 50 requests were sent on unresponsive connections", got)
	}
	mu.Lock()
	defer mu.Unlock()
	if got, hedges := len(conns)-before, s.countEvents(events.RequestHedged); got > hedges+1 {
		t.Errorf("%d new connections, %d hedges", got, hedges)
	}
}

// openConnections opens n connections to a target, which are idle afterwards, and
// lets the server learn the service's latencies.
func openConnections(t *testing.T, s *testServer, target *standin.Target, n int) {
	t.Helper()
	release := make(chan struct{})
	target.SetBehavior(func(http.ResponseWriter, *http.Request) { <-release })
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { s.do(get("/nahled/1")) })
	}
	eventually(t, "all connections are open", func() bool { return target.Received() == int64(n) })
	close(release)
	wg.Wait()
	target.SetBehavior(nil)
	for range 600 {
		s.do(get("/nahled/1"))
	}
}

func TestCrashingRequestIsQuarantinedOnAllInstances(t *testing.T) {
	s := newTestServer(testDocument, nil)
	other := newTestServer(testDocument, func(o *Options) { o.Picker = nil })
	s.facts.Subscribe(fleet.FactQuarantine, func(f fleet.Fact) { other.facts.Merge(f) })
	targets := s.serveTargets(t, "nahled", 4)
	for _, target := range targets {
		target.SetBehavior(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/poison") {
				panic(http.ErrAbortHandler)
			}
		})
	}
	received := func() (n int64) {
		for _, target := range targets {
			n += target.Received()
		}
		return n
	}
	wantProblem(t, s.do(get("/nahled/poison")), http.StatusBadGateway, CodeTargetFailed, OutcomeUnknown)
	eventually(t, "the request is quarantined", func() bool { return !other.quarantine.Empty() })
	before := received()
	for _, instance := range []*testServer{s, other} {
		w := instance.do(get("/nahled/poison"))
		wantProblem(t, w, http.StatusUnprocessableEntity, CodeQuarantined, NotRun)
		if w.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
	}
	if received() != before {
		t.Error("a quarantined request reached a target")
	}
	if w := s.do(get("/nahled/harmless")); w.Code != http.StatusOK {
		t.Errorf("harmless request: %d %s", w.Code, w.Body)
	}
	if got := s.countEvents(events.QuarantineAdded); got != 1 {
		t.Errorf("%d events", got)
	}
}

// A print batch crashes its targets until it is quarantined. No key may be sent
// twice, a new key must be refused as not-run, and keys that were sent must keep
// an unknown outcome.
func TestCrashingBatchIsQuarantinedWithCorrectRunState(t *testing.T) {
	s := newTestServer(testDocument, nil)
	targets := s.serveTargets(t, "odeslani", 8)
	for _, target := range targets {
		target.SetBehavior(standin.Crash)
	}
	received := func() (n int64) {
		for _, target := range targets {
			n += target.Received()
		}
		return n
	}
	sent := 0
	for ; s.quarantine.Empty(); sent++ {
		w := s.do(post("/odeslani/batches", "key-"+strconv.Itoa(sent), "poison"))
		wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, OutcomeUnknown)
		// The quarantine is published asynchronously.
		time.Sleep(time.Millisecond)
	}
	w := s.do(post("/odeslani/batches", "key-new", "poison"))
	wantProblem(t, w, http.StatusUnprocessableEntity, CodeQuarantined, NotRun)
	w = s.do(post("/odeslani/batches", "key-0", "poison"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, OutcomeUnknown)
	if got := received(); got != int64(sent) {
		t.Errorf("%d requests were sent %d times", sent, got)
	}
}

// If the primary breaks while the hedge is in flight, the hedge's response must
// be used instead of a retry.
func TestHedgeReplacesBrokenPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		var warmedUp atomic.Bool
		var calls atomic.Int64
		s := newTestServer(testDocument, func(o *Options) {
			o.Upstream = clientFunc(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				if warmedUp.Load() && call.Endpoint.Target.ID == "nahled-a" {
					time.Sleep(12 * time.Millisecond)
					return nil, brokenConnection(call)
				}
				if err := sleepContext(ctx, call, normalLatency(calls.Add(1))); err != nil {
					return nil, err
				}
				return newResponse(http.StatusOK, "preview"), nil
			})
		})
		s.listTargets("nahled", 2, 2)
		for range 200 {
			s.do(get("/nahled/1"))
		}
		warmedUp.Store(true)
		for range 8 {
			if w := s.do(get("/nahled/1")); w.Code != http.StatusOK {
				t.Errorf("%d %s", w.Code, w.Body)
			}
		}
		if retries := s.countEvents(events.RequestRetried); retries != 0 {
			t.Errorf("%d retries although a hedge was in flight", retries)
		}
	})
}
