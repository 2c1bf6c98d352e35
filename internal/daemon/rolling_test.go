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

// rollingPlan is the size of one rolling replacement.
type rollingPlan struct {
	instances   int
	leaveLag    time.Duration
	balancerLag time.Duration
	upload      time.Duration
	workers     int
}

// plan returns the short form, or the long one of "make rolling".
func plan() rollingPlan {
	if os.Getenv("ROLLING") == "full" {
		return rollingPlan{6, 5 * time.Second, 3 * time.Second, 20 * time.Second, 4}
	}
	return rollingPlan{3, 800 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, 1}
}

// balancer is the platform's balancer: round robin over the instances that it
// believes to be ready, a belief that lags behind their readiness.
type balancer struct {
	lag  time.Duration
	next atomic.Uint64

	mu    sync.Mutex
	addrs []string
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addrs[b.next.Add(1)%uint64(len(b.addrs))]
}

func (b *balancer) set(addr string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rest []string
	for _, other := range b.addrs {
		if other != addr {
			rest = append(rest, other)
		}
	}
	if ready {
		rest = append(rest, addr)
	}
	b.addrs = rest
}

// follow checks an instance until it is gone.
func (b *balancer) follow(p *process) {
	ready := false
	for {
		resp, err := http.Get("http://" + p.operator + "/ready")
		now := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if now != ready {
			ready = now
			time.AfterFunc(b.lag, func() { b.set(p.caller, now) })
		}
		select {
		case <-p.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (b *balancer) knows(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, other := range b.addrs {
		if other == addr {
			return true
		}
	}
	return false
}

// process is a running redwingpoint.
type process struct {
	cmd              *exec.Cmd
	caller, operator string
	done             chan struct{}
}

// rolling is a fleet of processes under replacement.
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

	sent, failed [3]atomic.Int64
	// keys holds the idempotency keys that reached a target.
	keys sync.Map
	ran  atomic.Int64
}

func newRolling(t *testing.T) *rolling {
	t.Helper()
	p := plan()
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
		r.target(service)
	}
	r.platform.Objects.Write(store.ConfigKey, 0, []byte(testConfig), false)
	var err error
	if r.ca, err = keys.NewCA("vltava", time.Now(), time.Hour); err != nil {
		t.Fatal(err)
	}
	r.file("ca.pem", r.ca.Cert)
	return r
}

func (r *rolling) target(service model.ServiceName) {
	target := standin.NewTarget(string(service)+"-1", 64, time.Millisecond)
	upstream := httptest.NewServer(r.once(target))
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

// once fails the test if a target receives an idempotency key twice. Probes of
// health, which carry none, are not counted.
func (r *rolling) once(target http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if key := req.Header.Get("Idempotency-Key"); key != "" {
			r.ran.Add(1)
			now := fmt.Sprint(time.Now().Format("15:04:05.000"), " request ", req.Header.Get("Request-Id"), " from ", req.RemoteAddr)
			if first, seen := r.keys.LoadOrStore(key, now); seen {
				r.t.Errorf("key %s was received twice: %v, then %s", key, first, now)
			}
		}
		target.ServeHTTP(w, req)
	})
}

func (r *rolling) file(name string, raw []byte) string {
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

// launch starts the next instance and waits until the balancer uses it.
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
		r.file(string(id)+".pem", pair.Cert), r.file(string(id)+".key", pair.Key), r.url, r.plan.leaveLag)
	r.listed = append(r.listed, store.Instance{
		ID: id, Location: model.Location{Region: "praha", FailureDomain: model.FailureDomain(domain)},
		PeerAddr: ip + ":7946", State: store.InstanceLive,
	})
	r.platform.SetInstances(r.listed)
	p.cmd = exec.Command(filepath.Join(r.dir, "redwingpoint"), "serve", "--settings", r.file(string(id)+".yaml", []byte(text)))
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
	go r.balancer.follow(p)
	eventually(r.t, string(id)+" was not taken into use", func() bool { return r.balancer.knows(p.caller) })
	return p
}

// work sends requests of one class until the test stops it.
func (r *rolling) work(class model.Class, send func(addr string) error) {
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
		time.Sleep(pauses[class])
	}
}

// pauses are the pauses of one worker between two requests. The store counts
// each write of the ledger, so that print batches come more slowly.
var pauses = [...]time.Duration{
	model.Idempotent:    2 * time.Millisecond,
	model.NonIdempotent: 50 * time.Millisecond,
	model.Upload:        0,
}

func ran(text string) func() string { return func() string { return text } }

// exchange sends a request and checks that the answer holds what is wanted.
func exchange(client *http.Client, method, url, key string, body io.Reader, wanted func() string) error {
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(answer), wanted()) {
		return fmt.Errorf("%s: %d %s", url, resp.StatusCode, answer)
	}
	return nil
}

// slowBody yields chunks until a time has passed; sent counts the bytes.
type slowBody struct {
	until time.Time
	sent  atomic.Int64
}

const slowChunk = 4096

// wanted is the part of a whole answer that counts the bytes.
func (b *slowBody) wanted() string { return fmt.Sprintf("with %d bytes", b.sent.Load()) }

func (b *slowBody) Read(p []byte) (int, error) {
	if time.Now().After(b.until) {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Millisecond)
	n := min(len(p), slowChunk)
	b.sent.Add(int64(n))
	return n, nil
}

func (r *rolling) load() *sync.WaitGroup {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}
	r.t.Cleanup(client.CloseIdleConnections)
	var running sync.WaitGroup
	for range r.plan.workers {
		running.Go(func() {
			r.work(model.Idempotent, func(addr string) error {
				return exchange(client, http.MethodGet, "http://"+addr+"/nahled/letters/7", "", nil, ran("ran GET"))
			})
		})
		running.Go(func() {
			r.work(model.NonIdempotent, func(addr string) error {
				key := uuid.Must(uuid.NewV7()).String()
				return exchange(client, http.MethodPost, "http://"+addr+"/odeslani/batches", key, strings.NewReader("x"), ran("ran POST"))
			})
		})
	}
	for range 2 * r.plan.instances {
		running.Go(func() {
			r.work(model.Upload, func(addr string) error {
				body := &slowBody{until: time.Now().Add(r.plan.upload)}
				return exchange(client, http.MethodPut, "http://"+addr+"/prijem/lists/1", "", body, body.wanted)
			})
		})
	}
	return &running
}

// TestRollingReplacement replaces every instance of a fleet of separate
// processes under load of all classes: no request fails and no upload is cut.
func TestRollingReplacement(t *testing.T) {
	r := newRolling(t)
	var old []*process
	for range r.plan.instances {
		old = append(old, r.launch())
	}
	running := r.load()
	for _, p := range old {
		r.launch()
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-p.done
	}
	close(r.stop)
	running.Wait()
	for class := model.Idempotent; class <= model.Upload; class++ {
		t.Logf("%s: %d sent, %d failed", class, r.sent[class].Load(), r.failed[class].Load())
		if r.sent[class].Load() == 0 {
			t.Errorf("no %s request was sent", class)
		}
	}
	if ran := r.ran.Load(); ran != r.sent[model.NonIdempotent].Load() {
		t.Errorf("%d batches ran %d times", r.sent[model.NonIdempotent].Load(), ran)
	}
	t.Logf("replaced %d instances, each with uploads of %v in flight", len(old), r.plan.upload)
}
