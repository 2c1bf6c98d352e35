package reverseproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

func put(path string, body io.Reader) *http.Request {
	return httptest.NewRequest(http.MethodPut, path, body)
}

// readBodyContext reads the body of a call and gives up when the context ends, as
// a connection does.
func readBodyContext(ctx context.Context, call upstream.Call) (int64, error) {
	type readResult struct {
		n   int64
		err error
	}
	done := make(chan readResult, 1)
	go func() {
		n, err := io.Copy(io.Discard, call.Body)
		done <- readResult{n, err}
	}()
	select {
	case e := <-done:
		return e.n, e.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func newUploadServer(receive clientFunc) *testServer {
	s := newTestServer(testDocument, func(o *Options) { o.Upstream = receive })
	s.listTargets("prijem", 2, 2)
	return s
}

func TestSlowUploadHasNoTotalTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		var got int64
		s := newUploadServer(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
			n, err := readBodyContext(ctx, call)
			if err != nil {
				return nil, brokenConnection(call)
			}
			got = n
			return newResponse(http.StatusCreated, "stored"), nil
		})
		reader, writer := io.Pipe()
		go func() {
			for range 100 {
				time.Sleep(14 * time.Second)
				_, _ = io.WriteString(writer, "address\n")
			}
			_ = writer.Close()
		}()
		if w := s.do(put("/prijem/lists/1", reader)); w.Code != http.StatusCreated || got != 800 {
			t.Errorf("%d %s, target got %d bytes", w.Code, w.Body, got)
		}
	})
}

func TestCallerStallIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		s := newUploadServer(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
			_, _ = readBodyContext(ctx, call)
			return nil, brokenConnection(call)
		})
		reader, writer := io.Pipe()
		defer func() { _ = writer.Close() }()
		go func() { _, _ = io.WriteString(writer, "half") }()
		w := s.do(put("/prijem/lists/1", reader))
		wantProblem(t, w, http.StatusRequestTimeout, CodeUploadStalled, OutcomeUnknown)
	})
}

func TestTargetStallIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		s := newUploadServer(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
			<-ctx.Done()
			return nil, &upstream.CallError{Target: call.Endpoint.Target.ID, Reason: upstream.Cancelled, Sent: true, Cause: ctx.Err()}
		})
		w := s.do(put("/prijem/lists/1", strings.NewReader("addresses")))
		wantProblem(t, w, http.StatusGatewayTimeout, CodeUploadStalled, OutcomeUnknown)
	})
}

// A caller that stalls on a real connection must get a problem document although
// a read of its body is blocked.
func TestCallerStallUnblocksBodyRead(t *testing.T) {
	document := strings.Replace(testDocument, `"deadline":"30s"`, `"progressTimeout":"50ms"`, 1)
	s := newTestServer(document, nil)
	target := s.serveTargets(t, "prijem", 1)[0]
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "PUT /prijem/lists/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	response, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 408 ") || !strings.Contains(string(response), string(CodeUploadStalled)) {
		t.Errorf("response %q, %v", response, err)
	}
	eventually(t, "the target sees the cancellation", func() bool { return target.Cancelled() == 1 })
}

func TestBufferedUploadIsRetried(t *testing.T) {
	for name, script := range map[string]standin.Behavior{"crash": standin.Crash, "shed": standin.Shed} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(testDocument, nil)
			targets := s.serveTargets(t, "prijem", 2)
			var failed atomic.Bool
			for _, target := range targets {
				target.SetBehavior(func(w http.ResponseWriter, r *http.Request) {
					if failed.CompareAndSwap(false, true) {
						script(w, r)
						return
					}
					n, _ := io.Copy(io.Discard, r.Body)
					w.Header().Set("Received", http.StatusText(int(n)))
					w.WriteHeader(http.StatusCreated)
				})
			}
			w := s.do(put("/prijem/lists/1", strings.NewReader(strings.Repeat("x", http.StatusTeapot))))
			if w.Code != http.StatusCreated || w.Header().Get("Received") != http.StatusText(http.StatusTeapot) {
				t.Errorf("%d %s %v", w.Code, w.Body, w.Header())
			}
		})
	}
}

