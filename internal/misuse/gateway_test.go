package misuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
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
	// memoryMB is half of the memory of the smallest machine, in megabytes (10^6 bytes), and
	// descriptors an eighth of its descriptors. Both are in the settings of the gateway, and
	// are the bounds of each test.
	memoryMB    = 92
	descriptors = 512
	// loopback is the gateway's loopback address, as an argument of standin.LoopbackIP.
	loopback = 190
	// bodyLimit is the largest body in bytes that the routes allow.
	bodyLimit = 1 << 20
	// headLimit is the largest head in bytes that the routes allow.
	headLimit = 16 << 10
	// ruleTimeout is longer than any of the tests holds a crowd, so that no timeout of a
	// request ends it.
	ruleTimeout = 2 * time.Minute
	// hangTimeout is the time after which a gateway counts as hanging.
	hangTimeout = time.Minute
	// largeAnswer is the size in bytes of the answers at paths below /large/.
	largeAnswer = 60_000
	// hugeAnswer is the size in bytes of the answers at paths below /huge/.
	hugeAnswer = 8 << 20

	unsafeHost = "once.example"
	safeHost   = "safe.example"
	// endlessHost and endlessSafeHost have routes to a service without targets, until
	// startEndlessTarget.
	endlessHost     = "endless.example"
	endlessSafeHost = "endless-safe.example"
)

// gateway is a gateway's process with a store and one target. Callers reach it at callers,
// readiness checks at ready, scrapes of metrics at metrics, and peers at peers.
type gateway struct {
	t                              *testing.T
	callers, ready, metrics, peers string
	command                        *exec.Cmd
	exited                         chan struct{}
	log                            string
	store                          *platformtest.Store
	nextID                         atomic.Int64
	// mostDescriptors is the largest number of open descriptors that was seen.
	mostDescriptors atomic.Int64
	// crowd holds the connections of the crowd, which are closed by endCrowd.
	mu    sync.Mutex
	crowd []net.Conn
}

// binary is the path of the gateway's program, which TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "misuse")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "redwingpoint")
	// The program is built without the race detector, whose memory would count.
	out, err := exec.Command("go", "build", "-o", binary, "redwingpoint.org/redwingpoint/cmd/redwingpoint").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// startGateway starts a gateway and waits until it serves. The process may open maxFiles
// descriptors; zero leaves the limit as it is.
func startGateway(t *testing.T, maxFiles int) *gateway {
	t.Helper()
	store := platformtest.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	target := &platformtest.Target{ID: "target", Slots: 10_000}
	release := make(chan struct{})
	targetServer := httptest.NewServer(withAnswers(target, release))
	t.Cleanup(targetServer.Close)
	t.Cleanup(func() { close(release) })
	target.Address = targetServer.Listener.Addr().String()
	store.Put(platform.TargetsKind, target.ID, target.Registration("service", "ready"))
	rule := func(name, host, service string, idempotent bool) platformtest.Rule {
		return platformtest.Rule{Name: name, Host: host, Prefix: "/", Idempotent: idempotent, Service: service, Objective: time.Second, Timeout: ruleTimeout, MaxAttempts: 2}
	}
	document := platformtest.Routes(1, []string{"service", "endless"}, rule("once", unsafeHost, "service", false), rule("safe", safeHost, "service", true),
		rule("endless-once", endlessHost, "endless", false), rule("endless-safe", endlessSafeHost, "endless", true))
	store.Put(platform.RoutesKind, "main", platformtest.WithLimits(document, platformtest.Limits{HeaderBytes: headLimit, BodyBytes: bodyLimit, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}))

	ip := standin.LoopbackIP(loopback)
	g := &gateway{t: t, store: store, callers: ip + ":8080", ready: ip + ":8081", metrics: ip + ":8083", peers: ip + ":8082", exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	settings := fmt.Sprintf(`instance: misuse
location: {region: praha, failureDomain: praha-a}
callers: %q
ready: %q
metrics: %q
store: %q
regions: {praha-a: praha}
peers: {listen: %q}
probes: {perSecond: 1000}
machine: {memoryMB: %d, descriptors: %d}
`, g.callers, g.ready, g.metrics, storeServer.Listener.Addr().String(), g.peers, memoryMB, descriptors)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(g.log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	script := `exec "$@"`
	if maxFiles > 0 {
		script = fmt.Sprintf("ulimit -n %d && %s", maxFiles, script)
	}
	g.command = exec.Command("sh", "-c", script, "sh", binary, "gateway", "--settings", path)
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = g.command.Wait()
		close(g.exited)
	}()
	t.Cleanup(func() {
		g.endCrowd()
		_ = g.command.Process.Signal(syscall.SIGKILL)
		<-g.exited
	})
	g.serveOrdinary()
	go g.countDescriptors()
	return g
}

// withAnswers returns a handler that responds as target, but with largeAnswer bytes to paths
// below /large/, with hugeAnswer bytes below /huge/, and below /held/ when release is closed.
func withAnswers(target *platformtest.Target, release <-chan struct{}) http.Handler {
	protocol := platform.Protocol()
	sizes := map[string]int{"large": largeAnswer, "huge": hugeAnswer}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		if kind == "held" {
			_, _ = io.Copy(io.Discard, r.Body)
			<-release
		}
		if sizes[kind] == 0 {
			target.ServeHTTP(w, r)
			return
		}
		w.Header().Set(protocol.TargetID, target.ID)
		w.Header().Set(protocol.RequestID, r.Header.Get(protocol.RequestID))
		w.Header().Set(protocol.Signature, platformtest.Signature(target.ID))
		_, _ = w.Write(make([]byte, sizes[kind]))
	})
}

