package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	name     string
	revision uint64
	spec     json.RawMessage
	at       time.Time
	deleted  bool
	kind     string
}

// store is a stand-in of the platform's metadata store with lists and watches. Calls with
// allow_stale=1 see the state of staleness ago.
type store struct {
	addr string

	mu        sync.Mutex
	revision  uint64
	objects   map[string]object
	events    []object
	staleness time.Duration
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), revision: 40, objects: make(map[string]object)}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object, or deletes it if spec is nil. It returns the time of the
// acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	var raw json.RawMessage
	if spec != nil {
		raw, _ = json.Marshal(spec)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{kind: kind, name: name, revision: s.revision, spec: raw, at: time.Now(), deleted: spec == nil}
	if o.deleted {
		delete(s.objects, kind+"/"+name)
	} else {
		s.objects[kind+"/"+name] = o
	}
	s.events = append(s.events, o)
	return o.at
}

func (s *store) setStaleness(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleness = d
}

func (o *object) json() map[string]any {
	return map[string]any{"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": 1, "finalizers": []string{}, "deletion_pending": false}, "spec": o.spec, "status": nil}
}

// ServeHTTP serves GET /objects/KIND.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	kind := strings.TrimPrefix(r.URL.Path, "/objects/")
	if r.Method != http.MethodGet || strings.Contains(kind, "/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if text := r.URL.Query().Get("watch"); text != "" {
		s.watch(w, r, kind, text)
		return
	}
	s.mu.Lock()
	items := []map[string]any{}
	for _, o := range s.objects {
		if o.kind == kind {
			items = append(items, o.json())
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b map[string]any) int {
		return strings.Compare(a["metadata"].(map[string]any)["name"].(string), b["metadata"].(map[string]any)["name"].(string))
	})
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "as_of": asOf})
}

// watch responds as soon as there is an event, or after wait_ms.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	after, _ := strconv.ParseUint(text, 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	stale := r.URL.Query().Get("allow_stale") == "1"
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		events, asOf := s.eventsSince(kind, after, stale)
		if len(events) > 0 || !time.Now().Before(until) {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": max(asOf, after)})
			return
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsSince(kind string, after uint64, stale bool) (events []map[string]any, asOf uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := time.Now()
	if stale {
		seen = seen.Add(-s.staleness)
	}
	events, asOf = []map[string]any{}, 40
	for _, o := range s.events {
		if o.at.After(seen) {
			continue
		}
		asOf = max(asOf, o.revision)
		if o.kind == kind && o.revision > after {
			events = append(events, map[string]any{"object": o.json(), "deleted": o.deleted})
		}
	}
	return events, asOf
}

// rule is one rule of the configuration.
type rule struct {
	name, kind, host, prefix, service string
	timeoutMs, aimMs, attempts        int
}

// putConfig writes the configuration as the operator does.
func (s *store) putConfig(version int, services []string, rules ...rule) time.Time {
	type m = map[string]any
	var listeners, clusters []m
	for _, r := range rules {
		listeners = append(listeners, m{"host": r.host, "rules": []m{{"name": r.name, "type": r.kind, "latency_slo_ms": r.aimMs, "priority": 1,
			"match": m{"path_prefix": r.prefix}, "action": m{"service": r.service, "timeout_ms": r.timeoutMs, "max_attempts": r.attempts}}}})
	}
	for _, name := range services {
		clusters = append(clusters, m{"name": name, "health_path": "/health", "max_connections": 240, "protocol": "h1", "tls": false})
	}
	return s.put("config", "main", m{"version": version, "listeners": listeners, "clusters": clusters,
		"limits": m{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}
