package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// target is a stand-in of one sound target: it answers its health path at once, runs what
// names it in X-Expect-Instance while a slot is free, and turns away the rest.
type target struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	responseBytes           int
	record                  *record
	runs                    *runs
	// earlyShare is the share of the long requests that the target rejects before they are in.
	earlyShare float64
	// respond, if set, may write the response to a request that has run; it reports whether it
	// did.
	respond func(w http.ResponseWriter, r *http.Request, id string) bool

	mu   sync.Mutex
	busy int
}

// runs counts which requests ran and where.
type runs struct {
	mu    sync.Mutex
	byID  map[string][]string
	onRun func(id, target string)
}

func newRuns() *runs { return &runs{byID: make(map[string][]string)} }

func (r *runs) add(id, target string) {
	r.mu.Lock()
	r.byID[id] = append(r.byID[id], target)
	r.mu.Unlock()
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// start listens and registers the target in the store.
func (t *target) start(s *store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.addr = l.Addr().String()
	go func() { _ = http.Serve(l, t) }()
	s.put("servers", t.id, map[string]any{"service": t.service, "address": t.addr, "zone": t.zone, "version": "v1", "slots": t.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	return nil
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", t.id)
	t.mu.Lock()
	h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d,100", t.busy, t.slots))
	t.mu.Unlock()
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.ContentLength < 0 && rand.Float64() < t.earlyShare {
		t.declineEarly(w, r, id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.record.add("target %s: the body of %s ends early", t.id, id)
		return
	}
	if !t.acquire() {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.release()
	t.record.add("target %s (%s): runs %s", t.id, t.service, id)
	t.runs.add(id, t.id)
	time.Sleep(t.work)
	if t.respond != nil && t.respond(w, r, id) {
		return
	}
	body := responseBody(id, t.responseBytes)
	h.Set("X-Server-Signature", signature(t.id, body))
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// declineEarly rejects a long request before it is in, keeps the connection and reads on.
func (t *target) declineEarly(w http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	t.record.add("target %s: rejects %s before it has read the body", t.id, id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Instance-Id: %s\r\nX-Instance-Load: 0,0,%d,100\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", t.id, t.slots, id)
	_, _ = io.Copy(io.Discard, buffered)
}

func (t *target) acquire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy >= t.slots {
		return false
	}
	t.busy++
	return true
}

func (t *target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

// responseBody returns a target's whole body for a request.
func responseBody(id string, n int) string {
	return strings.Repeat(id+" ", n/(len(id)+1)+1)[:n]
}

func signature(id, body string) string {
	sum := sha256.Sum256([]byte(id + body))
	return hex.EncodeToString(sum[:8])
}
