package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// Loopback addresses are arguments of standin.LoopbackIP.
const (
	// platformLoopback is the address of the fake platform.
	platformLoopback = 60
	// instanceLoopback is the address of the instance.
	instanceLoopback = 61
	// firstTargetLoopback is the address of the first target; the others follow.
	firstTargetLoopback = 62
	// targetCount is the number of targets that listen.
	targetCount = 10
)

const (
	// operatorToken is the token of the operator listener.
	operatorToken = "bench"
	// readyTimeout is the time that an instance has to become ready.
	readyTimeout = 20 * time.Second
	// responseBytes is the size of the response body of a target.
	responseBytes = 512
)

// location is the location of the instance and of all targets.
var location = model.Location{Region: "praha", FailureDomain: "praha-a"}

// startTargets serves targets that respond immediately, and returns their addresses.
func startTargets() ([]string, error) {
	body := make([]byte, responseBytes)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderInFlight, "1")
		_, _ = w.Write(body)
	})
	var addrs []string
	for i := range targetCount {
		addr, err := serve(net.JoinHostPort(standin.LoopbackIP(firstTargetLoopback+i), "8000"), handler)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// serve serves handler in the background and returns its address.
func serve(addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// serviceName returns the name of the i-th service.
func serviceName(i int) string { return "s" + strconv.Itoa(i) }

// instanceProcess is the instance under test, run as a separate process.
type instanceProcess struct {
	// caller and operator are the addresses of the listeners, as host:port.
	caller, operator string
	process          *exec.Cmd
	// dir is the temporary directory of the settings file.
	dir string
}

// startInstance starts an instance for the services of a topology and returns it when it
// is ready. The process ends with ctx at the latest.
func startInstance(ctx context.Context, binary string, t topology, targets []string) (*instanceProcess, error) {
	platform := standin.NewPlatform()
	if err := populateStore(platform, t, targets); err != nil {
		return nil, err
	}
	addr, err := serve(net.JoinHostPort(standin.LoopbackIP(platformLoopback), "0"), platform.Handler())
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, eris.Wrap(err, "make directory")
	}
	ip := standin.LoopbackIP(instanceLoopback)
	p := &instanceProcess{caller: ip + ":8080", operator: ip + ":9090", dir: dir}
	settings := filepath.Join(dir, "settings.yaml")
	text := fmt.Sprintf("instance: bench-1\nlocation: {region: praha, failureDomain: praha-a}\n"+
		"caller: {listen: %q}\noperator: {listen: %q, token: %s}\nplatform: {url: %q}\n",
		p.caller, p.operator, operatorToken, "http://"+addr)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	p.process = exec.CommandContext(ctx, binary, "serve", "--settings", settings)
	if err := p.process.Start(); err != nil {
		return nil, eris.Wrap(err, "start instance")
	}
	if err := p.waitReady(); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

// populateStore writes the configuration and the targets of a topology to the store. The
// targets share the given addresses and have no limit of slots.
func populateStore(platform *standin.Platform, t topology, targets []string) error {
	services := make([]string, t.services)
	for i := range t.services {
		name := serviceName(i)
		list := make([]model.Target, t.targets)
		for k := range list {
			list[k] = model.Target{
				ID:       model.TargetID(fmt.Sprintf("%s-%d", name, k)),
				Service:  model.ServiceName(name),
				Addr:     netip.MustParseAddrPort(targets[k%len(targets)]),
				Location: location,
			}
		}
		raw, err := json.Marshal(list)
		if err != nil {
			return eris.Wrap(err, "encode targets")
		}
		platform.Objects.Write(store.TargetsPrefix+name, 0, raw, false)
		services[i] = fmt.Sprintf("%q:{\"class\":\"idempotent\"}", name)
	}
	document := `{"revision":1,"defaults":{"deadline":"2s"},"services":{` + strings.Join(services, ",") + `}}`
	platform.Objects.Write(store.ConfigKey, 0, []byte(document), false)
	return nil
}

// waitReady returns nil when the instance is ready, or an error after readyTimeout.
func (p *instanceProcess) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + p.operator + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return eris.New("instance is not ready")
}

// stop kills the process, waits for its end and removes its directory.
func (p *instanceProcess) stop() {
	_ = p.process.Process.Kill()
	_ = p.process.Wait()
	_ = os.RemoveAll(p.dir)
}

// usage is the resource use of a process since its start.
type usage struct {
	// cpu is CPU time in seconds.
	cpu float64
	// mallocs is the number of heap allocations.
	mallocs float64
}

// usage returns the resource use that the instance reports in its metrics.
func (p *instanceProcess) usage() (usage, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.operator+"/metrics", nil)
	if err != nil {
		return usage{}, eris.Wrap(err, "request metrics")
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return usage{}, eris.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	var u usage
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		switch name {
		case "process_cpu_seconds_total":
			u.cpu, _ = strconv.ParseFloat(value, 64)
		case "go_memstats_mallocs_total":
			u.mallocs, _ = strconv.ParseFloat(value, 64)
		}
	}
	return u, nil
}
