package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

var (
	seeds     = flag.Int("seeds", 2, "number of seeds to run; with odd ones the instances are peers")
	firstSeed = flag.Uint64("first", 0, "first seed of the gateways' soak")
	logs      = flag.String("logs", "", "directory that keeps the gateways' logs")
)

const (
	// instanceCount is the number of instances in the fleet.
	instanceCount = 3
	// keyCount is the number of idempotency keys in one run.
	keyCount = 40
	// requestsPerKey is the number of requests sent with the same idempotency key.
	requestsPerKey = 4
	// firstLoopback is the first loopback address of the store, the targets and the
	// instances, as an argument of standin.LoopbackIP.
	firstLoopback = 80
	// storeFaultCount is the number of store faults in one run.
	storeFaultCount = 60
)

// soakConfig is the configuration of the fleet: one service that is not idempotent.
const soakConfig = `{"revision":1,"defaults":{"deadline":"900ms"},"services":{"odeslani":{"class":"nonIdempotent"}}}`

// instanceRun is one fleet of instances under faults, with the results that callers
// received.
type instanceRun struct {
	t         *testing.T
	random    *rand.Rand
	platform  *standin.Platform
	target    *countingTarget
	instances []*instance

	mu sync.Mutex
	// reported is the result that the caller received, by request ID. Values are those
	// of reportedResult.
	reported map[string]string
	kills    int
	freezes  int
	// unanswered counts requests without a complete response or a stated result.
	unanswered int
}

// buildBinary builds redwingpoint and returns the path of the binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "redwingpoint")
	out, err := exec.Command("go", "build", "-o", path, "redwingpoint.org/redwingpoint/cmd/redwingpoint").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// serveAt serves a handler on a free port of the n-th loopback address until the
// test ends.
func serveAt(t *testing.T, n int, handler http.Handler) *httptest.Server {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(standin.LoopbackIP(n), "0"))
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler}}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// startInstanceRun starts a fleet and returns it when all instances are ready.
func startInstanceRun(t *testing.T, binary string, seed uint64) *instanceRun {
	t.Helper()
	return startInstanceRunBehind(t, binary, seed, func(h http.Handler) http.Handler { return h })
}

// startInstanceRunBehind is startInstanceRun with the handler of the store wrapped by
// wrap. With an odd seed the instances are peers and route their claims to each other.
func startInstanceRunBehind(t *testing.T, binary string, seed uint64, wrap func(http.Handler) http.Handler) *instanceRun {
	t.Helper()
	r := &instanceRun{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 3)),
		platform: standin.NewPlatform(),
		target:   newCountingTarget(seed),
		reported: make(map[string]string),
	}
	objects := serveAt(t, firstLoopback, wrap(r.platform.Handler()))
	var list []model.Target
	for n := range 2 {
		server := serveAt(t, firstLoopback+1+n, r.target)
		list = append(list, model.Target{
			ID:       model.TargetID(fmt.Sprintf("odeslani-%d", n)),
			Service:  "odeslani",
			Addr:     netip.MustParseAddrPort(server.Listener.Addr().String()),
			Location: model.Location{Region: "praha", FailureDomain: "praha-a"},
			Slots:    64,
		})
	}
	raw, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	r.platform.Objects.Write(store.TargetsPrefix+"odeslani", 0, raw, false)
	r.platform.Objects.Write(store.ConfigKey, 0, []byte(soakConfig), false)
	var peers *fleet
	if seed%2 == 1 {
		peers = newFleet(t, r.platform)
	}
	for n := range instanceCount {
		i := &instance{t: t, binary: binary, dir: t.TempDir(), platform: objects.URL, ip: standin.LoopbackIP(firstLoopback + 10 + n), number: n, fleet: peers}
		i.start()
		t.Cleanup(i.kill)
		r.instances = append(r.instances, i)
	}
	for _, i := range r.instances {
		i.waitReady()
	}
	return r
}

// randomIntN returns a random number from [0, n). It is safe for concurrent use.
func (r *instanceRun) randomIntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// sendToAny sends one request with an idempotency key to a random instance.
func (r *instanceRun) sendToAny(key, requestID string) {
	r.sendTo(r.instances[r.randomIntN(instanceCount)], key, requestID)
}

// sendTo sends one request with an idempotency key to an instance and records the
// result that its caller receives.
func (r *instanceRun) sendTo(i *instance, key, requestID string) {
	req, err := http.NewRequest(http.MethodPost, i.url()+"/odeslani/batches", strings.NewReader("letters of "+key))
	if err != nil {
		r.t.Error(err)
		return
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Request-Id", requestID)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	result := reportedResult(client.Do(req))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported[requestID] = result
}

// reportedResult returns what a response says about the request: "ran", "not-run" or
// another value of the problem document's ran field. It returns "" without a complete
// response or without a stated result.
func reportedResult(resp *http.Response, err error) string {
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	if resp.StatusCode == http.StatusOK {
		return "ran"
	}
	var problem struct {
		Ran string `json:"ran"`
	}
	_ = json.Unmarshal(body, &problem)
	return problem.Ran
}

// injectProcessFaults kills and freezes random instances until done is closed.
func (r *instanceRun) injectProcessFaults(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(50+r.randomIntN(200)) * time.Millisecond):
		}
		i := r.instances[r.randomIntN(instanceCount)]
		if r.randomIntN(2) == 0 {
			r.kills++
			i.kill()
			i.start()
			continue
		}
		r.freezes++
		i.freeze(time.Duration(r.randomIntN(1500)) * time.Millisecond)
	}
}

