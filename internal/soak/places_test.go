package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/platform"
	"redwingpoint.org/redwingpoint/platform/platformtest"
)

const (
	// homedHost is the host whose requests are at home in brno only. The gateways are in praha.
	homedHost = "homed.example"
	// evacuationBound is the time within which an evacuation must be in force, evacuationTime
	// how long one lasts, and placesContact the time after a fault from which it binds.
	evacuationBound = 5 * time.Second
	evacuationTime  = 12 * time.Second
	placesContact   = 4 * time.Second
	// coldPerSecond is what a cold target takes, coldTime for how long it is cold.
	coldPerSecond = 2.0
	coldTime      = 3 * time.Second
	// coldAllowed is the largest number of requests that a cold target may get in a second:
	// coldPerSecond x overage + slack of the settings.
	coldAllowed = coldPerSecond*1.5 + 8
	// placesStepCount is the number of evacuations, cold targets and faults in one run.
	placesStepCount = 24
	// evacuatedDomain is the failure domain that is evacuated.
	evacuatedDomain = "praha-b"
)

// placedTarget is a target in a failure domain, with the requests that it got while it was
// cold.
type placedTarget struct {
	*platformtest.Target
	coldUntil time.Time
	arrivals  []time.Time
}

// placesRun is a fleet of gateways with targets in three failure domains of two regions.
type placesRun struct {
	*gatewayRun
	placed []*placedTarget

	mu sync.Mutex
	// evacuatedAt is when the latest evacuation was asked for; zero while there is none.
	evacuatedAt time.Time
	// faultAt is the time of the latest fault of any gateway or the store.
	faultAt time.Time
}

func newPlacesRun(t *testing.T, binary string, seed uint64) *placesRun {
	t.Helper()
	r := &placesRun{gatewayRun: &gatewayRun{checker: newChecker(t), binary: binary, dir: t.TempDir(), random: rand.New(rand.NewPCG(seed, 14)), store: platformtest.NewStore(), extraSettings: "settle: 4s\nevacuation: 5s\n"}}
	storeServer := httptest.NewServer(r.store)
	t.Cleanup(storeServer.Close)
	for n, domain := range []string{"praha-a", "praha-a", "praha-b", "praha-b", "brno-a", "brno-a"} {
		r.addPlaced(fmt.Sprint("v1/", n), domain)
	}
	rule := platformtest.Rule{Name: "homed", Host: homedHost, Prefix: "/p/", Idempotent: true, Service: serviceOf(1), Objective: 500 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2, Homes: []string{"brno"}}
	free := rule
	free.Name, free.Host, free.Homes = "safe", idempotentHost, nil
	r.store.Put(platform.RoutesKind, "main", platformtest.RoutesWithCold(1, []string{serviceOf(1)}, platformtest.Cold{PerSecond: coldPerSecond, Start: coldTime}, rule, free))
	for i := range gatewayCount {
		first := firstGatewayLoopback + 2*gatewayCount
		g := &gatewayProcess{r: r.gatewayRun, index: i, ip: standin.LoopbackIP(first + i), first: first, store: newProxy(t, storeServer.Listener.Addr().String())}
		r.gateways = append(r.gateways, g)
		g.start()
		t.Cleanup(g.kill)
	}
	return r
}

func (r *placesRun) addPlaced(id, domain string) {
	target := &placedTarget{Target: &platformtest.Target{ID: id, Slots: 4, ProcessingTime: 5 * time.Millisecond, FailureDomain: domain}}
	target.OnRequest = func(req *http.Request) {
		if req.URL.Path != "/health" {
			r.arrive(target, req)
		}
	}
	server := httptest.NewServer(target)
	r.t.Cleanup(server.Close)
	target.Address = server.Listener.Addr().String()
	r.placed = append(r.placed, target)
	r.store.Put(platform.TargetsKind, id, target.Registration(serviceOf(1), "ready"))
}

// arrive checks a request that reached a target.
func (r *placesRun) arrive(target *placedTarget, req *http.Request) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Host == homedHost && target.FailureDomain != "brno-a" {
		r.t.Errorf("%s in praha got a request that is at home in brno", target.ID)
	}
	if since := now.Sub(r.evacuatedAt); target.FailureDomain == evacuatedDomain && !r.evacuatedAt.IsZero() && since > evacuationBound && now.Sub(r.faultAt) > placesContact {
		r.t.Errorf("%s got a request %v after its failure domain was to be evacuated", target.ID, since)
	}
	if now.Before(target.coldUntil) {
		target.arrivals = append(target.arrivals, now)
	}
}

