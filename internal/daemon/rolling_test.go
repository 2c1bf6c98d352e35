package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

// rollingPlan holds the parameters of one rolling replacement.
type rollingPlan struct {
	instances int
	// leaveLag is the setting leave.lag of the instances.
	leaveLag time.Duration
	// balancerLag is the delay with which the load balancer follows the readiness of an
	// instance.
	balancerLag time.Duration
	// upload is the duration of one upload.
	upload time.Duration
	// workers is the number of workers for each class except uploads.
	workers int
}

// newRollingPlan returns the short plan, or the long one if "make rolling" runs the test.
func newRollingPlan() rollingPlan {
	if os.Getenv("ROLLING") == "full" {
		return rollingPlan{6, 5 * time.Second, 3 * time.Second, 20 * time.Second, 4}
	}
	return rollingPlan{3, 800 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, 1}
}

// balancer simulates the platform's load balancer: it uses the ready instances
// round-robin and notices changes of their readiness with a delay.
type balancer struct {
	lag  time.Duration
	next atomic.Uint64

	mu    sync.Mutex
	addrs []string
}

// pick returns the caller address of the next instance.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addrs[b.next.Add(1)%uint64(len(b.addrs))]
}

// set adds an instance to the rotation or removes it.
func (b *balancer) set(addr string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var remaining []string
	for _, other := range b.addrs {
		if other != addr {
			remaining = append(remaining, other)
		}
	}
	if ready {
		remaining = append(remaining, addr)
	}
	b.addrs = remaining
}

