package misuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/platform"
)

const (
	// endlessCallers is the number of callers that meet each endless response at once.
	endlessCallers = 4
	// endlessDeadline is the deadline of their requests.
	endlessDeadline = 2 * time.Second
	// maxLogLine is the length in bytes that no line of the log exceeds, whatever targets send.
	maxLogLine = 2 << 10
	// filler is what endless parts consist of.
	filler = "endless"
)

// endless is a response without end: begin, then repeat again and again. ID stands for the
// request's ID.
type endless struct{ begin, repeat string }

var (
	endlessOK     = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: ID\r\n%s: s\r\n", platform.Protocol().RequestID, platform.Protocol().Signature)
	endlessChunks = endlessOK + "Transfer-Encoding: chunked\r\n\r\n"
	// endlessRefusal states that the request was not run.
	endlessRefusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: ID\r\n%s: 1\r\n\r\n", platform.Protocol().RequestID, platform.NotExecutedField)
)

// endlessResponses are the responses by the path of the request.
var endlessResponses = map[string]endless{
	"/status-line":     {"", filler},
	"/reason":          {"HTTP/1.1 200 ", filler},
	"/field-name":      {endlessOK, filler},
	"/field-value":     {endlessOK + "X-Long: ", filler},
	"/fields":          {endlessOK, filler + ": " + filler + "\r\n"},
	"/folded-field":    {endlessOK + "X-Long: a\r\n", " " + filler + "\r\n"},
	"/informational":   {"", "HTTP/1.1 103 Early Hints\r\nX-Long: " + filler + "\r\n\r\n"},
	"/blank-lines":     {"", "\r\n"},
	"/length":          {endlessOK + "Content-Length: 100000000000000\r\n\r\n", filler},
	"/no-length":       {endlessOK + "\r\n", filler},
	"/chunks":          {endlessChunks, "7\r\n" + filler + "\r\n"},
	"/chunk-size":      {endlessChunks, "0"},
	"/chunk-extension": {endlessChunks + "7", ";" + filler},
	"/trailers":        {endlessChunks + "0\r\n", filler + ": " + filler + "\r\n"},
	"/trailer":         {endlessChunks + "0\r\nX-Long: ", filler},
	"/after":           {endlessOK + "Content-Length: 5\r\n\r\nwhole", filler},
	"/after-later":     {endlessOK + "Content-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + filler},
	"/refusal":         {endlessRefusal, filler},
	"/failure":         {strings.Replace(endlessOK, "200 OK", "500 Internal Server Error", 1) + "\r\n", filler},
	"/bad-length":      {endlessOK + "Content-Length: ", filler},
	"/bad-encoding":    {endlessOK + "Transfer-Encoding: ", filler},
	"/refusal-status":  {strings.Replace(endlessOK, "200 OK", "429 Too Many Requests", 1) + "\r\n", filler},
}

// endlessTarget responds to requests with endlessResponses, and to health checks with the next
// of healthResponses each time.
type endlessTarget struct {
	mu     sync.Mutex
	checks int
}

// endlessHealth is the beginning of most responses to health checks.
var endlessHealth = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: endless\r\n%s: 0,0,1000,100\r\n", platform.Protocol().TargetID, platform.LoadReportField)

// nextHealth returns the response to the next health check: three of four are sound.
func (e *endlessTarget) nextHealth() endless {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checks++
	switch e.checks % 12 {
	case 3:
		return endless{endlessHealth + "\r\n", filler}
	case 7:
		return endless{endlessHealth, filler + ": " + filler + "\r\n"}
	case 11:
		return endless{"HTTP/1.1 200 OK\r\n" + platform.Protocol().TargetID + ": ", filler}
	}
	return endless{begin: endlessHealth + "Content-Length: 0\r\n\r\n"}
}

func (e *endlessTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		response := endlessResponses[req.URL.Path]
		if req.URL.Path == "/health" {
			response = e.nextHealth()
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(response.begin, "ID", req.Header.Get(platform.Protocol().RequestID))); err != nil {
			return
		}
		if response.repeat == "" {
			continue
		}
		block := strings.Repeat(response.repeat, 4096/len(response.repeat)+1)
		for err == nil {
			_, err = io.WriteString(c, block)
		}
		return
	}
}

// startEndlessTarget starts a target of the service at endlessHost.
func (g *gateway) startEndlessTarget() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	target := new(endlessTarget)
	g.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(c)
		}
	}()
	g.store.Put(platform.TargetsKind, "endless", fmt.Sprintf(`{"service":"endless","address":%q,"zone":"praha-a","slots":1000,"state":"ready"}`, listener.Addr()))
}

// TestTargetsThatSendWithoutEnd guards against a faulty target that sends bytes without end,
// in a head or in a body, until the caller closes: what is kept of them and what is logged
// stays bounded, and ordinary requests are served.
func TestTargetsThatSendWithoutEnd(t *testing.T) {
	g := startGateway(t, 0)
	g.startEndlessTarget()
	var callers sync.WaitGroup
	for path := range endlessResponses {
		for n := range endlessCallers {
			callers.Go(func() {
				started := time.Now()
				status, n := g.meetEndless([]string{"GET", "POST"}[n%2], path)
				t.Logf("%s: status %d, %d bytes after %v", path, status, n, time.Since(started).Round(time.Millisecond))
			})
		}
	}
	callers.Wait()
	g.check()
	log, err := os.ReadFile(g.log)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(log)) {
		if len(line) > maxLogLine {
			t.Errorf("a line of the log has %d bytes: %.200s", len(line), line)
		}
		if !strings.HasPrefix(line, "{") {
			t.Errorf("unstructured log line: %.200s", line)
		}
	}
}

// TestTargetsThatSendWithoutEndToCallersThatDontRead is TestTargetsThatSendWithoutEnd with
// callers that send requests ahead and read nothing.
func TestTargetsThatSendWithoutEndToCallersThatDontRead(t *testing.T) {
	g := startGateway(t, 0)
	g.startEndlessTarget()
	for path := range endlessResponses {
		g.joinAll(endlessCallers, g.callers, 0, func() string {
			return strings.Repeat(g.head("GET", endlessSafeHost, path)+"\r\n", 3)
		})
	}
	g.check()
}

// meetEndless sends one request and reads the response until the connection ends. It returns
// the status and the number of bytes of the body.
func (g *gateway) meetEndless(method, path string) (status int, n int64) {
	c, err := net.DialTimeout("tcp", g.callers, 5*time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	host := endlessHost
	if method == http.MethodGet {
		host = endlessSafeHost
	}
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: endless-%d\r\n%s: %d\r\nConnection: close\r\n\r\n", method, path, host,
		platform.Protocol().RequestID, g.nextID.Add(1), platform.Protocol().Deadline, endlessDeadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	n, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, n
}