// storeFaultSchedule returns a schedule that alternates between a working store and
// a random fault.
func (r *instanceRun) storeFaultSchedule() standin.FaultSchedule {
	ms := func(n int) config.Duration { return config.Duration(time.Duration(n) * time.Millisecond) }
	faults := []standin.Faults{
		{LoseResponses: 0.4, StaleReads: 0.2},
		{LateWrites: 0.4, LateBy: ms(400), StaleReads: 0.2},
		{Down: true},
		{Hang: true},
		{Delay: ms(60), LoseResponses: 0.2},
	}
	schedule := standin.FaultSchedule{Seed: r.random.Uint64()}
	for range storeFaultCount {
		schedule.Steps = append(schedule.Steps,
			standin.FaultStep{For: ms(100 + r.randomIntN(200))},
			standin.FaultStep{For: ms(100 + r.randomIntN(400)), Faults: faults[r.randomIntN(len(faults))]})
	}
	return schedule
}

// sendDuplicates sends several requests for every idempotency key, each to a random
// instance, under process and store faults.
func (r *instanceRun) sendDuplicates() {
	done := make(chan struct{})
	var faults, callers sync.WaitGroup
	r.platform.Inject(r.storeFaultSchedule())
	faults.Go(func() { r.injectProcessFaults(done) })
	for n := range keyCount {
		key := fmt.Sprintf("batch-%d", n)
		if n%4 > 0 {
			key = uuid.Must(uuid.NewV7()).String()
		}
		for c := range requestsPerKey {
			requestID := fmt.Sprintf("%s/%d", key, c)
			pause := time.Duration(r.randomIntN(1200)) * time.Millisecond
			callers.Go(func() {
				time.Sleep(pause)
				r.sendToAny(key, requestID)
			})
		}
		time.Sleep(time.Duration(r.randomIntN(120)) * time.Millisecond)
	}
	callers.Wait()
	close(done)
	faults.Wait()
	r.platform.Inject(standin.FaultSchedule{})
	for _, i := range r.instances {
		i.signal(syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second) // Lets requests and writes that are still in flight arrive.
}

// violations returns the contradictions between the reported results and what the
// target ran: a key that ran more than once, a request reported as not run that ran,
// and a key reported as run that never ran.
func (r *instanceRun) violations() []string {
	r.target.mu.Lock()
	defer r.target.mu.Unlock()
	var found []string
	for key, requestIDs := range r.target.requestIDsByKey {
		if len(requestIDs) > 1 {
			found = append(found, fmt.Sprintf("key %s ran more than once, for requests %v", key, requestIDs))
		}
	}
	for requestID, result := range r.reported {
		key, _, _ := strings.Cut(requestID, "/")
		switch {
		case result == "not-run" && r.target.runsByRequestID[requestID] > 0:
			found = append(found, "request "+requestID+" was reported as not-run but ran")
		case result == "ran" && len(r.target.requestIDsByKey[key]) == 0:
			found = append(found, "request "+requestID+" was reported as ran but its key never ran")
		case result == "":
			r.unanswered++
		}
	}
	return found
}

// TestDuplicateRequestsRunAtMostOnce guards against a non-idempotent request that runs
// twice, and against false results, when requests with the same idempotency key reach
// several instances while processes are killed or frozen and the store loses or delays
// writes.
func TestDuplicateRequestsRunAtMostOnce(t *testing.T) {
	binary := buildBinary(t)
	ranCount, reportedRanCount, violationCount := 0, 0, 0
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := startInstanceRun(t, binary, seed)
			r.sendDuplicates()
			violations := r.violations()
			for _, v := range violations {
				t.Errorf("seed %d: %s", seed, v)
			}
			stats, ran := r.platform.Stats(), len(r.target.requestIDsByKey)
			counts := make(map[string]int)
			for _, result := range r.reported {
				counts[result]++
			}
			t.Logf("seed %d: %d keys, %d requests, %d keys ran; reported: %v; %d kills, %d freezes, %d lost responses, %d late writes, %d stale reads, %d refused calls, %d shed, %d aborted; %d violations",
				seed, keyCount, keyCount*requestsPerKey, ran, counts, r.kills, r.freezes, stats.LostResponses, stats.LateWrites, stats.StaleReads, stats.RefusedCalls, r.target.shedCount, r.target.abortedCount, len(violations))
			ranCount += ran
			reportedRanCount += counts["ran"]
			violationCount += len(violations)
		})
	}
	t.Logf("%d seeds: %d keys ran, %d requests reported as ran, %d violations", *seeds, ranCount, reportedRanCount, violationCount)
	if ranCount == 0 || reportedRanCount == 0 {
		t.Error("no request ran or none was reported as ran")
	}
}
