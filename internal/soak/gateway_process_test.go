package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"redwingpoint.org/redwingpoint/internal/standin"
)

// gatewayProcess is one machine, run by one process after another.
type gatewayProcess struct {
	r     *gatewayRun
	index int
	ip    string
	store *proxy

	// life lets one fault at a time end the process and start another.
	life sync.Mutex
	mu   sync.Mutex
	// command is nil between two processes.
	command *exec.Cmd
	// boot counts processes, seen is the newest version of the routes that the
	// present one has shown.
	boot atomic.Int64
	seen atomic.Int64
}

func (g *gatewayProcess) settings(probes int) string {
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(standin.LoopbackIP(firstGatewayIP+i), "1")))
	}
	return fmt.Sprintf(`instance: soak-%d
location: {region: praha, failureDomain: praha-a}
callers: "%[2]s:8080"
ready: "%[2]s:8081"
store: %[3]q
regions: {praha-a: praha}
peers: {listen: "%[2]s:8082", seeds: [%[4]s]}
probes: {perSecond: %[5]d}
grace: %[6]s
`, g.index, g.ip, g.store.addr(), strings.Join(seeds, ","), probes, soakGrace)
}

func (g *gatewayProcess) path() string {
	return filepath.Join(g.r.dir, fmt.Sprintf("%d.yaml", g.index))
}

func (g *gatewayProcess) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := os.WriteFile(g.path(), []byte(g.settings(1000)), 0o600); err != nil {
		g.r.t.Error(err)
		return
	}
	g.boot.Add(1)
	g.seen.Store(0)
	g.command = exec.Command(g.r.binary, "gateway", "--settings", g.path())
	g.command.Stdout = g.r.log(g.index)
	if err := g.command.Start(); err != nil {
		g.r.t.Error(err)
		g.command = nil
	}
}

// restart ends the process by a signal and starts another after a pause.
func (g *gatewayProcess) restart(s os.Signal, pause time.Duration) {
	g.life.Lock()
	defer g.life.Unlock()
	g.end(s)
	time.Sleep(pause)
	g.start()
}

// log returns where a gateway's log goes, nil without -logs.
func (r *gatewayRun) log(index int) io.Writer {
	if *logs == "" {
		return nil
	}
	name := strings.ReplaceAll(r.t.Name(), "/", "-") + fmt.Sprintf("-%d.log", index)
	file, err := os.OpenFile(filepath.Join(*logs, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.t.Error(err)
		return nil
	}
	r.t.Cleanup(func() { _ = file.Close() })
	return file
}

// end signals the process and waits for its end.
func (g *gatewayProcess) end(s os.Signal) {
	g.mu.Lock()
	command := g.command
	g.command = nil
	g.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(s)
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Wait()
}

func (g *gatewayProcess) kill() { g.end(syscall.SIGKILL) }

func (g *gatewayProcess) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(s)
	}
}

// reload changes the settings file and says so.
func (g *gatewayProcess) reload(probes int) {
	if err := os.WriteFile(g.path(), []byte(g.settings(probes)), 0o600); err != nil {
		g.r.t.Error(err)
	}
	g.signal(syscall.SIGHUP)
}
