package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/callers"
	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// sendSized sends a request with a body of the given size, with Content-Length or chunked.
func (f *fixture) sendSized(size int, chunked bool) *httpserver.Response {
	var body io.Reader = strings.NewReader(strings.Repeat("x", size))
	if chunked {
		body = io.MultiReader(body)
	}
	req := httptest.NewRequest(http.MethodPost, "/a/", body)
	req.Host = "h"
	req.Header.Set("Id", "request-1")
	return f.Serve(context.Background(), &httpserver.Request{
		HTTP: req, RequestTarget: "/a/", Path: "/a/", ReceivedAt: time.Now(), BodyDeadline: func(time.Time) {}, Account: f.account,
	})
}

// bodySizes records the sizes of the bodies that targets took for complete. It is safe for
// concurrent use.
type bodySizes struct {
	mu       sync.Mutex
	complete []int64
}

// then returns a target that reads the whole body before it behaves like next.
func (b *bodySizes) then(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil {
			b.mu.Lock()
			b.complete = append(b.complete, n)
			b.mu.Unlock()
		}
		next(w, r)
	}
}

// TestStreamedBodyReachesNoTargetInPart guards against a retry of an idempotent request
// whose body is too large to be buffered: the first target has consumed the stream, so a
// second one would take the empty rest of a chunked body for the whole body.
func TestStreamedBodyReachesNoTargetInPart(t *testing.T) {
	for _, first := range []struct {
		name     string
		behavior http.HandlerFunc
		status   int
	}{
		{"server error", fails, http.StatusInternalServerError},
		{"truncated", truncates, http.StatusBadGateway},
		{"declined", declines, http.StatusServiceUnavailable},
	} {
		for _, size := range []int{0, 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 3 * maxBufferedBody} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, chunked %t", first.name, size, chunked), func(t *testing.T) {
					var sizes bodySizes
					f := newFixtureWithBodyLimit(t, 0, model.Idempotent, sizes.then(first.behavior), sizes.then(succeeds))
					resp := f.sendSized(size, chunked)
					status, targets := http.StatusCreated, "1 1"
					if size > maxBufferedBody {
						status, targets = first.status, "1 0"
					}
					if resp.Status != status || f.deliveries() != targets {
						t.Errorf("status %d, requests by target %s; want %d, %s", resp.Status, f.deliveries(), status, targets)
					}
					for _, n := range sizes.complete {
						if n != int64(size) {
							t.Errorf("a target took %d of %d bytes for the whole body", n, size)
						}
					}
				})
			}
		}
	}
}

// TestUnreadStreamReachesAnotherTarget checks that a streamed body is sent to another target
// if the first one could not be reached.
func TestUnreadStreamReachesAnotherTarget(t *testing.T) {
	const size = maxBufferedBody + 1
	var sizes bodySizes
	f := newFixtureWithBodyLimit(t, 0, model.Upload, succeeds, sizes.then(succeeds))
	f.picker.endpoints[0].Target.Addr = netip.MustParseAddrPort("127.0.0.1:1")
	resp := f.sendSized(size, true)
	if resp.Status != http.StatusCreated || len(sizes.complete) != 1 || sizes.complete[0] != size {
		t.Errorf("status %d, complete bodies %v", resp.Status, sizes.complete)
	}
}

// TestChunkedBodyKeepsToTheLimit checks that the limit on request bodies holds without a
// Content-Length, and that no target takes a body that was cut off there for complete.
func TestChunkedBodyKeepsToTheLimit(t *testing.T) {
	for _, limit := range []int{1000, maxBufferedBody, maxBufferedBody + 1, 2 * maxBufferedBody} {
		for _, excess := range []int{0, 1, maxBufferedBody} {
			t.Run(fmt.Sprintf("limit %d, %d bytes more", limit, excess), func(t *testing.T) {
				var sizes bodySizes
				f := newFixtureWithBodyLimit(t, int64(limit), model.NonIdempotent, sizes.then(succeeds))
				resp := f.sendSized(limit+excess, true)
				want, complete := http.StatusCreated, 1
				if excess > 0 {
					want, complete = http.StatusRequestEntityTooLarge, 0
				}
				if resp.Status != want || len(sizes.complete) != complete {
					t.Errorf("status %d, complete bodies %v; want %d, %d", resp.Status, sizes.complete, want, complete)
				}
			})
		}
	}
}

// stalledBody is a request body that stalls after some bytes until it is closed.
type stalledBody struct {
	io.Reader
	once   sync.Once
	closed chan struct{}
}

func newStalledBody(size int) *stalledBody {
	return &stalledBody{Reader: strings.NewReader(strings.Repeat("x", size)), closed: make(chan struct{})}
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if n, _ := b.Reader.Read(p); n > 0 {
		return n, nil
	}
	<-b.closed
	return 0, httpserver.BodyEndedError{}
}