func TestUploadBeyondBufferIsNotRetried(t *testing.T) {
	s := newTestServer(testDocument, nil)
	targets := s.serveTargets(t, "prijem", 2)
	for _, target := range targets {
		target.SetBehavior(standin.Crash)
	}
	w := s.do(put("/prijem/lists/1", strings.NewReader(strings.Repeat("x", 1<<20))))
	wantProblem(t, w, http.StatusBadGateway, CodeTargetFailed, OutcomeUnknown)
	if got := targets[0].Received() + targets[1].Received(); got != 1 {
		t.Errorf("sent %d times", got)
	}
}

// countingReader is a body of a fixed number of bytes that counts the bytes read.
type countingReader struct {
	remaining int64
	bytesRead atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), r.remaining)
	r.remaining -= n
	r.bytesRead.Add(n)
	return int(n), nil
}

// While the target doesn't read, the bytes read from the caller must be bounded
// by the replay buffer and the socket buffers.
func TestUploadMemoryIsBounded(t *testing.T) {
	const size, bound = 256 << 20, 32 << 20
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "prijem", 1)[0]
	resume := make(chan struct{})
	target.SetBehavior(func(w http.ResponseWriter, r *http.Request) {
		<-resume
		n, _ := io.Copy(io.Discard, r.Body)
		if n != size {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	body := &countingReader{remaining: size}
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- s.do(put("/prijem/lists/1", body)) }()
	last := int64(-1)
	eventually(t, "no more of the body is read", func() bool {
		time.Sleep(20 * time.Millisecond)
		now := body.bytesRead.Load()
		stopped := now > 0 && now == last
		last = now
		return stopped
	})
	if last > bound {
		t.Errorf("%d bytes were read from the caller while the target read none", last)
	}
	close(resume)
	if w := <-done; w.Code != http.StatusOK {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}

// An upload in progress must complete while its target and its instance drain.
func TestUploadCompletesDuringDrain(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "prijem", 1)[0]
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	reader, writer := io.Pipe()
	req, err := http.NewRequest(http.MethodPut, server.URL+"/prijem/lists/1", reader)
	if err != nil {
		t.Fatal(err)
	}
	type response struct {
		status int
		body   string
	}
	done := make(chan response, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			done <- response{body: err.Error()}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		done <- response{resp.StatusCode, string(body)}
	}()
	_, _ = writer.Write(make([]byte, 1<<20))
	eventually(t, "the target has the upload", func() bool { return target.Received() == 1 })
	target.Draining.Store(true)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Config.Shutdown(t.Context()) }()
	_, _ = writer.Write(make([]byte, 1<<20))
	_ = writer.Close()
	if got := <-done; got.status != http.StatusOK || !strings.Contains(got.body, "with 2097152 bytes") {
		t.Errorf("%d %s", got.status, got.body)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestUploadCancellationReachesTarget(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "prijem", 1)[0]
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- s.do(put("/prijem/lists/1", reader).WithContext(ctx)) }()
	_, _ = io.WriteString(writer, "half")
	eventually(t, "the target has the upload", func() bool { return target.Received() == 1 })
	cancel()
	wantProblem(t, <-done, statusCallerGone, CodeCallerCancelled, OutcomeUnknown)
	eventually(t, "the target sees the cancellation", func() bool { return target.Cancelled() == 1 })
	_ = writer.Close()
}

// The first target fails while the caller pauses in the middle of the body: the
// buffered part must be sent to another target, followed by the rest.
func TestBufferedUploadIsRetriedWhileCallerPauses(t *testing.T) {
	s := newTestServer(testDocument, nil)
	targets := s.serveTargets(t, "prijem", 2)
	var failed atomic.Bool
	for _, target := range targets {
		target.SetBehavior(func(w http.ResponseWriter, r *http.Request) {
			if failed.CompareAndSwap(false, true) {
				standin.CloseConnection(w, r)
				return
			}
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		})
	}
	reader, writer := io.Pipe()
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- s.do(put("/prijem/lists/1", reader)) }()
	_, _ = io.WriteString(writer, "first ")
	eventually(t, "another target has the upload", func() bool {
		return targets[0].Received()+targets[1].Received() == 2
	})
	_, _ = io.WriteString(writer, "second")
	_ = writer.Close()
	if w := <-done; w.Body.String() != "first second" {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}
