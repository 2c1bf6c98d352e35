package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/platform"
	"redwingpoint.org/redwingpoint/platform/platformtest"
)

const (
	// statingTargetCount is the number of targets of the service.
	statingTargetCount = 6
	// statementStepCount is the number of statements of targets and faults in one run.
	statementStepCount = 30
	// contactTime is the time after a fault from which a gateway is bound by all rules, and
	// for which the fleet may take to learn of ended targets.
	contactTime = 3 * time.Second
	// markedPath is the path of the request that ends each target.
	markedPath = "/p/marked"
	// viaField tells the targets through which process of which gateway a request comes.
	viaField = "Soak-Via"
	// namedLimit is the limit that targets name, in requests a second.
	namedLimit = 2.0
	// askedPause is the pause that targets ask for, in seconds.
	askedPause = 2
	// drainTime is how long a target that leaves may still get requests.
	drainTime = 2 * time.Second
)

// statingTarget is a target that makes statements about itself.
type statingTarget struct {
	*platformtest.Target
	process *platformtest.Process
}

// statementRun is a fleet of gateways whose targets make statements and end under a marked
// request, with what targets and callers saw.
type statementRun struct {
	*gatewayRun
	stating []*statingTarget

	mu sync.Mutex
	// faultAt is the time of the latest fault of each gateway.
	faultAt [gatewayCount]time.Time
	endedAt []time.Time
	// lateArrivals counts the arrivals of the marked request later than contactTime after
	// the third end.
	lateArrivals int
	// told holds when a gateway's process first passed on a statement: "limit" or "leaving",
	// and the target and process.
	told map[string]time.Time
	// limited holds the arrivals at a target from processes that were told of its limit.
	limited map[string][]time.Time
	// pausedAt is when a target asked a process for a pause, paused the arrivals within it.
	pausedAt map[string]time.Time
	paused   map[string]int
}

func newStatementRun(t *testing.T, binary string, seed uint64) *statementRun {
	t.Helper()
	r := &statementRun{told: make(map[string]time.Time), limited: make(map[string][]time.Time), pausedAt: make(map[string]time.Time), paused: make(map[string]int)}
	r.gatewayRun = &gatewayRun{checker: newChecker(t), binary: binary, dir: t.TempDir(), random: rand.New(rand.NewPCG(seed, 13)), store: platformtest.NewStore()}
	storeServer := httptest.NewServer(r.store)
	t.Cleanup(storeServer.Close)
	for n := range statingTargetCount {
		r.startTarget(fmt.Sprint("v1/", n))
	}
	r.changeRoutes()
	for i := range gatewayCount {
		g := &gatewayProcess{r: r.gatewayRun, index: i, ip: standin.LoopbackIP(firstGatewayLoopback + gatewayCount + i), first: firstGatewayLoopback + gatewayCount, store: newProxy(t, storeServer.Listener.Addr().String())}
		r.gateways = append(r.gateways, g)
		g.start()
		t.Cleanup(g.kill)
	}
	return r
}

