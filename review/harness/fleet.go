package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the delay after which the stand-in of the platform starts a process again
// that has ended.
const restartDelay = 500 * time.Millisecond

// bounds are the figures of the terms that a settings file gets.
type bounds struct {
	grace, settle, drain time.Duration
}

// small are the bounds of the small deployments in ../given/kit/more/system/sites.
var small = bounds{grace: 6 * time.Second, settle: 3 * time.Second, drain: 2 * time.Second}

// fleet is a few gateway processes with the settings of a small deployment.
type fleet struct {
	record   *record
	dir      string
	gateways []*gateway
}

// gateway is one gateway process, which is started again when it ends.
type gateway struct {
	name, ip                   string
	front, ready, settingsPath string
	record                     *record
	dir                        string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	starts  int
	// ends is how often the process ended by itself; panics holds the first lines of what it
	// wrote to standard error then.
	ends   int
	panics []string
	done   chan struct{}
}

// startFleet starts n gateways at loopback addresses of their own. The zones are those of
// the vltava-merge site.
func startFleet(rec *record, dir string, n int, b bounds, storeAddr string) (*fleet, error) {
	f := &fleet{record: rec, dir: dir}
	f.stopOnSignal()
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	zones := []string{"praha-a", "brno-a", "ostrava-a"}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.0.0.%d:%d", 11+i, ports[2])))
	}
	for i := range n {
		zone := zones[i%len(zones)]
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), ip: fmt.Sprintf("127.0.0.%d", 11+i), record: rec, dir: dir, done: make(chan struct{})}
		g.front, g.ready = fmt.Sprintf("%s:%d", g.ip, ports[0]), fmt.Sprintf("%s:%d", g.ip, ports[1])
		g.settingsPath = filepath.Join(dir, g.name+".yaml")
		text := fmt.Sprintf(`instance: %q
location: { region: %q, failureDomain: %q }
callers: %q
ready: %q
metrics: "%s:%d"
store: %q
regions: {"praha-a":"praha","brno-a":"brno","ostrava-a":"ostrava"}
peers: { listen: "%s:%d", seeds: [%s] }
resend: { share: 0.2 }
grace: %s
settle: %dms
drain: %dms
`, g.name, strings.SplitN(zone, "-", 2)[0], zone, g.front, g.ready, g.ip, ports[3], storeAddr, g.ip, ports[2], strings.Join(seeds, ","),
			b.grace, b.settle.Milliseconds(), b.drain.Milliseconds())
		if err := os.WriteFile(g.settingsPath, []byte(text), 0o600); err != nil {
			return nil, err
		}
		f.gateways = append(f.gateways, g)
	}
	for _, g := range f.gateways {
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePorts returns ports that are free for TCP at 127.0.0.11 and for UDP.
func freePorts(n int) (ports []int, err error) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.11:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// start runs the command of deploy/system.toml.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	stderr := new(bytes.Buffer)
	cmd := exec.Command("target/redwingpoint", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C",
		"REDWINGPOINT_SETTINGS=" + g.settingsPath, "GOGC=50", "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = out, stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd = cmd
	g.starts++
	g.record.add("machine %s: process %d started", g.name, cmd.Process.Pid)
	go g.await(cmd, stderr)
	return nil
}

// await waits for the end of the process and starts it again.
func (g *gateway) await(cmd *exec.Cmd, stderr *bytes.Buffer) {
	err := cmd.Wait()
	g.mu.Lock()
	stopped := g.stopped
	if !stopped {
		g.ends++
		first := firstLines(stderr.String(), 12)
		g.panics = append(g.panics, first)
		g.record.add("machine %s: process %d ended by itself: %v\n%s", g.name, cmd.Process.Pid, err, first)
	}
	g.mu.Unlock()
	if stopped {
		close(g.done)
		return
	}
	time.Sleep(restartDelay)
	if err := g.start(); err != nil {
		g.record.add("machine %s: not started: %v", g.name, err)
	}
}

func firstLines(s string, n int) string {
	lines := strings.SplitAfterN(s, "\n", n+1)
	return strings.Join(lines[:min(n, len(lines))], "")
}

// awaitReady waits until every gateway is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, g := range f.gateways {
		for !g.isReady() {
			select {
			case <-ctx.Done():
				return errors.New(g.name + " doesn't get ready")
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (g *gateway) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.add("machine %s: %v sent to process %d", g.name, s, g.cmd.Process.Pid)
	_ = g.cmd.Process.Signal(s)
}

// stopOnSignal ends all processes when the harness itself is to end.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stop()
		f.record.close()
		os.Exit(2)
	}()
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		g.mu.Lock()
		g.stopped = true
		if g.cmd != nil {
			_ = g.cmd.Process.Kill()
		}
		g.mu.Unlock()
	}
	for _, g := range f.gateways {
		select {
		case <-g.done:
		case <-time.After(3 * time.Second):
		}
	}
}