// turnCold makes a target cold and checks what it gets meanwhile. The store learns of every
// second one.
func (r *placesRun) turnCold(target *placedTarget, told bool) {
	r.mu.Lock()
	target.coldUntil, target.arrivals = time.Now().Add(coldTime), nil
	target.SetCold(coldTime)
	r.mu.Unlock()
	if told {
		r.store.Put(platform.TargetsKind, target.ID, target.Registration(serviceOf(1), "ready"))
	}
	time.Sleep(coldTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, first := range target.arrivals {
		n := 0
		for _, at := range target.arrivals[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		if float64(n) > coldAllowed {
			r.t.Errorf("%s, cold, got %d requests in a second, allowed are %v", target.ID, n, coldAllowed)
			return
		}
	}
}

// evacuate evacuates a failure domain for a time.
func (r *placesRun) evacuate() {
	r.store.Put(platform.EvacuationsKind, evacuatedDomain, "{}")
	r.setEvacuated(time.Now())
	time.Sleep(evacuationTime)
	r.setEvacuated(time.Time{})
	r.store.Put(platform.EvacuationsKind, evacuatedDomain, "")
}

func (r *placesRun) setEvacuated(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuatedAt = at
}

// strike runs a fault of a gateway or the store.
func (r *placesRun) strike(fault func()) {
	mark := func() { r.mu.Lock(); defer r.mu.Unlock(); r.faultAt = time.Now() }
	mark()
	fault()
	mark()
}

// runSteps turns targets cold and lets gateways and the store fail, over each other, in the
// first part of an evacuation.
func (r *placesRun) runSteps() {
	var steps sync.WaitGroup
	var busy [6]sync.Mutex
	steps.Go(r.evacuate)
	for step := range placesStepCount {
		index, g := r.random.IntN(len(r.placed)), r.gateways[r.random.IntN(gatewayCount)]
		duration := time.Duration(100+r.random.IntN(600)) * time.Millisecond
		switch r.random.IntN(6) {
		case 0:
			steps.Go(func() { r.strike(func() { g.restart(syscall.SIGKILL, duration/4) }) })
		case 1:
			steps.Go(func() {
				r.strike(func() { g.signal(syscall.SIGSTOP); time.Sleep(duration); g.signal(syscall.SIGCONT) })
			})
		case 2:
			steps.Go(func() {
				r.strike(func() { r.store.SetUnavailable(true); time.Sleep(duration); r.store.SetUnavailable(false) })
			})
		default:
			steps.Go(func() {
				busy[index].Lock()
				defer busy[index].Unlock()
				r.turnCold(r.placed[index], step%2 == 0)
			})
		}
		time.Sleep(time.Duration(r.random.IntN(300)) * time.Millisecond)
	}
	steps.Wait()
}

// call sends requests of both rules to one gateway after the other until stop is closed.
func (r *placesRun) call(number int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * callDeadline}
	signals := platform.Protocol()
	for n := number; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+r.gateways[n%gatewayCount].ip+":8080/p/", nil)
		if err != nil {
			r.t.Error(err)
			return
		}
		req.Host = []string{homedHost, idempotentHost}[number%2]
		req.Header.Set(signals.RequestID, fmt.Sprintf("r-%d", r.nextID.Add(1)))
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
			r.mu.Lock()
			r.servedCount++
			r.mu.Unlock()
		}
		_ = resp.Body.Close()
	}
}

// TestGatewaysKeepPlacesUnderFaults guards against requests outside their homes, to an
// evacuated failure domain, and to cold targets beyond their bound, while gateways restart and
// freeze and the store is away.
func TestGatewaysKeepPlacesUnderFaults(t *testing.T) {
	binary := buildBinary(t)
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed=%d", *firstSeed+seed), func(t *testing.T) {
			r := newPlacesRun(t, binary, *firstSeed+seed)
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for n := range gatewayCount * callersPerGateway {
				callers.Go(func() { r.call(n, stop) })
			}
			time.Sleep(placesContact)
			r.runSteps()
			close(stop)
			callers.Wait()
			t.Logf("served %d", r.servedCount)
			if r.servedCount == 0 {
				t.Error("no request was served")
			}
		})
	}
}