func (r *statementRun) startTarget(id string) {
	target := &statingTarget{Target: &platformtest.Target{ID: id, Slots: 4, ProcessingTime: 5 * time.Millisecond}}
	target.OnRequest = func(req *http.Request) {
		if req.URL.Path != "/health" {
			r.arrive(target, req)
		}
	}
	target.OnPause = func(req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		key := target.ID + " " + req.Header.Get(viaField)
		r.pausedAt[key], r.paused[key] = time.Now(), 0
	}
	target.CrashOn = func(req *http.Request) bool {
		if req.URL.Path != markedPath {
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endedAt = append(r.endedAt, time.Now())
		return true
	}
	register := func() { r.store.Put(platform.TargetsKind, id, target.Registration(serviceOf(1), "ready")) }
	target.OnRestart = register
	process, err := platformtest.StartProcess(target.Target, 300*time.Millisecond)
	if err != nil {
		r.t.Fatal(err)
	}
	target.process = process
	r.t.Cleanup(func() {
		if err := process.Close(); err != nil {
			r.t.Error(err)
		}
	})
	register()
	r.stating = append(r.stating, target)
}

// arrive checks a request that reached a target against what its gateway had been told.
func (r *statementRun) arrive(target *statingTarget, req *http.Request) {
	via := req.Header.Get(viaField)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	calm := r.calmSince(via)
	if req.URL.Path == markedPath && len(r.endedAt) >= 3 && now.Sub(r.endedAt[2]) > contactTime && now.Sub(calm) > contactTime {
		r.lateArrivals++
	}
	key := target.ID + " " + via
	if at, known := r.told["leaving "+key]; known && at.After(calm) && now.Sub(at) > drainTime {
		r.t.Errorf("%s got a request via %s, which knew for %v that it leaves", target.ID, via, now.Sub(at))
	}
	if at, known := r.told["limit "+key]; known && at.After(calm) && now.Sub(at) > 500*time.Millisecond {
		r.limited[target.ID] = append(r.limited[target.ID], now)
	}
	if at, known := r.pausedAt[key]; known && at.After(calm) && now.Sub(at) > 500*time.Millisecond && now.Sub(at) < askedPause*time.Second {
		if r.paused[key]++; r.paused[key] > 2 {
			r.t.Errorf("%s got %d requests via %s in its pause", target.ID, r.paused[key], via)
		}
	}
}

// calmSince returns the time of the latest fault of the gateway in a viaField. r.mu must be
// held.
func (r *statementRun) calmSince(via string) time.Time {
	var index, process int
	if _, err := fmt.Sscanf(via, "%d/%d", &index, &process); err != nil {
		r.t.Errorf("request via %q", via)
	}
	return r.faultAt[index]
}

// strike runs a fault of a gateway.
func (r *statementRun) strike(g *gatewayProcess, fault func()) {
	mark := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.faultAt[g.index] = time.Now()
	}
	mark()
	fault()
	mark()
}

// send sends an idempotent request with an ID of its own on a new connection and records
// what its response states.
func (r *statementRun) send(client *http.Client, g *gatewayProcess, path string) {
	via := fmt.Sprintf("%d/%d", g.index, g.processCount.Load())
	req, err := http.NewRequest(http.MethodGet, "http://"+g.ip+":8080"+path, nil)
	if err != nil {
		r.t.Error(err)
		return
	}
	req.Host = idempotentHost
	signals := platform.Protocol()
	req.Header.Set(signals.RequestID, fmt.Sprintf("r-%d", r.nextID.Add(1)))
	req.Header.Set(signals.Deadline, fmt.Sprint(callDeadline.Milliseconds()))
	req.Header.Set(viaField, via)
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return
	}
	target := strings.TrimPrefix(resp.Header.Get(signals.Signature), platformtest.Signature(""))
	if target == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servedCount++
	if resp.Header.Get(platform.LimitField) != "" {
		r.tell("limit " + target + " " + via)
	}
	if resp.Header.Get(platform.LeavingField) != "" {
		r.tell("leaving " + target + " " + via)
	}
}

// tell records when a process was first told. r.mu must be held.
func (r *statementRun) tell(key string) {
	if _, known := r.told[key]; !known {
		r.told[key] = time.Now()
	}
}

// forget forgets what processes were told of a target. r.mu must be held.
func (r *statementRun) forget(what, target string) {
	for key := range r.told {
		if strings.HasPrefix(key, what+" "+target+" ") {
			delete(r.told, key)
		}
	}
}

// limit makes a target name a limit for a time and checks what it got meanwhile.
func (r *statementRun) limit(target *statingTarget, duration time.Duration) {
	target.SetLimit(fmt.Sprint(namedLimit))
	named := time.Now()
	time.Sleep(duration)
	target.SetLimit("")
	r.mu.Lock()
	defer r.mu.Unlock()
	const window, allowed = 4 * time.Second, int(1.5*namedLimit*4) + 5
	arrivals := r.limited[target.ID]
	for i, first := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if first.After(named.Add(contactTime)) && at.Sub(first) <= window {
				n++
			}
		}
		if n > allowed {
			r.t.Errorf("%s got %d requests in %v, allowed are %d", target.ID, n, window, allowed)
			break
		}
	}
	delete(r.limited, target.ID)
	r.forget("limit", target.ID)
}

