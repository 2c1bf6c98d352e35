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

// checker checks the guarantees of the gateways by what callers and targets observe,
// and reports violations to the test. It is safe for concurrent use.
type checker struct {
	t *testing.T
	// faultsStarted counts the unplanned faults so far, faultsActive those in progress.
	faultsStarted, faultsActive atomic.Int64

	mu sync.Mutex
	// runCounts is the number of times that targets began to run a request, by its ID.
	runCounts map[string]int
	methods   map[string]string
	// refusedStatus is the status of the refusal that a caller received, by request ID.
	refusedStatus map[string]int
	// servedCount, refusedCount and unknownCount count requests by their outcome; unknown
	// are those of which the caller can't tell whether they ran.
	servedCount  int
	refusedCount int
	unknownCount int
}

// newChecker returns a checker that reports to t.
func newChecker(t *testing.T) *checker {
	return &checker{t: t, runCounts: make(map[string]int), methods: make(map[string]string), refusedStatus: make(map[string]int)}
}

// recordRun records that a target began to run a request. It reports a request that
// isn't idempotent and runs again, or runs after its caller was told that it was refused.
func (c *checker) recordRun(id, method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runCounts[id]++
	c.methods[id] = method
	if method == http.MethodPost && c.runCounts[id] > 1 {
		c.t.Errorf("request %s is not idempotent and runs for the %d. time", id, c.runCounts[id])
	}
	if status := c.refusedStatus[id]; status != 0 && method == http.MethodPost {
		c.t.Errorf("request %s runs after it was answered %d", id, status)
	}
}

// checkResponse checks a complete response. It returns the service that served the
// request, or "" if none did.
func (c *checker) checkResponse(id, method, uri string, bodyBytes int, resp *http.Response, body string) (service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	signals := platform.Protocol()
	target := strings.TrimPrefix(resp.Header.Get(signals.Signature), platformtest.Signature(""))
	switch status := resp.StatusCode; {
	case resp.Header.Get(signals.RequestID) != id:
		c.t.Errorf("request %s got the response for %q", id, resp.Header.Get(signals.RequestID))
	case status == http.StatusOK:
		c.servedCount++
		if want := platformtest.ResponseBody(target, method, uri, bodyBytes, id); body != want {
			c.t.Errorf("request %s got %q, want %q", id, body, want)
		}
		service, _, _ = strings.Cut(target, "/")
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		c.refusedCount++
		c.refusedStatus[id] = status
		if method == http.MethodPost && c.runCounts[id] > 0 {
			c.t.Errorf("request %s was answered %d and has run", id, status)
		}
	case status < http.StatusInternalServerError:
		c.t.Errorf("request %s was denied with %d", id, status)
	default:
		c.unknownCount++
	}
	return service
}

// checkIncomplete checks a request whose connection ended without a complete response.
// faultsBefore is the value of faultsStarted when the request was sent, or -1 if a fault
// was active then.
func (c *checker) checkIncomplete(id string, faultsBefore int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unknownCount++
	if c.faultFreeSince(faultsBefore) && c.runCounts[id] > 0 {
		c.t.Errorf("request %s was forwarded and then interrupted by planned work: %v", id, err)
	}
}

// faultFreeSince reports whether no unplanned fault has been active since faultsStarted
// had the value faultsBefore.
func (c *checker) faultFreeSince(faultsBefore int64) bool {
	return c.faultsActive.Load() == 0 && c.faultsStarted.Load() == faultsBefore
}

// runFault runs an unplanned fault, which ends when fault returns.
func (c *checker) runFault(fault func()) {
	c.faultsActive.Add(1)
	c.faultsStarted.Add(1)
	fault()
	c.faultsActive.Add(-1)
}

// sendAndCheck sends one request and checks the outcome. It returns the service that
// served the request, or "" if none did.
func (c *checker) sendAndCheck(client *http.Client, url, host, id, method, body string) string {
	const path = "/p/x?y=1"
	req, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return ""
	}
	req.Host = host
	signals := platform.Protocol()
	req.Header.Set(signals.RequestID, id)
	req.Header.Set(signals.Deadline, fmt.Sprint(callDeadline.Milliseconds()))
	faultsBefore := c.faultsStarted.Load()
	if c.faultsActive.Load() > 0 {
		faultsBefore = -1
	}
	resp, err := client.Do(req)
	if err != nil {
		c.checkIncomplete(id, faultsBefore, err)
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		c.checkIncomplete(id, faultsBefore, err)
		return ""
	}
	return c.checkResponse(id, method, path, len(body), resp, string(responseBody))
}
