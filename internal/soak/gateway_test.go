package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/platform"
	"redwingpoint.org/redwingpoint/platform/platformtest"
)

const (
	gateways        = 3
	firstGatewayIP  = 150
	callersEach     = 3
	targetsEach     = 2
	routeVersions   = 5
	plannedSteps    = 6
	unplannedFaults = 14
	onceHost        = "once.example"
	safeHost        = "safe.example"
	callDeadline    = 1200 * time.Millisecond
	callPause       = 15 * time.Millisecond
	soakGrace       = 4 * time.Second
	// settleLimit ends a run that doesn't come back; the platform allows 15 s, and
	// this machine may be busy.
	settleLimit = time.Minute
)

// regressions are seeds that have failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// gatewayRun is a fleet of gateways with its store, targets and callers.
type gatewayRun struct {
	*promises
	binary   string
	dir      string
	random   *rand.Rand
	store    *platformtest.Store
	gateways []*gatewayProcess
	targets  []*soakTarget
	version  int
	nextID   atomic.Int64
}

type soakTarget struct {
	*platformtest.Target
	service string
	proxy   *proxy
}

func serviceOf(version int) string { return fmt.Sprintf("v%d", version) }

func versionOf(service string) (version int64) {
	_, _ = fmt.Sscanf(service, "v%d", &version)
	return version
}

func newGatewayRun(t *testing.T, binary string, seed uint64) *gatewayRun {
	t.Helper()
	r := &gatewayRun{promises: newPromises(t), binary: binary, dir: t.TempDir(), random: rand.New(rand.NewPCG(seed, 12)), store: platformtest.NewStore()}
	storeServer := httptest.NewServer(r.store)
	t.Cleanup(storeServer.Close)
	for version := 1; version <= routeVersions; version++ {
		for n := range targetsEach {
			r.addTarget(version, n)
		}
	}
	r.changeRoutes()
	for i := range gateways {
		g := &gatewayProcess{r: r, index: i, ip: standin.LoopbackIP(firstGatewayIP + i), store: newProxy(t, storeServer.Listener.Addr().String())}
		r.gateways = append(r.gateways, g)
		g.start()
		t.Cleanup(g.kill)
	}
	return r
}

func (r *gatewayRun) addTarget(version, n int) {
	service := serviceOf(version)
	target := &soakTarget{service: service, Target: &platformtest.Target{ID: fmt.Sprintf("%s/%d", service, n), Slots: 4, ProcessingTime: 20 * time.Millisecond, OnStart: r.ran}}
	server := httptest.NewServer(target)
	r.t.Cleanup(server.Close)
	target.proxy = newProxy(r.t, server.Listener.Addr().String())
	target.Address = target.proxy.addr()
	r.targets = append(r.targets, target)
	r.store.Put(platform.TargetsKind, target.ID, target.Registration(service, "ready"))
}

// changeRoutes lets the next service take all requests.
func (r *gatewayRun) changeRoutes() {
	if r.version == routeVersions {
		return
	}
	r.version++
	var services []string
	for version := 1; version <= routeVersions; version++ {
		services = append(services, serviceOf(version))
	}
	once := platformtest.Rule{
		Name: "once", Host: onceHost, Prefix: "/p/", Service: serviceOf(r.version),
		Objective: 500 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2,
	}
	safe := once
	safe.Name, safe.Host, safe.Idempotent = "safe", safeHost, true
	r.store.Put(platform.RoutesKind, "main", platformtest.Routes(r.version, services, once, safe))
}

// caller sends requests to one gateway after the other until stop is closed. It
// keeps its connection until that ends.
func (r *gatewayRun) caller(number int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * callDeadline}
	defer client.CloseIdleConnections()
	for at := number; ; {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		if !r.send(client, r.gateways[at%gateways], number%2 == 0) {
			at++
		}
	}
}

// send sends one request to a gateway and reports whether it was served. Within one
// process the routes never go back.
func (r *gatewayRun) send(client *http.Client, g *gatewayProcess, once bool) bool {
	boot, floor := g.boot.Load(), g.seen.Load()
	id := fmt.Sprintf("r-%d", r.nextID.Add(1))
	host, method, body := onceHost, http.MethodPost, "letters"
	if !once {
		host, method, body = safeHost, http.MethodGet, ""
	}
	service := r.call(client, "http://"+g.ip+":8080", host, id, method, body)
	if service == "" {
		return false
	}
	version := versionOf(service)
	if version < floor && g.boot.Load() == boot {
		r.t.Errorf("gateway %d went back from version %d of the routes to %d", g.index, floor, version)
	}
	for old := g.seen.Load(); version > old && g.boot.Load() == boot && !g.seen.CompareAndSwap(old, version); old = g.seen.Load() {
	}
	return true
}

