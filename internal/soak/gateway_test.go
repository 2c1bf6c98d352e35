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
	// gatewayCount is the number of gateways in the fleet.
	gatewayCount = 3
	// firstGatewayLoopback is the first loopback address of the gateways, as an argument
	// of standin.LoopbackIP.
	firstGatewayLoopback = 150
	// callersPerGateway is the number of callers for each gateway.
	callersPerGateway = 3
	// targetsPerService is the number of targets of each service.
	targetsPerService = 2
	// routeVersionCount is the number of versions of the routes; each has a service of
	// its own.
	routeVersionCount = 5
	// plannedStepCount is the number of steps of planned work in one run.
	plannedStepCount = 6
	// unplannedFaultCount is the number of faults injected in one run.
	unplannedFaultCount = 14
	// nonIdempotentHost is the host whose route doesn't allow a repeat of requests.
	nonIdempotentHost = "once.example"
	// idempotentHost is the host whose route allows a repeat of requests.
	idempotentHost = "safe.example"
	// callDeadline is the deadline that callers state in their requests.
	callDeadline = 1200 * time.Millisecond
	// callPause is the pause of a caller between two requests.
	callPause = 15 * time.Millisecond
	// shutdownGrace is the grace setting of the gateways: how long a process may run after
	// SIGTERM.
	shutdownGrace = 4 * time.Second
	// recoveryTimeout is the time after a start or the last fault within which all gateways
	// must serve. The platform allows 15 s; the rest is a margin for a busy machine.
	recoveryTimeout = time.Minute
)

// regressions lists seeds that exposed a fault, each with the cause of the fault. They
// run in addition to the seeds of the flags.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// gatewayRun is a fleet of gateways with its store, targets and callers.
type gatewayRun struct {
	*checker
	binary   string
	dir      string
	random   *rand.Rand
	store    *platformtest.Store
	gateways []*gatewayProcess
	targets  []*proxiedTarget
	// extraSettings are further lines of the gateways' settings.
	extraSettings string
	// returning is held while the store returns from an older copy.
	returning sync.Mutex
	// routeVersion is the version of the routes in the store.
	routeVersion int
	nextID       atomic.Int64
}

// proxiedTarget is a target that gateways reach through a proxy.
type proxiedTarget struct {
	*platformtest.Target
	service string
	proxy   *proxy
}

// serviceOf returns the name of the service that a version of the routes names.
func serviceOf(version int) string { return fmt.Sprintf("v%d", version) }

// versionOf returns the version of the routes that names a service, or 0.
func versionOf(service string) (version int64) {
	_, _ = fmt.Sscanf(service, "v%d", &version)
	return version
}

// newGatewayRun starts the store, the targets and the gateways. It doesn't wait until
// the gateways are ready.
func newGatewayRun(t *testing.T, binary string, seed uint64) *gatewayRun {
	t.Helper()
	r := &gatewayRun{checker: newChecker(t), binary: binary, dir: t.TempDir(), random: rand.New(rand.NewPCG(seed, 12)), store: platformtest.NewStore()}
	storeServer := httptest.NewServer(r.store)
	t.Cleanup(storeServer.Close)
	for version := 1; version <= routeVersionCount; version++ {
		for n := range targetsPerService {
			r.addTarget(version, n)
		}
	}
	r.changeRoutes()
	for i := range gatewayCount {
		g := &gatewayProcess{r: r, index: i, ip: standin.LoopbackIP(firstGatewayLoopback + i), first: firstGatewayLoopback, store: newProxy(t, storeServer.Listener.Addr().String())}
		r.gateways = append(r.gateways, g)
		g.start()
		t.Cleanup(g.kill)
	}
	return r
}

// addTarget serves the n-th target of a version's service and adds it to the store.
func (r *gatewayRun) addTarget(version, n int) {
	service := serviceOf(version)
	target := &proxiedTarget{service: service, Target: &platformtest.Target{ID: fmt.Sprintf("%s/%d", service, n), Slots: 4, ProcessingTime: 20 * time.Millisecond, OnStart: r.recordRun}}
	server := httptest.NewServer(target)
	r.t.Cleanup(server.Close)
	target.proxy = newProxy(r.t, server.Listener.Addr().String())
	target.Address = target.proxy.addr()
	r.targets = append(r.targets, target)
	r.store.Put(platform.TargetsKind, target.ID, target.Registration(service, "ready"))
}

