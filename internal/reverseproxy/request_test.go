package reverseproxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	long := strings.Repeat("x", maxHeaderBytes)
	cases := []struct {
		name   string
		path   string
		key    string
		header http.Header
		body   string
		status int
		code   Code
	}{
		{name: "no service", path: "/", status: 404, code: CodeUnknownService},
		{name: "unknown service", path: "/tiskarna/1", status: 404, code: CodeUnknownService},
		{name: "escaped service", path: "/%6eahled/1", status: 404, code: CodeUnknownService},
		{name: "doubled slash", path: "//nahled/1", status: 404, code: CodeUnknownService},
		{name: "oversize header", path: "/odeslani/1", key: "k", header: http.Header{"Cookie": {long}}, status: 431, code: CodeHeaderTooLarge},
		{name: "deadline is text", path: "/odeslani/1", key: "k", header: http.Header{upstream.HeaderDeadline: {"soon"}}, status: 400, code: CodeBadDeadline},
		{name: "deadline of zero", path: "/odeslani/1", key: "k", header: http.Header{upstream.HeaderDeadline: {"0"}}, status: 400, code: CodeBadDeadline},
		{name: "negative deadline", path: "/odeslani/1", key: "k", header: http.Header{upstream.HeaderDeadline: {"-5"}}, status: 400, code: CodeBadDeadline},
		{name: "overflowing deadline", path: "/odeslani/1", key: "k", header: http.Header{upstream.HeaderDeadline: {"99999999999999999999"}}, status: 400, code: CodeBadDeadline},
		{name: "depth is text", path: "/odeslani/1", key: "k", header: http.Header{upstream.HeaderDepth: {"deep"}}, status: 400, code: CodeTooDeep},
		{name: "too deep", path: "/odeslani/1", key: "k", header: http.Header{upstream.HeaderDepth: {"15"}}, status: 400, code: CodeTooDeep},
		{name: "negative depth", path: "/odeslani/1", key: "k", header: http.Header{upstream.HeaderDepth: {"-1"}}, status: 400, code: CodeTooDeep},
		{name: "long caller", path: "/odeslani/1", key: "k", header: http.Header{DefaultCallerHeader: {strings.Repeat("c", 129)}}, status: 400, code: CodeBadCaller},
		{name: "caller with a space", path: "/odeslani/1", key: "k", header: http.Header{DefaultCallerHeader: {"a b"}}, status: 400, code: CodeBadCaller},
		{name: "long request ID", path: "/odeslani/1", key: "k", header: http.Header{upstream.HeaderRequestID: {strings.Repeat("r", 65)}}, status: 400, code: CodeBadRequestID},
		{name: "no key", path: "/odeslani/1", status: 400, code: CodeKeyMissing},
		{name: "two keys", path: "/odeslani/1", header: http.Header{upstream.HeaderIdempotencyKey: {"a", "b"}}, status: 400, code: CodeKeyInvalid},
		{name: "large body", path: "/odeslani/1", key: "k", body: strings.Repeat("x", maxBufferedBody+1), status: 413, code: CodeBodyTooLarge},
	}
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "odeslani", 1)[0]
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := post(c.path, c.key, c.body)
			for name, values := range c.header {
				req.Header[name] = values
			}
			wantProblem(t, s.do(req), c.status, c.code, NotRun)
		})
	}
	if target.Received() != 0 || len(s.ledger.keys) != 0 {
		t.Errorf("bad input reached the target %d times, the ledger %d times", target.Received(), len(s.ledger.keys))
	}
}

func TestLedgerErrorsMapToProblems(t *testing.T) {
	cases := []struct {
		err    error
		status int
		code   Code
	}{
		{&ledger.KeyError{}, 400, CodeKeyInvalid},
		{&ledger.FingerprintError{}, 422, CodeKeyReused},
		{&ledger.ExpiredError{}, 422, CodeKeyExpired},
		{&ledger.UnavailableError{Cause: io.EOF}, 503, CodeStoreDown},
	}
	for _, c := range cases {
		if p := ledgerProblem(c.err); p.Status != c.status || p.Code != c.code || p.RunState != NotRun {
			t.Errorf("%T gives %d %s %s", c.err, p.Status, p.Code, p.RunState)
		}
	}
}

// A body that is shorter than its declared length, or malformed, must not reach a
// target; the caller must still get a problem document on its half-closed
// connection.
func TestIncompleteBodyIsNotRun(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "odeslani", 1)[0]
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	for name, rest := range map[string]string{
		"short":     "Content-Length: 10\r\n\r\nhalf",
		"malformed": "Transfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST /odeslani/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"+rest)
			_ = conn.(*net.TCPConn).CloseWrite()
			response, _ := io.ReadAll(conn)
			if !strings.HasPrefix(string(response), "HTTP/1.1 400 ") || !strings.Contains(string(response), `"ran":"not-run"`) {
				t.Errorf("response %q", response)
			}
		})
	}
	if target.Received() != 0 {
		t.Error("a broken body reached the target")
	}
}

func TestHopByHopFieldsAreNotForwarded(t *testing.T) {
	r := &request{policy: newTestServer(testDocument, nil).config.Current().Policy("nahled"), deadline: time.Now().Add(time.Second)}
	r.httpRequest = get("/nahled/1")
	r.httpRequest.Header = http.Header{"Connection": {"close, X-Own"}, "X-Own": {"1"}, "Te": {"trailers"}, "Accept": {"*/*"}}
	h := r.targetHeader(time.Now(), false)
	if h.Get("X-Own") != "" || h.Get("Te") != "" || h.Get("Connection") != "" || h.Get("Accept") != "*/*" {
		t.Errorf("header %v", h)
	}
	if len(r.httpRequest.Header) != 4 {
		t.Error("the caller's header was changed")
	}
}

// For any input, parse must return either a valid request or a problem that is
// NotRun.
func FuzzParse(f *testing.F) {
	f.Add("/nahled/1", "100", "3", "eva", "r-1")
	f.Add("/odeslani", "-1", "15", "", "")
	f.Add("/%6e%2Fahled//", "9e9", "0x1", "a b", "\x00")
	s := newTestServer(testDocument, nil)
	f.Fuzz(func(t *testing.T, path, deadline, depth, caller, id string) {
		req := get("/")
		req.URL.Path, req.URL.RawPath = path, path
		req.Header.Set(upstream.HeaderDeadline, deadline)
		req.Header.Set(upstream.HeaderDepth, depth)
		req.Header.Set(DefaultCallerHeader, caller)
		req.Header.Set(upstream.HeaderRequestID, id)
		c, _ := gin.CreateTestContext(httptest.NewRecorder())
		c.Request = req
		now := time.Now()
		r, problem := s.parse(c, now)
		if problem != nil {
			if problem.RunState != NotRun || problem.Status < 400 || problem.Code == "" {
				t.Errorf("problem %+v", problem)
			}
			return
		}
		if r.depth < 0 || r.depth >= maxCallDepth || r.caller == "" || len(r.caller) > maxCallerBytes {
			t.Errorf("depth %d, caller %q", r.depth, r.caller)
		}
		if r.deadline.Before(now) || r.deadline.After(now.Add(r.policy.Deadline)) {
			t.Errorf("deadline %v from now", r.deadline.Sub(now))
		}
		if !strings.HasPrefix(r.path, "/") || !visibleASCII(string(r.id), maxRequestIDBytes) {
			t.Errorf("path %q, request ID %q", r.path, r.id)
		}
	})
}
