//go:build review3

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of a small deployment.
const (
	grace        = 6 * time.Second
	contact      = 3 * time.Second
	drain        = 2 * time.Second
	gatewayCount = 3
	// startWait is how long the gateways may take to be ready.
	startWait = 15 * time.Second
)

// world holds what a case plays. Its methods are safe for concurrent use.
type world struct {
	dir       string
	trouble   bool
	startedAt time.Time
	store     *store
	gateways  []*gateway
	requests  atomic.Uint64

	mu     sync.Mutex
	record io.Writer
	ends   []func()
}

func newWorld(dir string, record io.Writer, trouble bool) *world {
	w := &world{dir: dir, record: record, trouble: trouble, startedAt: time.Now()}
	w.note("times are in seconds since the start; trouble: %v", trouble)
	return w
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// onClose calls f at the end of the case.
func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, f)
}

// close ends all processes and listeners.
func (w *world) close() {
	for i := len(w.ends) - 1; i >= 0; i-- {
		w.ends[i]()
	}
}

// newID returns a request ID that wasn't used before.
func (w *world) newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+w.requests.Add(1)) }

// gateway is one gateway process.
type gateway struct {
	index          int
	callers, ready string
	command        *exec.Cmd
	ended          chan struct{}
	// settings is the path of the settings file, and render returns its content with the
	// machines listed as seeds.
	settings string
	render   func(seeds []int) string
}

// fleet describes the gateways to start.
type fleet struct {
	// zones are those of the gateways.
	zones []string
	// seeds returns the indexes of the machines that the settings of a gateway list as seeds.
	seeds func(gateway int) []int
	// contact and drain are the bounds of these names.
	contact, drain time.Duration
	// more holds further settings, as the template renders them.
	more string
}

// startGateways starts three gateways and waits until all are ready.
func (w *world) startGateways() error {
	return w.startFleet(fleet{
		zones: []string{"praha-a", "praha-b", "brno-a"}, seeds: func(int) []int { return []int{0, 1, 2} },
		contact: contact, drain: drain,
	})
}

// startFleet starts gateways and waits until all are ready.
func (w *world) startFleet(f fleet) error {
	port, err := freePort(len(f.zones))
	if err != nil {
		return err
	}
	host := func(i int) string { return fmt.Sprintf("127.0.31.%d", 11+i) }
	for i, zone := range f.zones {
		own, region := host(i), strings.SplitN(zone, "-", 2)[0]
		g := &gateway{index: i, callers: fmt.Sprintf("%s:%d", own, port), ready: fmt.Sprintf("%s:%d", own, port+1)}
		g.settings = filepath.Join(w.dir, fmt.Sprintf("gateway-%d.yaml", i))
		g.render = func(seeds []int) string {
			var list []string
			for _, s := range seeds {
				list = append(list, fmt.Sprintf("%q", net.JoinHostPort(host(s), fmt.Sprint(port+3))))
			}
			return fmt.Sprintf(`instance: "front-%s-%d"
location: { region: %q, failureDomain: %q }
callers: %q
ready: %q
metrics: "%s:%d"
store: %q
regions: {"praha-a":"praha","praha-b":"praha","brno-a":"brno"}
peers: { listen: "%s:%d", seeds: [%s] }
resend: { share: 0.2 }
probes: { perTarget: 60 }
grace: %s
settle: %dms
drain: %dms
%smachine: { memoryMB: 284, descriptors: 4100 }
`, zone, i+1, region, zone, g.callers, g.ready, own, port+4, w.store.addr, own, port+2, strings.Join(list, ","), grace, f.contact.Milliseconds(), f.drain.Milliseconds(), f.more)
		}
		if err := w.startProcess(g, f.seeds(i)); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return w.awaitReady()
}

// startProcess writes the settings of a gateway and starts its process with the command of the
// deploy file.
func (w *world) startProcess(g *gateway, seeds []int) error {
	if err := os.WriteFile(g.settings, []byte(g.render(seeds)), 0o600); err != nil {
		return err
	}
	name := strings.TrimSuffix(g.settings, ".yaml") + ".log"
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		name = filepath.Join(kept, fmt.Sprintf("gateway-%d.log", g.index))
	}
	log, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.command = exec.Command("target/redwingpoint", "gateway")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "REDWINGPOINT_SETTINGS=" + g.settings, "GOGC=50", "GOMAXPROCS=1"}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	command, ended := g.command, make(chan struct{})
	g.ended = ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	w.onClose(func() {
		_ = command.Process.Kill()
		<-ended
	})
	return nil
}

// restart stops a gateway with SIGTERM and starts it again with settings that list the given
// machines as seeds.
func (w *world) restart(g *gateway, seeds []int) error {
	w.note("gateway %d gets SIGTERM", g.index)
	if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-g.ended:
	case <-time.After(grace):
		_ = g.command.Process.Kill()
		<-g.ended
	}
	w.note("gateway %d starts again, its settings list the machines %v as seeds", g.index, seeds)
	if err := w.startProcess(g, seeds); err != nil {
		return err
	}
	return w.awaitReady()
}

// awaitReady waits until all gateways say that they are ready.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(startWait)
	for _, g := range w.gateways {
		for {
			resp, err := client.Get("http://" + g.ready + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %d isn't ready", g.index)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.note("all gateways are ready")
	return nil
}

// running reports whether all gateways still run.
func (w *world) running() error {
	for _, g := range w.gateways {
		select {
		case <-g.ended:
			return fmt.Errorf("gateway %d has ended", g.index)
		default:
		}
	}
	return nil
}

// freePort returns the first of five ports that are free on the addresses of so many gateways.
func freePort(gateways int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.31.11:0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if port < 60000 && portsFree(port, gateways) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func portsFree(first, gateways int) bool {
	for i := range gateways {
		for p := first; p < first+5; p++ {
			addr := fmt.Sprintf("127.0.31.%d:%d", 11+i, p)
			l, err := net.Listen("tcp", addr)
			if err != nil {
				return false
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", addr)
			if err != nil {
				return false
			}
			_ = u.Close()
		}
	}
	return true
}

// answer is what a consumer got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if there was no complete answer.
	err error
}

// signed reports whether the answer bears a target's signature.
func (a *answer) signed() bool { return a.header.Get("X-Server-Signature") != "" }

// consumer sends requests over kept connections.
type consumer struct {
	world  *world
	client *http.Client
	// key is the API key, if there is one.
	key string
}

func (w *world) newConsumer() *consumer {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}
	w.onClose(t.CloseIdleConnections)
	return &consumer{world: w, client: &http.Client{Transport: t}}
}

// send sends one request and reads its whole answer. The time budget is in the request.
func (c *consumer) send(g *gateway, method, host, path, id string, body []byte, budget time.Duration) answer {
	return c.sendContext(context.Background(), g, method, host, path, id, body, budget)
}

// sendContext is like send for a consumer that closes its connection when ctx ends.
func (c *consumer) sendContext(ctx context.Context, g *gateway, method, host, path, id string, body []byte, budget time.Duration) answer {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, reader)
	if err != nil {
		return answer{err: err}
	}
	// A request that may not run twice is never sent again by this client either.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}