// changeRoutes publishes the next version of the routes, which sends all requests to the
// next service.
func (r *gatewayRun) changeRoutes() {
	if r.routeVersion == routeVersionCount {
		return
	}
	r.routeVersion++
	var services []string
	for version := 1; version <= routeVersionCount; version++ {
		services = append(services, serviceOf(version))
	}
	nonIdempotent := platformtest.Rule{
		Name: "once", Host: nonIdempotentHost, Prefix: "/p/", Service: serviceOf(r.routeVersion),
		Objective: 500 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2,
	}
	idempotent := nonIdempotent
	idempotent.Name, idempotent.Host, idempotent.Idempotent = "safe", idempotentHost, true
	r.store.Put(platform.RoutesKind, "main", platformtest.Routes(r.routeVersion, services, nonIdempotent, idempotent))
}

// runCaller sends requests to one gateway until one isn't served, then to the next, until
// stop is closed. It reuses its connection. Callers with an even number send requests
// that aren't idempotent.
func (r *gatewayRun) runCaller(number int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * callDeadline}
	defer client.CloseIdleConnections()
	for next := number; ; {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		if !r.send(client, r.gateways[next%gatewayCount], number%2 == 0) {
			next++
		}
	}
}

// send sends one request to a gateway and reports whether it was served. It checks that
// a process never serves by older routes than it has served by before.
func (r *gatewayRun) send(client *http.Client, g *gatewayProcess, nonIdempotent bool) bool {
	processCount, minVersion := g.processCount.Load(), g.newestRoutes.Load()
	id := fmt.Sprintf("r-%d", r.nextID.Add(1))
	host, method, body := nonIdempotentHost, http.MethodPost, "letters"
	if !nonIdempotent {
		host, method, body = idempotentHost, http.MethodGet, ""
	}
	service := r.sendAndCheck(client, "http://"+g.ip+":8080", host, id, method, body)
	if service == "" {
		return false
	}
	version := versionOf(service)
	if version < minVersion && g.processCount.Load() == processCount {
		r.t.Errorf("gateway %d reverted from routes version %d to %d", g.index, minVersion, version)
	}
	for seen := g.newestRoutes.Load(); version > seen && g.processCount.Load() == processCount && !g.newestRoutes.CompareAndSwap(seen, version); seen = g.newestRoutes.Load() {
	}
	return true
}

