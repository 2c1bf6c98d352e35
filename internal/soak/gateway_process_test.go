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

// gatewayProcess is one gateway with a fixed address, run by a sequence of processes.
// Its methods are safe for concurrent use.
type gatewayProcess struct {
	r     *gatewayRun
	index int
	ip    string
	// first is the loopback address of the fleet's first gateway, as an argument of
	// standin.LoopbackIP.
	first int
	store *proxy

	// restartMu allows one restart at a time.
	restartMu sync.Mutex
	mu        sync.Mutex
	// command is nil while no process runs.
	command *exec.Cmd
	// processCount is the number of processes started, newestRoutes the newest version of
	// the routes by which the current process has served.
	processCount atomic.Int64
	newestRoutes atomic.Int64
}

// settings returns the settings file with the given number of probes per second.
func (g *gatewayProcess) settings(probes int) string {
	// Gateways use only the hosts of seeds, so that any port will do.
	var seeds []string
	for i := range gatewayCount {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(standin.LoopbackIP(g.first+i), "1")))
	}
	return fmt.Sprintf(`instance: soak-%d
location: {region: praha, failureDomain: praha-a}
callers: "%[2]s:8080"
ready: "%[2]s:8081"
store: %[3]q
regions: {praha-a: praha, praha-b: praha, brno-a: brno}
peers: {listen: "%[2]s:8082", seeds: [%[4]s]}
probes: {perSecond: %[5]d}
grace: %[6]s
machine: {memoryMB: 92, descriptors: 512}
%[7]s`, g.index, g.ip, g.store.addr(), strings.Join(seeds, ","), probes, shutdownGrace, g.r.extraSettings)
}

// path returns the path of the settings file.
func (g *gatewayProcess) path() string {
	return filepath.Join(g.r.dir, fmt.Sprintf("%d.yaml", g.index))
}

// start writes the settings and starts a process. It reports errors to the test.
func (g *gatewayProcess) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := os.WriteFile(g.path(), []byte(g.settings(1000)), 0o600); err != nil {
		g.r.t.Error(err)
		return
	}
	g.processCount.Add(1)
	g.newestRoutes.Store(0)
	g.command = exec.Command(g.r.binary, "gateway", "--settings", g.path())
	g.command.Stdout = g.r.log(g.index)
	if err := g.command.Start(); err != nil {
		g.r.t.Error(err)
		g.command = nil
	}
}

// restart terminates the process with signal s and starts another after a pause.
func (g *gatewayProcess) restart(s os.Signal, pause time.Duration) {
	g.restartMu.Lock()
	defer g.restartMu.Unlock()
	g.terminate(s)
	time.Sleep(pause)
	g.start()
}

// log returns the file of a gateway's log, or nil without -logs.
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

// terminate sends s to the process, resumes it in case it is frozen, and waits for its
// end.
func (g *gatewayProcess) terminate(s os.Signal) {
	g.mu.Lock()
	command := g.command
	g.command = nil
	g.mu.Unlock()
	endProcess(command, s)
}

// endProcess sends s to a process, resumes it in case it is frozen, and waits for its end. It
// does nothing without a process.
func endProcess(command *exec.Cmd, s os.Signal) {
	if command == nil {
		return
	}
	_ = command.Process.Signal(s)
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Wait()
}

// kill ends the process with SIGKILL.
func (g *gatewayProcess) kill() { g.terminate(syscall.SIGKILL) }

// signal sends s to the process, if one runs.
func (g *gatewayProcess) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil {
		_ = g.command.Process.Signal(s)
	}
}

// reload rewrites the settings file and makes the process read it by SIGHUP.
func (g *gatewayProcess) reload(probes int) {
	if err := os.WriteFile(g.path(), []byte(g.settings(probes)), 0o600); err != nil {
		g.r.t.Error(err)
	}
	g.signal(syscall.SIGHUP)
}