// checkReadiness checks the readiness of an instance until its process has exited.
func (b *balancer) checkReadiness(p *process) {
	ready := false
	for {
		resp, err := http.Get("http://" + p.operator + "/ready")
		nowReady := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if nowReady != ready {
			ready = nowReady
			time.AfterFunc(b.lag, func() { b.set(p.caller, nowReady) })
		}
		select {
		case <-p.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// contains reports whether an instance is in the rotation.
func (b *balancer) contains(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, other := range b.addrs {
		if other == addr {
			return true
		}
	}
	return false
}

// process is a running process of redwingpoint.
type process struct {
	cmd *exec.Cmd
	// caller and operator are its listen addresses.
	caller, operator string
	// done is closed when the process has exited.
	done chan struct{}
}

// rolling is a fleet of processes whose instances are replaced one after another.
type rolling struct {
	t        *testing.T
	plan     rollingPlan
	dir      string
	platform *standin.Platform
	url      string
	ca       keys.KeyPair
	balancer *balancer
	listed   []store.Instance
	started  int
	stop     chan struct{}

	// sent and failed count the requests by class.
	sent, failed [3]atomic.Int64
	// keys holds the idempotency keys that targets received.
	keys sync.Map
	// received counts the requests with an idempotency key that targets received.
	received atomic.Int64
}

// newRolling builds the program and prepares the platform, the targets and the CA. It
// starts no instance.
func newRolling(t *testing.T) *rolling {
	t.Helper()
	p := newRollingPlan()
	r := &rolling{
		t: t, plan: p, dir: t.TempDir(), platform: standin.NewPlatform(), stop: make(chan struct{}),
		balancer: &balancer{lag: p.balancerLag},
	}
	build := exec.Command("go", "build", "-o", r.dir+"/", "redwingpoint.org/redwingpoint/cmd/redwingpoint")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	server := httptest.NewServer(r.platform.Handler())
	t.Cleanup(server.Close)
	r.url = server.URL
	for _, service := range []model.ServiceName{"nahled", "odeslani", "prijem"} {
		r.startTarget(service)
	}
	r.platform.Objects.Write(store.ConfigKey, 0, []byte(testConfig), false)
	var err error
	if r.ca, err = keys.NewCA("vltava", time.Now(), time.Hour); err != nil {
		t.Fatal(err)
	}
	r.writeFile("ca.pem", r.ca.Cert)
	return r
}

// startTarget starts the only target of a service and registers it.
func (r *rolling) startTarget(service model.ServiceName) {
	target := standin.NewTarget(string(service)+"-1", 64, time.Millisecond)
	upstream := httptest.NewServer(r.checkDuplicates(target))
	r.t.Cleanup(upstream.Close)
	list, err := json.Marshal([]model.Target{{
		ID: model.TargetID(service + "-1"), Service: service, Location: praha, Slots: 64, MaxConns: 240,
		Addr: netip.MustParseAddrPort(upstream.Listener.Addr().String()),
	}})
	if err != nil {
		r.t.Fatal(err)
	}
	r.platform.Objects.Write(store.TargetsPrefix+string(service), 0, list, false)
}

// checkDuplicates returns a handler that fails the test if targets receive an idempotency
// key twice. Health checks have no key and are not counted.
func (r *rolling) checkDuplicates(target http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if key := req.Header.Get("Idempotency-Key"); key != "" {
			r.received.Add(1)
			now := fmt.Sprint(time.Now().Format("15:04:05.000"), " request ", req.Header.Get("Request-Id"), " from ", req.RemoteAddr)
			if first, seen := r.keys.LoadOrStore(key, now); seen {
				r.t.Errorf("key %s was received twice: %v, then %s", key, first, now)
			}
		}
		target.ServeHTTP(w, req)
	})
}

// writeFile writes a file to the test's directory and returns its path.
func (r *rolling) writeFile(name string, content []byte) string {
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

// launch starts the next instance and waits until the load balancer uses it.
func (r *rolling) launch() *process {
	n := r.started
	r.started++
	domain := "praha-" + string(rune('a'+n%2))
	id := model.InstanceID(fmt.Sprintf("%s-%d", domain, n))
	pair, err := keys.NewInstanceCert(r.ca, id, time.Now(), time.Hour)
	if err != nil {
		r.t.Fatal(err)
	}
	ip := standin.LoopbackIP(140 + n)
	p := &process{
		caller: net.JoinHostPort(ip, "8080"), operator: net.JoinHostPort(ip, "9090"), done: make(chan struct{}),
	}
	text := fmt.Sprintf(`instance: %s
location: {region: praha, failureDomain: %s}
caller: {listen: "%s"}
operator: {listen: "%s", token: rolling}
peer: {listen: "%s:7946", ca: "%s", cert: "%s", key: "%s"}
platform: {url: "%s"}
leave: {lag: %s}
`, id, domain, p.caller, p.operator, ip, filepath.Join(r.dir, "ca.pem"),
		r.writeFile(string(id)+".pem", pair.Cert), r.writeFile(string(id)+".key", pair.Key), r.url, r.plan.leaveLag)
	r.listed = append(r.listed, store.Instance{
		ID: id, Location: model.Location{Region: "praha", FailureDomain: model.FailureDomain(domain)},
		PeerAddr: ip + ":7946", State: store.InstanceLive,
	})
	r.platform.SetInstances(r.listed)
	p.cmd = exec.Command(filepath.Join(r.dir, "redwingpoint"), "serve", "--settings", r.writeFile(string(id)+".yaml", []byte(text)))
	log := new(bytes.Buffer)
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	go func() {
		if err := p.cmd.Wait(); err != nil && r.t.Context().Err() == nil {
			r.t.Errorf("%s: %v\n%s", id, err, log)
		}
		close(p.done)
	}()
	go r.balancer.checkReadiness(p)
	eventually(r.t, string(id)+" was not added to the load balancer", func() bool { return r.balancer.contains(p.caller) })
	return p
}

// runWorker sends requests of one class until the test closes r.stop.
func (r *rolling) runWorker(class model.Class, send func(addr string) error) {
	for {
		select {
		case <-r.stop:
			return
		default:
		}
		r.sent[class].Add(1)
		if err := send(r.balancer.pick()); err != nil {
			r.failed[class].Add(1)
			r.t.Errorf("%s: %v", class, err)
		}
		time.Sleep(requestDelays[class])
	}
}

// requestDelays holds the delay of a worker between two requests, by class.
// Non-idempotent requests are sent at a lower rate, because the store limits the writes
// of the ledger.
var requestDelays = [...]time.Duration{
	model.Idempotent:    2 * time.Millisecond,
	model.NonIdempotent: 50 * time.Millisecond,
	model.Upload:        0,
}

// constant returns a function that returns text.
func constant(text string) func() string { return func() string { return text } }

// sendAndCheck sends a request and returns an error unless the response has status 200
// and its body contains the text that want returns after the request was sent.
func sendAndCheck(client *http.Client, method, url, key string, body io.Reader, want func() string) error {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(respBody), want()) {
		return fmt.Errorf("%s: %d %s", url, resp.StatusCode, respBody)
	}
	return nil
}

// slowBody is a request body that sends a chunk every 20 ms until a point in time.
type slowBody struct {
	until time.Time
	// sent counts the bytes.
	sent atomic.Int64
}

// slowChunk is the size of a chunk in bytes.
const slowChunk = 4096

// wantResponse returns the text with the number of bytes in the response to the upload.
func (b *slowBody) wantResponse() string { return fmt.Sprintf("with %d bytes", b.sent.Load()) }

func (b *slowBody) Read(p []byte) (int, error) {
	if time.Now().After(b.until) {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Millisecond)
	n := min(len(p), slowChunk)
	b.sent.Add(int64(n))
	return n, nil
}

// startLoad starts the workers of all classes and returns the group that waits for them.
func (r *rolling) startLoad() *sync.WaitGroup {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}
	r.t.Cleanup(client.CloseIdleConnections)
	var workers sync.WaitGroup
	for range r.plan.workers {
		workers.Go(func() {
			r.runWorker(model.Idempotent, func(addr string) error {
				return sendAndCheck(client, http.MethodGet, "http://"+addr+"/nahled/letters/7", "", nil, constant("ran GET"))
			})
		})
		workers.Go(func() {
			r.runWorker(model.NonIdempotent, func(addr string) error {
				key := uuid.Must(uuid.NewV7()).String()
				return sendAndCheck(client, http.MethodPost, "http://"+addr+"/odeslani/batches", key, strings.NewReader("x"), constant("ran POST"))
			})
		})
	}
	for range 2 * r.plan.instances {
		workers.Go(func() {
			r.runWorker(model.Upload, func(addr string) error {
				body := &slowBody{until: time.Now().Add(r.plan.upload)}
				return sendAndCheck(client, http.MethodPut, "http://"+addr+"/prijem/lists/1", "", body, body.wantResponse)
			})
		})
	}
	return &workers
}

// TestRollingReplacement replaces every instance of a fleet of separate processes under
// load of all classes. No request may fail and no upload may be interrupted.
func TestRollingReplacement(t *testing.T) {
	r := newRolling(t)
	var oldProcesses []*process
	for range r.plan.instances {
		oldProcesses = append(oldProcesses, r.launch())
	}
	workers := r.startLoad()
	for _, p := range oldProcesses {
		r.launch()
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-p.done
	}
	close(r.stop)
	workers.Wait()
	for class := model.Idempotent; class <= model.Upload; class++ {
		t.Logf("%s: %d sent, %d failed", class, r.sent[class].Load(), r.failed[class].Load())
		if r.sent[class].Load() == 0 {
			t.Errorf("no %s request was sent", class)
		}
	}
	if ran := r.received.Load(); ran != r.sent[model.NonIdempotent].Load() {
		t.Errorf("%d non-idempotent requests were sent, but targets received %d", r.sent[model.NonIdempotent].Load(), ran)
	}
	t.Logf("replaced %d instances under uploads of %v each", len(oldProcesses), r.plan.upload)
}
