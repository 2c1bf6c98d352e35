//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a target at the store.
const heartbeat = 1500 * time.Millisecond

// target plays a server by PROTOCOL.md.
type target struct {
	w             *world
	id, service   string
	zone, addr    string
	slots         int
	work          time.Duration
	coldRemaining int

	// onRun is called when a request begins to run. If it returns true, it has answered.
	onRun func(t *target, rw http.ResponseWriter, r *http.Request, body []byte) (answered bool)
	// onArrival, if set, is called when the head of a request arrives.
	onArrival func(t *target, r *http.Request)

	mu       sync.Mutex
	server   *http.Server
	born     int64
	sequence int
	state    string
	running  int
	beating  chan struct{}
}

// listen starts the process of the target at its address, or at a free port. It doesn't
// register.
func (t *target) listen() error {
	addr := t.addr
	if addr == "" {
		addr = "127.0.31.20:0"
	}
	var l net.Listener
	var err error
	for range 40 {
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addr = l.Addr().String()
	t.born, t.sequence, t.running, t.state = time.Now().UnixMilli(), 0, 0, "ready"
	server := &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	t.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// start starts a target that registers itself and keeps its entry up to date.
func (w *world) start(t *target) error {
	t.w = w
	if err := t.listen(); err != nil {
		return err
	}
	w.onClose(func() { t.stopBeating(); t.kill() })
	t.register()
	return nil
}

// register writes the entry and begins to repeat it.
func (t *target) register() {
	t.beat()
	stop := make(chan struct{})
	t.mu.Lock()
	t.beating = stop
	t.mu.Unlock()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				t.beat()
			}
		}
	}()
}

// stopBeating ends the writes of the target.
func (t *target) stopBeating() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.beating != nil {
		close(t.beating)
		t.beating = nil
	}
}

// beat writes the entry. As on the pages, it changes only when more than the sequence does.
func (t *target) beat() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	spec := func(sequence int) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":%d,"sequence":%d,"born":%d}`,
			t.service, t.addr, t.zone, t.slots, t.state, t.coldRemaining, sequence, t.born)
	}
	if t.w.store.holds("servers", t.id, func(held string) bool {
		for s := range t.sequence {
			if held == spec(s) {
				return true
			}
		}
		return false
	}) {
		return time.Time{}
	}
	return t.w.store.put("servers", t.id, spec(t.sequence))
}

// holds reports whether the store holds an object whose spec satisfies f.
func (s *store) holds(kind, name string, f func(spec string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind+"/"+name]
	return found && f(o.spec)
}

// setState changes the state in the entry and returns the time of the ack.
func (t *target) setState(state string) time.Time {
	t.mu.Lock()
	t.state = state
	t.mu.Unlock()
	return t.beat()
}

// kill ends the process with all its connections.
func (t *target) kill() {
	t.mu.Lock()
	server := t.server
	t.mu.Unlock()
	_ = server.Close()
}

// stop ends the process once the requests that it has taken are answered.
func (t *target) stop() {
	t.mu.Lock()
	server := t.server
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

func signature(id string) string { return "3e1b.07.5a2.600.0." + id }

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	running := t.running
	t.mu.Unlock()
	h := rw.Header()
	h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d,100", min(running, t.slots), t.slots))
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", t.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if t.onArrival != nil {
		t.onArrival(t, r)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		h.Set("X-Instance-Id", t.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !t.takeSlot() {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.freeSlot()
	h.Set("X-Server-Signature", signature(t.id))
	if t.onRun != nil && t.onRun(t, rw, r, body) {
		return
	}
	time.Sleep(t.work)
	_, _ = fmt.Fprintf(rw, "%s of %s ran %s %s", t.id, t.service, r.Method, r.RequestURI)
}

func (t *target) takeSlot() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.slots {
		return false
	}
	t.running++
	return true
}

func (t *target) freeSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = max(0, t.running-1)
}
