//go:build review2

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	// troubled is set unless TROUBLE=0.
	troubled bool
	began    time.Time
	dir      string

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	closers  []func()
	closed   bool
}

func newPlay(recordPath string) (*play, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	return &play{troubled: os.Getenv("TROUBLE") != "0", began: time.Now(), dir: dir, record: record}, nil
}

// note writes a line to the record, with the seconds since the start.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	_, _ = fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// onClose registers a function that close calls.
func (p *play) onClose(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closers = append(p.closers, f)
}

// close ends all processes of the play and removes its folder.
func (p *play) close() {
	p.mu.Lock()
	gateways, closers, closed := p.gateways, p.closers, p.closed
	p.mu.Unlock()
	if closed {
		return
	}
	for _, g := range gateways {
		g.kill()
	}
	for _, f := range closers {
		f()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.record.Close()
	_ = os.RemoveAll(p.dir)
}

// listen returns a listener on a free port of a loopback address.
func listen(ip string) (net.Listener, error) { return net.Listen("tcp", net.JoinHostPort(ip, "0")) }

// freePort returns a port that is free for TCP and UDP at a loopback address.
func freePort(ip string) (int, error) {
	for range 50 {
		l, err := listen(ip)
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port at %s", ip)
}

// gateway is one process of the project.
type gateway struct {
	name, callers, ready string
	settings, log        string
	command              *exec.Cmd
	exited               chan struct{}
}

// gatewayOptions are the settings in which gateways differ.
type gatewayOptions struct {
	name, region, zone, ip string
	store                  string
	peerPort               int
	seeds                  []string
	// extra holds further lines of the settings.
	extra string
}

// startGateway starts a gateway with the command and the template of the deploy file, filled in
// as for a machine of the small deployment vltava-merge.
func (p *play) startGateway(o gatewayOptions) (*gateway, error) {
	g := &gateway{name: o.name, exited: make(chan struct{})}
	for _, addr := range []*string{&g.callers, &g.ready} {
		port, err := freePort(o.ip)
		if err != nil {
			return nil, err
		}
		*addr = fmt.Sprintf("%s:%d", o.ip, port)
	}
	quoted := make([]string, 0, len(o.seeds))
	for _, s := range o.seeds {
		quoted = append(quoted, fmt.Sprintf("%q", s))
	}
	text := fmt.Sprintf(`instance: %q
location: { region: %q, failureDomain: %q }
callers: %q
ready: %q
store: %q
regions: {"praha-a":"praha","brno-a":"brno","ostrava-a":"ostrava","praha-b":"praha","brno-b":"brno","ostrava-b":"ostrava"}
peers: { listen: "%s:%d", seeds: [%s] }
resend: { share: 0.2 }
probes: { perTarget: 60 }
grace: 6s
settle: 3000ms
drain: 2000ms
%smachine: { memoryMB: 284, descriptors: 4100 }
`, o.name, o.region, o.zone, g.callers, g.ready, o.store, o.ip, o.peerPort, strings.Join(quoted, ","), o.extra)
	g.settings, g.log = filepath.Join(p.dir, o.name+".yaml"), filepath.Join(p.dir, o.name+".log")
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.gateways = append(p.gateways, g)
	p.mu.Unlock()
	p.note("%s started: callers %s, ready %s", g.name, g.callers, g.ready)
	return g, nil
}

func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.exited = make(chan struct{})
	exited := g.exited
	g.command = exec.Command("target/redwingpoint", "gateway")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"REDWINGPOINT_SETTINGS=" + g.settings, "GOGC=50", "GOMAXPROCS=1"}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	go func(c *exec.Cmd) {
		_ = c.Wait()
		close(exited)
	}(g.command)
	return nil
}

// kill ends the process at once and waits for its end.
func (g *gateway) kill() {
	_ = g.command.Process.Signal(syscall.SIGKILL)
	<-g.exited
}

// hasExited reports whether the process has ended.
func (g *gateway) hasExited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}
