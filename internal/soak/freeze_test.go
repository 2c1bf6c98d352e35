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

// heldAnswers holds the answer to one write of a ledger record back after it
// took effect: to the first that names the holder.
type heldAnswers struct {
	inner   http.Handler
	written chan struct{}
	release chan struct{}

	mu     sync.Mutex
	holder string
}

// arm chooses the instance whose next write is held.
func (h *heldAnswers) arm(holder string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder = holder
}

// takes reports whether a write is the one to be held.
func (h *heldAnswers) takes(body []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder == "" || !bytes.Contains(body, []byte(h.holder)) {
		return false
	}
	h.holder = ""
	return true
}

// ServeHTTP implements http.Handler.
func (h *heldAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ledger := r.Method == http.MethodPut && strings.Contains(r.URL.Path, store.LedgerPrefix+"odeslani/key/")
	if !ledger {
		h.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	h.inner.ServeHTTP(answer, r)
	if h.takes(body) {
		h.written <- struct{}{}
		<-h.release
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// TestFrozenBetweenClaimAndSendSendsNothing stops a process after its claim took
// effect and before it knows, and wakes it after the deadline with the answer there.
func TestFrozenBetweenClaimAndSendSendsNothing(t *testing.T) {
	held := &heldAnswers{written: make(chan struct{}), release: make(chan struct{})}
	r := startRunBehind(t, buildBinary(t), 0, func(inner http.Handler) http.Handler {
		held.inner = inner
		return held
	})
	r.target.calm = true
	for n, i := range r.instances {
		held.arm(fmt.Sprintf("soak-%d-1", n))
		key := fmt.Sprintf("frozen-%d", n)
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.receiveAt(i, key, key+"/0")
		}()
		<-held.written
		i.signal(syscall.SIGSTOP)
		time.Sleep(time.Second) // The deadline of 900 ms passes.
		held.release <- struct{}{}
		time.Sleep(50 * time.Millisecond) // The answer reaches the socket.
		i.signal(syscall.SIGCONT)
		<-done
		if told := r.told[key+"/0"]; told != "not-run" {
			t.Errorf("%s: told %q", key, told)
		}
	}
	time.Sleep(time.Second) // What was sent late arrives.
	for _, v := range r.violations() {
		t.Error(v)
	}
	if ran := len(r.target.keys); ran != 0 {
		t.Errorf("%d requests were sent after their deadline", ran)
	}
	r.receiveAt(r.instances[0], "awake", "awake/0")
	if told := r.told["awake/0"]; told != "ran" {
		t.Errorf("a request after the freezes: told %q", told)
	}
}