func (b *stalledBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// sendStalled sends an upload that stalls beyond the size that is buffered.
func (f *fixture) sendStalled(timeoutMs string) *httpserver.Response {
	req := httptest.NewRequest(http.MethodPost, "/a/", newStalledBody(2*maxBufferedBody))
	req.Host, req.ContentLength = "h", -1
	req.Header.Set("Id", "request-1")
	req.Header.Set("Left", timeoutMs)
	return f.Serve(context.Background(), &httpserver.Request{
		HTTP: req, RequestTarget: "/a/", Path: "/a/", ReceivedAt: time.Now(), BodyDeadline: func(time.Time) {},
	})
}

// TestStalledStreamIsAnsweredAtItsDeadline guards against an upload that stalls beyond the
// buffered size: the attempt waited for the rest of the body, whatever its deadline. It is the
// caller who stalls, so the target's reliability doesn't count it.
func TestStalledStreamIsAnsweredAtItsDeadline(t *testing.T) {
	f := newFixtureWithBodyLimit(t, 0, model.Upload, hangs)
	// The time must reach for the connection to the target, also beside other load.
	if resp := f.sendStalled("1500"); resp.Status != http.StatusGatewayTimeout {
		t.Errorf("status %d", resp.Status)
	}
	if risk := f.picker.endpoints[0].Load.Reliability.Risk(routing.Monotonic()); risk != 0 {
		t.Errorf("the stall counts against the target: risk %v", risk)
	}
}

// TestStalledStreamEndsWithItsTarget guards against an upload that stalls while its target
// answers early, or breaks off: the caller got no answer before the deadline.
func TestStalledStreamEndsWithItsTarget(t *testing.T) {
	for _, target := range []struct {
		name     string
		behavior http.HandlerFunc
		status   int
	}{
		{"declines early", declines, http.StatusServiceUnavailable},
		{"breaks off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
	} {
		t.Run(target.name, func(t *testing.T) {
			f := newFixtureWithBodyLimit(t, 0, model.Upload, target.behavior)
			if resp := f.sendStalled("600000"); resp.Status != target.status {
				t.Errorf("status %d, want %d", resp.Status, target.status)
			}
		})
	}
}

// TestReleasedStreamIsNotRead checks that an attempt that has ended can't take bytes from
// the next one.
func TestReleasedStreamIsNotRead(t *testing.T) {
	body := &streamedBody{src: strings.NewReader("letters")}
	ended := body.newReader()
	if !body.release() {
		t.Fatal("an unread stream can't be sent again")
	}
	next := body.newReader()
	if n, err := ended.Read(make([]byte, 1)); n != 0 || !errors.Is(err, StreamReleasedError{}) {
		t.Errorf("the ended attempt read %d bytes, %v", n, err)
	}
	if got, err := io.ReadAll(next); err != nil || !bytes.Equal(got, []byte("letters")) {
		t.Errorf("the next attempt read %q, %v", got, err)
	}
	if body.release() {
		t.Error("a stream that was read can be sent again")
	}
}

// heldConn is a connection of a test in a budget.
type heldConn struct{}

func (heldConn) MayClose() bool { return false }
func (heldConn) Abort() bool    { return false }
func (heldConn) Caller() string { return "caller" }

// TestFullBudgetRefusesBeforeAnyTarget guards against a refusal of a request that has run, and
// against memory that a refused or served request keeps.
func TestFullBudgetRefusesBeforeAnyTarget(t *testing.T) {
	for _, full := range []struct {
		name   string
		limits callers.Limits
		others int
		size   int
		status int
	}{
		{"body", callers.Limits{Memory: 200 << 10}, 0, 190 << 10, http.StatusServiceUnavailable},
		{"exchange", callers.Limits{Exchanges: 1, Memory: 10 << 20}, 1, 100, http.StatusServiceUnavailable},
		{"room", callers.Limits{Exchanges: 1, Memory: 10 << 20}, 0, 300 << 10, http.StatusCreated},
		{"streamed", callers.Limits{Exchanges: 1, Memory: 10 << 20}, 0, 2 * maxBufferedBody, http.StatusCreated},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", full.name, chunked), func(t *testing.T) {
				f := newFixtureWithBodyLimit(t, 0, model.NonIdempotent, succeeds)
				budget := callers.NewBudget(full.limits)
				other, _ := budget.Open(heldConn{})
				for range full.others {
					other.BeginExchange()
				}
				f.account, _ = budget.Open(heldConn{})
				held := f.account.Held()
				resp := f.sendSized(full.size, chunked)
				if resp.Remainder != nil {
					_ = resp.Remainder.Close()
				}
				if resp.Status != full.status || (full.status == http.StatusServiceUnavailable) != (f.deliveries() == "0") {
					t.Errorf("status %d, requests by target %s", resp.Status, f.deliveries())
				}
				if f.account.Held() != held {
					t.Errorf("%d bytes are held, %d before", f.account.Held(), held)
				}
			})
		}
	}
}