// head returns a request line and the fields of a head without the empty line at its end.
func (g *gateway) head(method, host, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: crowd-%d\r\n%s: %d\r\n", method, path, host,
		platform.Protocol().RequestID, g.nextID.Add(1), platform.Protocol().Deadline, ruleTimeout.Milliseconds())
}

// serveOrdinary sends ordinary requests, each on a connection of its own, until one is
// answered with success. It fails the test if none is or the process has ended.
func (g *gateway) serveOrdinary() {
	g.t.Helper()
	var last error
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-g.exited:
			log, _ := os.ReadFile(g.log)
			g.t.Fatalf("the process has ended; end of its log:\n%s", log[max(0, len(log)-4000):])
		default:
		}
		if last = g.ordinary(); last == nil {
			return
		}
	}
	g.t.Fatalf("no ordinary request is answered: %v", last)
}

// ordinary sends one ordinary request and returns why it was not answered with success, or
// nil.
func (g *gateway) ordinary() error {
	c, err := net.DialTimeout("tcp", g.callers, 5*time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, g.head("GET", safeHost, "/ordinary")+"\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || !strings.Contains(string(body), "/ordinary")) {
		err = fmt.Errorf("status %d, %q", response.StatusCode, body)
	}
	return err
}

// join opens a connection of the crowd to addr and starts to send the text in pieces of the
// given size, zero for one piece. The connection stays open. The returned channel is closed
// when all was sent or can't be.
func (g *gateway) join(addr, text string, piece int) <-chan struct{} {
	done := make(chan struct{})
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		// A full gateway may refuse the connection.
		close(done)
		return done
	}
	g.mu.Lock()
	g.crowd = append(g.crowd, c)
	g.mu.Unlock()
	go func() {
		defer close(done)
		if piece == 0 {
			piece = max(1, len(text))
		}
		_ = c.SetWriteDeadline(time.Now().Add(hangTimeout / 4))
		for rest := text; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			if _, err := io.WriteString(c, rest[:min(piece, len(rest))]); err != nil {
				return
			}
		}
	}()
	return done
}

// joinAll opens n connections and waits until each has sent its text or can't.
func (g *gateway) joinAll(n int, addr string, piece int, text func() string) {
	var sending []<-chan struct{}
	for range n {
		sending = append(sending, g.join(addr, text(), piece))
	}
	for _, done := range sending {
		<-done
	}
}

// endCrowd closes the connections of the crowd.
func (g *gateway) endCrowd() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.crowd {
		_ = c.Close()
	}
	g.crowd = nil
}

// check fails the test unless the process lives within its bounds and serves, while the
// crowd is there and when it is gone.
func (g *gateway) check() {
	g.t.Helper()
	g.awaitSteady()
	g.serveOrdinary()
	g.endCrowd()
	g.serveOrdinary()
	if peak := g.peakMemory(); peak > memoryMB*1_000_000 {
		g.t.Errorf("%.1f MB of resident memory at the most, the machine has %d", float64(peak)/1e6, memoryMB)
	}
	if n := g.mostDescriptors.Load(); n > descriptors {
		g.t.Errorf("%d descriptors at the most, the machine has %d", n, descriptors)
	}
	g.t.Logf("at the most %.1f MB and %d descriptors", float64(g.peakMemory())/1e6, g.mostDescriptors.Load())
}

// awaitSteady waits until the resident memory and the descriptors have stopped to rise.
func (g *gateway) awaitSteady() {
	peak, files, steady := int64(0), int64(0), 0
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		now, nowFiles := g.peakMemory(), g.mostDescriptors.Load()
		if steady++; now > peak || nowFiles > files {
			peak, files, steady = now, nowFiles, 0
		}
		if steady == 10 {
			return
		}
	}
}

// peakMemory returns the largest resident memory that the process had, in bytes, or 0 if it
// has ended.
func (g *gateway) peakMemory() int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kB, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kB << 10
		}
	}
	return 0
}

// countDescriptors updates mostDescriptors until the process has ended.
func (g *gateway) countDescriptors() {
	for {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.command.Process.Pid))
		if n := int64(len(entries)); n > g.mostDescriptors.Load() {
			g.mostDescriptors.Store(n)
		}
		select {
		case <-g.exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
