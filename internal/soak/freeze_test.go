package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/store"
)

// responseGate wraps a store and holds back the response to one ledger write after
// the write took effect: the first write whose body contains armedID.
type responseGate struct {
	inner http.Handler
	// committed receives a value when the write to be held has taken effect.
	committed chan struct{}
	// release lets the held response go.
	release chan struct{}

	mu sync.Mutex
	// armedID is the ID of the instance whose next write is held, or "".
	armedID string
}

// arm sets the ID of the instance whose next write is held.
func (g *responseGate) arm(instanceID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armedID = instanceID
}

// consumes reports whether a write is the one to be held, and disarms the gate if so.
func (g *responseGate) consumes(body []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.armedID == "" || !bytes.Contains(body, []byte(g.armedID)) {
		return false
	}
	g.armedID = ""
	return true
}

// ServeHTTP implements http.Handler.
func (g *responseGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isRecordWrite := r.Method == http.MethodPut && strings.Contains(r.URL.Path, store.LedgerPrefix+"odeslani/key/")
	if !isRecordWrite {
		g.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	g.inner.ServeHTTP(recorder, r)
	if g.consumes(body) {
		g.committed <- struct{}{}
		<-g.release
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// TestFrozenBetweenClaimAndSendSendsNothing guards against a request that is sent after
// its deadline. The process is stopped after its claim took effect in the store and
// before it reads the response, and resumes past the deadline with the response waiting
// in its socket.
func TestFrozenBetweenClaimAndSendSendsNothing(t *testing.T) {
	gate := &responseGate{committed: make(chan struct{}), release: make(chan struct{})}
	r := startInstanceRunBehind(t, buildBinary(t), 0, func(inner http.Handler) http.Handler {
		gate.inner = inner
		return gate
	})
	r.target.faultless = true
	for n, i := range r.instances {
		gate.arm(fmt.Sprintf("soak-%d-1", n))
		key := fmt.Sprintf("frozen-%d", n)
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.sendTo(i, key, key+"/0")
		}()
		<-gate.committed
		i.signal(syscall.SIGSTOP)
		time.Sleep(time.Second) // The deadline of 900 ms passes.
		gate.release <- struct{}{}
		time.Sleep(50 * time.Millisecond) // Lets the response reach the socket.
		i.signal(syscall.SIGCONT)
		<-done
		if reported := r.reported[key+"/0"]; reported != "not-run" {
			t.Errorf("%s: reported %q, want \"not-run\"", key, reported)
		}
	}
	time.Sleep(time.Second) // Lets requests that were sent late arrive.
	for _, v := range r.violations() {
		t.Error(v)
	}
	if ran := len(r.target.requestIDsByKey); ran != 0 {
		t.Errorf("%d requests were sent after their deadline", ran)
	}
	r.sendTo(r.instances[0], "awake", "awake/0")
	if reported := r.reported["awake/0"]; reported != "ran" {
		t.Errorf("a request after the freezes: reported %q, want \"ran\"", reported)
	}
}
