//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: lists and watches of all kinds, without pages. Reads
// with allow_stale are as new as the others.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	events   []event
	changed  chan struct{}
}

type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

func (p *play) startStore() (*store, error) {
	l, err := listen("127.0.0.1")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), revision: 1, objects: make(map[string]object), changed: make(chan struct{})}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	p.onClose(func() { _ = server.Close() })
	return s, nil
}

// put writes an object; a nil spec deletes it.
func (s *store) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	var o object
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if spec == nil {
		o.Spec = json.RawMessage("null")
		delete(s.objects, kind+"/"+name)
	} else {
		o.Spec, _ = json.Marshal(spec)
		s.objects[kind+"/"+name] = o
	}
	s.events = append(s.events, event{Object: o, Deleted: spec == nil, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, q := strings.TrimPrefix(r.URL.Path, "/objects/"), r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	if q.Get("watch") == "" {
		s.mu.Lock()
		items := []object{}
		for path, o := range s.objects {
			if strings.HasPrefix(path, kind+"/") {
				items = append(items, o)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "as_of": asOf})
		return
	}
	after, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// rule is a route of a configuration.
type rule struct {
	host, prefix, kind, service string
	objectiveMs, timeoutMs      int
}

// configuration returns the spec of config/main.
func configuration(version int, rules ...rule) any {
	type m = map[string]any
	var listeners, clusters []any
	seen := make(map[string]bool)
	for i, r := range rules {
		listeners = append(listeners, m{"host": r.host, "rules": []any{m{
			"name": fmt.Sprintf("r-%d", i), "type": r.kind, "latency_slo_ms": r.objectiveMs, "priority": 1, "public": false,
			"match":  m{"path_prefix": r.prefix},
			"action": m{"service": r.service, "timeout_ms": r.timeoutMs, "max_attempts": 2, "allowed_regions": []any{}},
		}}})
		if !seen[r.service] {
			seen[r.service] = true
			clusters = append(clusters, m{"name": r.service, "health_path": "/health", "max_connections": 240, "protocol": "h1", "tls": false})
		}
	}
	return m{"version": version, "listeners": listeners, "clusters": clusters, "limits": m{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// server is one target of a service. It runs each request for the given time.
type server struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	born                    int64
	// onRun, if set, is called with each request that begins to run.
	onRun func(id string)
	// answer, if set, writes the answer to a request that has run; the signature is set.
	answer func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	sequence int
	running  int
}

func (p *play) startServer(s *server) error {
	l, err := listen("127.0.0.1")
	if err != nil {
		return err
	}
	s.addr, s.born = l.Addr().String(), time.Now().UnixMilli()
	h := &http.Server{Handler: s}
	go func() { _ = h.Serve(l) }()
	p.onClose(func() { _ = h.Close() })
	return nil
}

// entry returns the registration of the server.
func (s *server) entry(state string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d,100", s.running, s.slots))
	if r.URL.Path == "/health" {
		s.mu.Unlock()
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	expected := r.Header.Get("X-Expect-Instance")
	full := s.running >= s.slots
	switch {
	case expected != "" && expected != s.id:
		s.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		s.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	if s.onRun != nil {
		s.onRun(id)
	}
	time.Sleep(s.work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	w.Header().Set("X-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	if s.answer != nil {
		s.answer(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s", s.id, id)
}

// await waits until a gateway says that it is ready.
func (g *gateway) await(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if g.saysReady() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", g.name, timeout)
}

// saysReady reports whether a readiness check on a new connection is answered 200 within a
// second.
func (g *gateway) saysReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