// planned restarts, reloads and changes one after the other, overlapping at times.
func (r *gatewayRun) planned() {
	var steps sync.WaitGroup
	for range plannedSteps {
		g := r.gateways[r.random.IntN(gateways)]
		switch r.random.IntN(4) {
		case 0:
			steps.Go(func() { g.restart(syscall.SIGTERM, 0) })
		case 1:
			probes := 500 + r.random.IntN(500)
			steps.Go(func() { g.reload(probes) })
		case 2:
			r.changeRoutes()
		case 3:
			r.replaceTarget()
		}
		time.Sleep(time.Duration(100+r.random.IntN(500)) * time.Millisecond)
	}
	steps.Wait()
}

// replaceTarget takes a target out of the store, which goes on serving, and puts it
// back later.
func (r *gatewayRun) replaceTarget() {
	target := r.usedTarget()
	r.store.Put(platform.TargetsKind, target.ID, target.Registration(target.service, "draining"))
	time.AfterFunc(time.Second, func() {
		r.store.Put(platform.TargetsKind, target.ID, target.Registration(target.service, "ready"))
	})
}

// unplanned lets faults overlap with each other and with planned work.
func (r *gatewayRun) unplanned() {
	var faults sync.WaitGroup
	for range unplannedFaults {
		act := r.drawFault()
		faults.Go(func() { r.fault(act) })
		if r.random.IntN(4) == 0 {
			r.changeRoutes()
		}
		time.Sleep(time.Duration(r.random.IntN(400)) * time.Millisecond)
	}
	faults.Wait()
}

// usedTarget returns a target of the service that the routes name.
func (r *gatewayRun) usedTarget() *soakTarget {
	return r.targets[(r.version-1)*targetsEach+r.random.IntN(targetsEach)]
}

// drawFault returns a fault that ends by itself.
func (r *gatewayRun) drawFault() func() {
	g := r.gateways[r.random.IntN(gateways)]
	target := r.usedTarget()
	lasting := time.Duration(200+r.random.IntN(1300)) * time.Millisecond
	way := []passage{silent, oneWay, resets}[r.random.IntN(3)]
	during := func(begin, end func()) func() {
		return func() {
			begin()
			time.Sleep(lasting)
			end()
		}
	}
	behave := func(b platformtest.Behavior) func() {
		return during(func() { target.SetBehavior(b) }, func() { target.SetBehavior(platformtest.Succeeds) })
	}
	switch r.random.IntN(10) {
	case 0:
		return func() { g.restart(syscall.SIGKILL, lasting/4) }
	case 1:
		return during(func() { g.signal(syscall.SIGSTOP) }, func() { g.signal(syscall.SIGCONT) })
	case 2:
		return during(func() { r.store.SetUnavailable(true) }, func() { r.store.SetUnavailable(false) })
	case 3:
		return r.store.DiscardHistory
	case 4:
		return during(func() { g.store.set(way) }, func() { g.store.set(passes) })
	case 5:
		return during(func() { target.proxy.set(way) }, func() { target.proxy.set(passes) })
	case 6:
		return during(func() { target.proxy.delay.Store(int64(lasting / 8)) }, func() { target.proxy.delay.Store(0) })
	case 7:
		return behave(platformtest.Behavior(1 + r.random.IntN(3)))
	case 8:
		return behave(platformtest.DropsResponse)
	default:
		return func() { g.restart(syscall.SIGTERM, 0) }
	}
}

// settle waits until every gateway serves both classes by the newest routes.
func (r *gatewayRun) settle() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * callDeadline}
	began := time.Now()
	for _, g := range r.gateways {
		for _, once := range []bool{true, false} {
			for !(r.send(client, g, once) && g.seen.Load() == int64(r.version)) {
				if time.Since(began) > settleLimit {
					r.t.Fatalf("gateway %d does not come back", g.index)
				}
				time.Sleep(callPause)
			}
		}
	}
}

// TestGatewaysKeepTheirPromises plays planned work alone, then faults of all kinds
// over each other, then waits until all gateways serve again.
func TestGatewaysKeepTheirPromises(t *testing.T) {
	binary := buildBinary(t)
	play := func(seed uint64) func(*testing.T) {
		return func(t *testing.T) {
			r := newGatewayRun(t, binary, seed)
			r.settle()
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for n := range gateways * callersEach {
				callers.Go(func() { r.caller(n, stop) })
			}
			r.planned()
			r.unplanned()
			r.settle()
			close(stop)
			callers.Wait()
			t.Logf("served %d, refused %d, unknown %d, faults %d", r.served, r.refusal, r.unknown, r.disturbed.Load())
			if r.served == 0 {
				t.Error("nothing was served")
			}
		}
	}
	for _, old := range regressions {
		t.Run(fmt.Sprintf("regression=%d", old.seed), play(old.seed))
	}
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed=%d", *firstSeed+seed), play(*firstSeed+seed))
	}
}
