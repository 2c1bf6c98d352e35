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

// Loopback addresses of this program.
const (
	platformIP  = 60
	entryIP     = 61
	firstTarget = 62
	targetIPs   = 10
)

const (
	operatorToken = "bench"
	readyTimeout  = 20 * time.Second
	answerBytes   = 512
)

var praha = model.Location{Region: "praha", FailureDomain: "praha-a"}

// startTargets serves targets that answer at once.
func startTargets() ([]string, error) {
	body := make([]byte, answerBytes)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderInFlight, "1")
		_, _ = w.Write(body)
	})
	var addrs []string
	for i := range targetIPs {
		addr, err := serve(net.JoinHostPort(standin.LoopbackIP(firstTarget+i), "8000"), handler)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

func serve(addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

func serviceName(i int) string { return "s" + strconv.Itoa(i) }

// entry is the process under test: the real binary, started by this tool alone.
type entry struct {
	caller, operator string
	process          *exec.Cmd
	dir              string
}

// startEntry runs an entry instance that knows the services of a shape.
func startEntry(ctx context.Context, binary string, s shape, targets []string) (*entry, error) {
	store := standin.NewPlatform()
	if err := fill(store, s, targets); err != nil {
		return nil, err
	}
	addr, err := serve(net.JoinHostPort(standin.LoopbackIP(platformIP), "0"), store.Handler())
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, eris.Wrap(err, "make directory")
	}
	ip := standin.LoopbackIP(entryIP)
	e := &entry{caller: ip + ":8080", operator: ip + ":9090", dir: dir}
	settings := filepath.Join(dir, "settings.yaml")
	text := fmt.Sprintf("instance: bench-1\nlocation: {region: praha, failureDomain: praha-a}\n"+
		"caller: {listen: %q}\noperator: {listen: %q, token: %s}\nplatform: {url: %q}\n",
		e.caller, e.operator, operatorToken, "http://"+addr)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	e.process = exec.CommandContext(ctx, binary, "serve", "--settings", settings)
	if err := e.process.Start(); err != nil {
		return nil, eris.Wrap(err, "start entry")
	}
	if err := e.waitReady(); err != nil {
		e.stop()
		return nil, err
	}
	return e, nil
}

// fill lists targets that share a few addresses, without a bound on slots.
func fill(objects *standin.Platform, s shape, targets []string) error {
	services := make([]string, s.services)
	for i := range s.services {
		name := serviceName(i)
		list := make([]model.Target, s.targets)
		for k := range list {
			list[k] = model.Target{
				ID:       model.TargetID(fmt.Sprintf("%s-%d", name, k)),
				Service:  model.ServiceName(name),
				Addr:     netip.MustParseAddrPort(targets[k%len(targets)]),
				Location: praha,
			}
		}
		raw, err := json.Marshal(list)
		if err != nil {
			return eris.Wrap(err, "encode targets")
		}
		objects.Objects.Write(store.TargetsPrefix+name, 0, raw, false)
		services[i] = fmt.Sprintf("%q:{\"class\":\"idempotent\"}", name)
	}
	document := `{"revision":1,"defaults":{"deadline":"2s"},"services":{` + strings.Join(services, ",") + `}}`
	objects.Objects.Write(store.ConfigKey, 0, []byte(document), false)
	return nil
}

func (e *entry) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + e.operator + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return eris.New("entry instance is not ready")
}

// stop ends the process and waits for it.
func (e *entry) stop() {
	_ = e.process.Process.Kill()
	_ = e.process.Wait()
	_ = os.RemoveAll(e.dir)
}

// usage is what the process has used since its start.
type usage struct {
	// cpu is processor time in seconds.
	cpu     float64
	mallocs float64
}

// usage reads the process's own metrics.
func (e *entry) usage() (usage, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.operator+"/metrics", nil)
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
