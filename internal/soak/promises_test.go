package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"redwingpoint.org/redwingpoint/platform"
	"redwingpoint.org/redwingpoint/platform/platformtest"
)

// promises judges a run by what callers and targets see.
type promises struct {
	t *testing.T
	// disturbed counts unplanned faults that have begun, running those at work.
	disturbed, running atomic.Int64

	mu      sync.Mutex
	runs    map[string]int
	methods map[string]string
	refused map[string]int
	served  int
	refusal int
	unknown int
}

func newPromises(t *testing.T) *promises {
	return &promises{t: t, runs: make(map[string]int), methods: make(map[string]string), refused: make(map[string]int)}
}

// ran takes note that a target began to run a request.
func (p *promises) ran(id, method string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
	p.methods[id] = method
	if method == http.MethodPost && p.runs[id] > 1 {
		p.t.Errorf("request %s that must not repeat runs for the %d. time", id, p.runs[id])
	}
	if status := p.refused[id]; status != 0 && method == http.MethodPost {
		p.t.Errorf("request %s runs after it was answered %d", id, status)
	}
}

// answered judges a whole answer.
func (p *promises) answered(id, method, uri string, bodyBytes int, resp *http.Response, body string) (service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	signals := platform.Protocol()
	target := strings.TrimPrefix(resp.Header.Get(signals.Signature), platformtest.Signature(""))
	switch status := resp.StatusCode; {
	case resp.Header.Get(signals.RequestID) != id:
		p.t.Errorf("request %s got the answer of %q", id, resp.Header.Get(signals.RequestID))
	case status == http.StatusOK:
		p.served++
		if want := platformtest.ResponseBody(target, method, uri, bodyBytes, id); body != want {
			p.t.Errorf("request %s got %q, want %q", id, body, want)
		}
		service, _, _ = strings.Cut(target, "/")
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		p.refusal++
		p.refused[id] = status
		if method == http.MethodPost && p.runs[id] > 0 {
			p.t.Errorf("request %s was answered %d and has run", id, status)
		}
	case status < http.StatusInternalServerError:
		p.t.Errorf("request %s was denied with %d", id, status)
	default:
		p.unknown++
	}
	return service
}

// broken judges a request whose connection ended without a whole answer. Begun is
// what disturbed was when it was sent.
func (p *promises) broken(id string, begun int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unknown++
	if p.calmSince(begun) && p.runs[id] > 0 {
		p.t.Errorf("request %s was passed on and cut off by planned work: %v", id, err)
	}
}

// calmSince reports whether no unplanned fault was at work since a count of disturbed.
func (p *promises) calmSince(begun int64) bool {
	return p.running.Load() == 0 && p.disturbed.Load() == begun
}

// fault runs an unplanned fault.
func (p *promises) fault(during func()) {
	p.running.Add(1)
	p.disturbed.Add(1)
	during()
	p.running.Add(-1)
}

// call sends one request and returns the service that answered it, or "".
func (p *promises) call(client *http.Client, url, host, id, method, body string) string {
	const path = "/p/x?y=1"
	req, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		p.t.Error(err)
		return ""
	}
	req.Host = host
	signals := platform.Protocol()
	req.Header.Set(signals.RequestID, id)
	req.Header.Set(signals.Deadline, fmt.Sprint(callDeadline.Milliseconds()))
	begun := p.disturbed.Load()
	if p.running.Load() > 0 {
		begun = -1
	}
	resp, err := client.Do(req)
	if err != nil {
		p.broken(id, begun, err)
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		p.broken(id, begun, err)
		return ""
	}
	return p.answered(id, method, path, len(body), resp, string(answer))
}