// runPlannedWork restarts gateways, reloads their settings, changes the routes and
// replaces targets in random order. Steps may overlap.
func (r *gatewayRun) runPlannedWork() {
	var steps sync.WaitGroup
	for range plannedStepCount {
		g := r.gateways[r.random.IntN(gatewayCount)]
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

// replaceTarget marks a target as draining in the store and as ready again 1 s later.
// The target itself keeps serving.
func (r *gatewayRun) replaceTarget() {
	target := r.activeTarget()
	r.store.Put(platform.TargetsKind, target.ID, target.Registration(target.service, "draining"))
	time.AfterFunc(time.Second, func() {
		r.store.Put(platform.TargetsKind, target.ID, target.Registration(target.service, "ready"))
	})
}

// runUnplannedFaults injects random faults that overlap each other and changes of the
// routes, and returns when all have ended.
func (r *gatewayRun) runUnplannedFaults() {
	var faults sync.WaitGroup
	for range unplannedFaultCount {
		fault := r.randomFault()
		faults.Go(func() { r.runFault(fault) })
		if r.random.IntN(4) == 0 {
			r.changeRoutes()
		}
		time.Sleep(time.Duration(r.random.IntN(400)) * time.Millisecond)
	}
	faults.Wait()
}

// activeTarget returns a random target of the service that the routes name.
func (r *gatewayRun) activeTarget() *proxiedTarget {
	return r.targets[(r.routeVersion-1)*targetsPerService+r.random.IntN(targetsPerService)]
}

// randomFault returns a function that injects a random fault and returns when the fault
// has ended.
func (r *gatewayRun) randomFault() func() {
	g := r.gateways[r.random.IntN(gatewayCount)]
	target := r.activeTarget()
	duration := time.Duration(200+r.random.IntN(1300)) * time.Millisecond
	mode := []proxyMode{modeBlackhole, modeOneWay, modeReset}[r.random.IntN(3)]
	forDuration := func(begin, end func()) func() {
		return func() {
			begin()
			time.Sleep(duration)
			end()
		}
	}
	misbehave := func(b platformtest.Behavior) func() {
		return forDuration(func() { target.SetBehavior(b) }, func() { target.SetBehavior(platformtest.Succeeds) })
	}
	kind := r.random.IntN(len(crowds))
	switch r.random.IntN(12) {
	case 10:
		late := time.Duration(r.random.IntN(2)) * duration / 5
		return func() { r.returnStore(duration, duration/3, late, duration/2) }
	case 9:
		return func() { g.runCrowd(kind, 2*duration) }
	case 0:
		return func() { g.restart(syscall.SIGKILL, duration/4) }
	case 1:
		return forDuration(func() { g.signal(syscall.SIGSTOP) }, func() { g.signal(syscall.SIGCONT) })
	case 2:
		return forDuration(func() { r.store.SetUnavailable(true) }, func() { r.store.SetUnavailable(false) })
	case 3:
		return r.store.DiscardHistory
	case 4:
		return forDuration(func() { g.store.setMode(mode) }, func() { g.store.setMode(modeForward) })
	case 5:
		return forDuration(func() { target.proxy.setMode(mode) }, func() { target.proxy.setMode(modeForward) })
	case 6:
		return forDuration(func() { target.proxy.delay.Store(int64(duration / 8)) }, func() { target.proxy.delay.Store(0) })
	case 7:
		return misbehave(platformtest.Behavior(1 + r.random.IntN(3)))
	case 8:
		return misbehave(platformtest.DropsResponse)
	default:
		return func() { g.restart(syscall.SIGTERM, 0) }
	}
}

// returnStore lets the store return from a copy of some age: after it was away for a moment or, if
// late isn't zero, at once, with answers to calls of before that come so late. What was lost is
// written again after a further time. It does nothing while another return is played.
func (r *gatewayRun) returnStore(age, away, late, again time.Duration) {
	if !r.returning.TryLock() {
		return
	}
	defer r.returning.Unlock()
	older := r.store.Copy()
	time.Sleep(age)
	r.store.SetLateAnswers(late)
	if late == 0 {
		r.store.SetUnavailable(true)
		time.Sleep(away)
	}
	lost := r.store.Restore(older)
	r.store.SetUnavailable(false)
	time.Sleep(again)
	r.store.WriteAgain(lost)
}

// waitRecovered waits until every gateway serves idempotent and other requests by the
// newest routes. It fails the test after recoveryTimeout.
func (r *gatewayRun) waitRecovered() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * callDeadline}
	start := time.Now()
	for _, g := range r.gateways {
		for _, nonIdempotent := range []bool{true, false} {
			for !(r.send(client, g, nonIdempotent) && g.newestRoutes.Load() == int64(r.routeVersion)) {
				if time.Since(start) > recoveryTimeout {
					r.t.Fatalf("gateway %d does not serve by the newest routes", g.index)
				}
				time.Sleep(callPause)
			}
		}
	}
}

// TestGatewaysKeepGuaranteesUnderFaults guards against requests that run twice, get a
// false or foreign response, or are interrupted by planned work, and against gateways
// that don't recover. It runs planned work alone, then overlapping faults of all kinds,
// then waits until all gateways serve again.
func TestGatewaysKeepGuaranteesUnderFaults(t *testing.T) {
	binary := buildBinary(t)
	runSeed := func(seed uint64) func(*testing.T) {
		return func(t *testing.T) {
			r := newGatewayRun(t, binary, seed)
			r.waitRecovered()
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for n := range gatewayCount * callersPerGateway {
				callers.Go(func() { r.runCaller(n, stop) })
			}
			r.runPlannedWork()
			r.runUnplannedFaults()
			r.waitRecovered()
			close(stop)
			callers.Wait()
			t.Logf("served %d, refused %d, unknown %d, faults %d", r.servedCount, r.refusedCount, r.unknownCount, r.faultsStarted.Load())
			if r.servedCount == 0 {
				t.Error("no request was served")
			}
		}
	}
	for _, regression := range regressions {
		t.Run(fmt.Sprintf("regression=%d", regression.seed), runSeed(regression.seed))
	}
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed=%d", *firstSeed+seed), runSeed(*firstSeed+seed))
	}
}