// leave makes a target say that it leaves, ends it and starts it again under its ID.
func (r *statementRun) leave(target *statingTarget) {
	target.SetLeaving(true)
	time.Sleep(drainTime + time.Second)
	r.mu.Lock()
	r.forget("leaving", target.ID)
	r.mu.Unlock()
	target.SetLeaving(false)
	target.process.Restart()
}

// pause makes a target ask for a pause for a moment.
func (r *statementRun) pause(target *statingTarget) {
	target.SetPause(fmt.Sprint(askedPause))
	time.Sleep(200 * time.Millisecond)
	target.SetPause("")
}

// runSteps makes targets state something and gateways fail, in random order and over each
// other. A target is in one step at a time.
func (r *statementRun) runSteps() {
	var steps sync.WaitGroup
	var busy [statingTargetCount]sync.Mutex
	for range statementStepCount {
		index := r.random.IntN(statingTargetCount)
		target, g := r.stating[index], r.gateways[r.random.IntN(gatewayCount)]
		duration := time.Duration(200+r.random.IntN(1300)) * time.Millisecond
		alone := func(step func()) {
			steps.Go(func() { busy[index].Lock(); defer busy[index].Unlock(); step() })
		}
		switch r.random.IntN(8) {
		case 0, 1:
			alone(func() { r.limit(target, 4*time.Second+2*duration) })
		case 2:
			alone(func() { r.leave(target) })
		case 3, 4:
			alone(func() { r.pause(target) })
		case 5:
			steps.Go(func() { r.strike(g, func() { g.restart(syscall.SIGKILL, duration/4) }) })
		case 6:
			steps.Go(func() {
				r.strike(g, func() { g.signal(syscall.SIGSTOP); time.Sleep(duration); g.signal(syscall.SIGCONT) })
			})
		default:
			r.store.SetUnavailable(true)
			steps.Go(func() { time.Sleep(duration); r.store.SetUnavailable(false) })
		}
		time.Sleep(time.Duration(r.random.IntN(500)) * time.Millisecond)
	}
	steps.Wait()
}

// TestGatewaysHeedTargetsUnderFaults guards against requests that reach targets which named a
// limit, asked for a pause or said that they leave, and against a request that ends targets
// and comes again, while gateways restart and freeze and the store is away.
func TestGatewaysHeedTargetsUnderFaults(t *testing.T) {
	binary := buildBinary(t)
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed=%d", *firstSeed+seed), func(t *testing.T) {
			r := newStatementRun(t, binary, *firstSeed+seed)
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for n := range gatewayCount * callersPerGateway {
				callers.Go(func() { r.runStatementCaller(n, stop) })
			}
			time.Sleep(contactTime)
			r.runSteps()
			close(stop)
			callers.Wait()
			t.Logf("served %d, targets ended %d, late %d", r.servedCount, len(r.endedAt), r.lateArrivals)
			if r.servedCount == 0 || len(r.endedAt) == 0 {
				t.Error("no request was served, or none ended a target")
			}
			if r.lateArrivals > 3 {
				t.Errorf("the request that ends targets reached %d more, allowed are 3", r.lateArrivals)
			}
		})
	}
}

// runStatementCaller sends requests to one gateway after the other until stop is closed. The
// first caller sends the marked one every tenth time.
func (r *statementRun) runStatementCaller(number int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * callDeadline}
	for n := number; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		path := fmt.Sprintf("/p/%d/%d", number, n)
		if number == 0 && n%10 == 0 {
			path = markedPath
		}
		r.send(client, r.gateways[n%gatewayCount], path)
	}
}
