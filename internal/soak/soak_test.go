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
	instances = 3
	keys      = 40
	copies    = 4
	firstIP   = 80
	// storeFaults is the number of faults of the store in one run.
	storeFaults = 60
)

const soakConfig = `{"revision":1,"defaults":{"deadline":"900ms"},"services":{"odeslani":{"class":"nonIdempotent"}}}`

// run is one fleet under faults and what its callers were told.
type run struct {
	t         *testing.T
	random    *rand.Rand
	platform  *standin.Platform
	target    *counter
	instances []*instance

	mu      sync.Mutex
	told    map[string]string
	kills   int
	freezes int
	noWord  int
}

func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "redwingpoint")
	out, err := exec.Command("go", "build", "-o", path, "redwingpoint.org/redwingpoint/cmd/redwingpoint").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// serveAt serves a handler at one of this package's loopback addresses.
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

func startRun(t *testing.T, binary string, seed uint64) *run {
	t.Helper()
	return startRunBehind(t, binary, seed, func(h http.Handler) http.Handler { return h })
}

// startRunBehind starts a fleet whose store is reached through wrap. With an odd
// seed the instances are peers and route their claims.
func startRunBehind(t *testing.T, binary string, seed uint64, wrap func(http.Handler) http.Handler) *run {
	t.Helper()
	r := &run{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 3)),
		platform: standin.NewPlatform(),
		target:   newCounter(seed),
		told:     make(map[string]string),
	}
	objects := serveAt(t, firstIP, wrap(r.platform.Handler()))
	var list []model.Target
	for n := range 2 {
		server := serveAt(t, firstIP+1+n, r.target)
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
	for n := range instances {
		i := &instance{t: t, binary: binary, dir: t.TempDir(), platform: objects.URL, ip: standin.LoopbackIP(firstIP + 10 + n), number: n, fleet: peers}
		i.start()
		t.Cleanup(i.kill)
		r.instances = append(r.instances, i)
	}
	for _, i := range r.instances {
		i.waitReady()
	}
	return r
}

func (r *run) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// receive sends one receipt of a key to any instance.
func (r *run) receive(key, receipt string) {
	r.receiveAt(r.instances[r.draw(instances)], key, receipt)
}

// receiveAt sends one receipt of a key and notes what its caller is told.
func (r *run) receiveAt(i *instance, key, receipt string) {
	req, err := http.NewRequest(http.MethodPost, i.url()+"/odeslani/batches", strings.NewReader("letters of "+key))
	if err != nil {
		r.t.Error(err)
		return
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Request-Id", receipt)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer := verdict(client.Do(req))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[receipt] = answer
}

// verdict returns what an answer says about the receipt; an exchange without a
// whole answer says nothing.
func verdict(resp *http.Response, err error) string {
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

// disturb kills and freezes instances until done is closed.
func (r *run) disturb(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(50+r.draw(200)) * time.Millisecond):
		}
		i := r.instances[r.draw(instances)]
		if r.draw(2) == 0 {
			r.kills++
			i.kill()
			i.start()
			continue
		}
		r.freezes++
		i.freeze(time.Duration(r.draw(1500)) * time.Millisecond)
	}
}

// storeScript lets the store change between working and one of its faults.
func (r *run) storeScript() standin.Script {
	ms := func(n int) config.Duration { return config.Duration(time.Duration(n) * time.Millisecond) }
	faults := []standin.Faults{
		{LoseAnswers: 0.4, StaleReads: 0.2},
		{LateWrites: 0.4, LateBy: ms(400), StaleReads: 0.2},
		{Down: true},
		{Hang: true},
		{Delay: ms(60), LoseAnswers: 0.2},
	}
	script := standin.Script{Seed: r.random.Uint64()}
	for range storeFaults {
		script.Steps = append(script.Steps,
			standin.Step{For: ms(100 + r.draw(200))},
			standin.Step{For: ms(100 + r.draw(400)), Faults: faults[r.draw(len(faults))]})
	}
	return script
}

// deliver sends every key several times, to any instances, while disturb runs.
func (r *run) deliver() {
	done := make(chan struct{})
	var chaos, callers sync.WaitGroup
	r.platform.Inject(r.storeScript())
	chaos.Go(func() { r.disturb(done) })
	for n := range keys {
		key := fmt.Sprintf("batch-%d", n)
		if n%4 > 0 {
			key = uuid.Must(uuid.NewV7()).String()
		}
		for c := range copies {
			receipt := fmt.Sprintf("%s/%d", key, c)
			pause := time.Duration(r.draw(1200)) * time.Millisecond
			callers.Go(func() {
				time.Sleep(pause)
				r.receive(key, receipt)
			})
		}
		time.Sleep(time.Duration(r.draw(120)) * time.Millisecond)
	}
	callers.Wait()
	close(done)
	chaos.Wait()
	r.platform.Inject(standin.Script{})
	for _, i := range r.instances {
		i.signal(syscall.SIGCONT)
	}
	time.Sleep(2 * time.Second) // What is still under way arrives.
}

// violations compares what callers were told with what the target ran.
func (r *run) violations() []string {
	r.target.mu.Lock()
	defer r.target.mu.Unlock()
	var found []string
	for key, receipts := range r.target.keys {
		if len(receipts) > 1 {
			found = append(found, fmt.Sprintf("key %s ran for %v", key, receipts))
		}
	}
	for receipt, answer := range r.told {
		key, _, _ := strings.Cut(receipt, "/")
		switch {
		case answer == "not-run" && r.target.receipts[receipt] > 0:
			found = append(found, "receipt "+receipt+" was told not-run and ran")
		case answer == "ran" && len(r.target.keys[key]) == 0:
			found = append(found, "receipt "+receipt+" was answered and never ran")
		case answer == "":
			r.noWord++
		}
	}
	return found
}

func TestDuplicateReceiptsRunAtMostOnce(t *testing.T) {
	binary := buildBinary(t)
	runs, answered, found := 0, 0, 0
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := startRun(t, binary, seed)
			r.deliver()
			violations := r.violations()
			for _, v := range violations {
				t.Errorf("seed %d: %s", seed, v)
			}
			tally, ran := r.platform.Tally(), len(r.target.keys)
			counts := make(map[string]int)
			for _, answer := range r.told {
				counts[answer]++
			}
			t.Logf("seed %d: %d keys, %d receipts, %d keys ran; told: %v; %d kills, %d freezes, %d lost answers, %d late writes, %d stale reads, %d refused calls, %d shed, %d cut; %d violations",
				seed, keys, keys*copies, ran, counts, r.kills, r.freezes, tally.Lost, tally.Late, tally.Stale, tally.Refused, r.target.shed, r.target.cut, len(violations))
			runs += ran
			answered += counts["ran"]
			found += len(violations)
		})
	}
	t.Logf("%d seeds: %d keys ran, %d receipts answered, %d violations", *seeds, runs, answered, found)
	if runs == 0 || answered == 0 {
		t.Error("nothing ran")
	}
}
