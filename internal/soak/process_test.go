package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// instance is one member of the fleet with a fixed address. Each start runs a new
// process with a new instance ID. Its methods are safe for concurrent use.
type instance struct {
	t        *testing.T
	binary   string
	dir      string
	platform string
	ip       string
	number   int
	// fleet is nil for an instance without peers.
	fleet *fleet

	mu sync.Mutex
	// command is nil while no process runs.
	command *exec.Cmd
	starts  int
}

// url returns the base URL of the callers' listener.
func (i *instance) url() string { return "http://" + i.ip + ":8080" }

// start runs a process with an instance ID that was not used before. It reports errors
// to the test.
func (i *instance) start() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.starts++
	path := filepath.Join(i.dir, fmt.Sprintf("%d.yaml", i.number))
	id := model.InstanceID(fmt.Sprintf("soak-%d-%d", i.number, i.starts))
	text := fmt.Sprintf(`instance: %s
location: {region: praha, failureDomain: praha-a}
caller: {listen: "%s:8080"}
operator: {listen: "%s:9090", token: soak}
platform: {url: "%s"}
`, id, i.ip, i.ip, i.platform)
	if i.fleet != nil {
		text += i.fleet.register(i, id)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		i.t.Error(err)
		return
	}
	i.command = exec.Command(i.binary, "serve", "--settings", path)
	if err := i.command.Start(); err != nil {
		i.t.Error(err)
		i.command = nil
	}
}

// kill ends the process with SIGKILL, which also ends a frozen one, and waits for it.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return
	}
	_ = i.command.Process.Kill()
	_ = i.command.Wait()
	i.command = nil
}

// freeze stops the process for d and resumes it.
func (i *instance) freeze(d time.Duration) {
	i.signal(syscall.SIGSTOP)
	time.Sleep(d)
	i.signal(syscall.SIGCONT)
}

// signal sends s to the process, if one runs.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		_ = i.command.Process.Signal(s)
	}
}

// waitReady returns when the instance reports that it is ready, or when the test ends.
func (i *instance) waitReady() {
	for i.t.Context().Err() == nil {
		resp, err := http.Get("http://" + i.ip + ":9090/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
