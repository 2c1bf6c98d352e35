//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// staleLook is how often a waiting read of an older state looks for changes.
const staleLook = 5 * time.Millisecond

// store plays the platform's store by PROTOCOL.md, as far as a gateway reads it: lists and
// watches by kind, one revision counter, and reads with allow_stale that may be older.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	objects  map[string]storedObject
	events   []storedEvent
	changed  chan struct{}
	// lag is how old the reads with allow_stale are.
	lag time.Duration
	// cuts counts how often the waiting watches of a kind were cut off, and waiting those that
	// wait now.
	cuts, waiting map[string]int
}

type storedObject struct {
	kind, name string
	revision   uint64
	spec       string
}

type storedEvent struct {
	object  storedObject
	deleted bool
	at      time.Time
}

func (o *storedObject) json() string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":1,"finalizers":[],"deletion_pending":false},"spec":%s,"status":null}`, o.name, o.revision, o.spec)
}

// startStore starts the store on a free port.
func (w *world) startStore() error {
	l, err := net.Listen("tcp", "127.0.31.10:0")
	if err != nil {
		return err
	}
	w.store = &store{addr: l.Addr().String(), revision: 1, objects: make(map[string]storedObject), changed: make(chan struct{}),
		cuts: make(map[string]int), waiting: make(map[string]int)}
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(l) }()
	w.onClose(func() { _ = server.Close() })
	return nil
}

// setLag sets how old the reads with allow_stale are from now on.
func (s *store) setLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// put writes an object and returns the time of the ack. An empty spec deletes it.
func (s *store) put(kind, name, spec string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := storedObject{kind: kind, name: name, revision: s.revision, spec: spec}
	if spec == "" {
		o.spec = "null"
		delete(s.objects, kind+"/"+name)
	} else {
		s.objects[kind+"/"+name] = o
	}
	now := time.Now()
	s.events = append(s.events, storedEvent{object: o, deleted: spec == "", at: now})
	close(s.changed)
	s.changed = make(chan struct{})
	return now
}

// cut cuts off the watches of a kind that wait now: they return nothing further. It returns how
// many there are.
func (s *store) cut(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[kind]++
	close(s.changed)
	s.changed = make(chan struct{})
	n := s.waiting[kind]
	s.waiting[kind] = 0
	return n
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	kind, found := strings.CutPrefix(r.URL.Path, "/objects/")
	if !found || r.Method != http.MethodGet {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	if after := r.URL.Query().Get("watch"); after != "" {
		s.watch(rw, r, kind, after)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []storedObject
	for _, o := range s.objects {
		if o.kind == kind {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b storedObject) int { return strings.Compare(a.name, b.name) })
	var parts []string
	for _, o := range items {
		parts = append(parts, o.json())
	}
	_, _ = fmt.Fprintf(rw, `{"items":[%s],"more":false,"as_of":%d}`, strings.Join(parts, ","), s.revision)
}

// state returns the revision that a read reflects. The caller must hold s.mu.
func (s *store) state(stale bool) uint64 {
	if !stale || s.lag == 0 {
		return s.revision
	}
	until, revision := time.Now().Add(-s.lag), uint64(1)
	for _, e := range s.events {
		if e.at.After(until) {
			break
		}
		revision = e.object.revision
	}
	return revision
}

// watch answers as soon as there is an event, or after the wait.
func (s *store) watch(rw http.ResponseWriter, r *http.Request, kind, afterText string) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	stale := r.URL.Query().Get("allow_stale") == "1"
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	cuts := s.cuts[kind]
	s.waiting[kind]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.cuts[kind] == cuts {
			s.waiting[kind]--
		}
	}()
	for waiting := true; ; {
		s.mu.Lock()
		if s.cuts[kind] != cuts {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		asOf, changed := s.state(stale), s.changed
		var look <-chan time.Time
		if stale && s.lag > 0 {
			look = time.After(staleLook)
		}
		var parts []string
		for _, e := range s.events {
			if e.object.kind == kind && e.object.revision > after && e.object.revision <= asOf {
				parts = append(parts, fmt.Sprintf(`{"deleted":%t,"object":%s}`, e.deleted, e.object.json()))
			}
		}
		s.mu.Unlock()
		if len(parts) > 0 || !waiting {
			_, _ = fmt.Fprintf(rw, `{"events":[%s],"as_of":%d}`, strings.Join(parts, ","), asOf)
			return
		}
		select {
		case <-changed:
		case <-look:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// rule is one rule of a configuration.
type rule struct {
	name, kind, host, prefix, service string
	slo, timeout                      time.Duration
	priority                          int
}

// tenant is a tenant of a configuration.
type tenant struct {
	name, key   string
	rate, burst int
}

// putConfig writes a configuration of the operator.
func (w *world) putConfig(version int, services []string, rules ...rule) {
	w.putTenants(version, services, nil, rules...)
}

// putTenants is like putConfig with tenants, if there are any.
func (w *world) putTenants(version int, services []string, tenants []tenant, rules ...rule) {
	type object = map[string]any
	var listeners, clusters []object
	for _, r := range rules {
		listeners = append(listeners, object{"host": r.host, "rules": []object{{
			"name": r.name, "type": r.kind, "latency_slo_ms": r.slo.Milliseconds(), "priority": r.priority,
			"match":  object{"path_prefix": r.prefix},
			"action": object{"service": r.service, "timeout_ms": r.timeout.Milliseconds(), "max_attempts": 2},
		}}})
	}
	for _, s := range services {
		clusters = append(clusters, object{"name": s, "health_path": "/health", "max_connections": 240, "protocol": "h1", "tls": false})
	}
	document := object{
		"version":   version,
		"limits":    object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": listeners, "clusters": clusters,
	}
	var listed []object
	for _, t := range tenants {
		listed = append(listed, object{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "rate_per_s": t.rate, "burst": t.burst, "allowed_regions": []string{}})
	}
	if len(listed) > 0 {
		document["tenants"] = listed
	}
	raw, _ := json.Marshal(document)
	w.store.put("config", "main", string(raw))
	w.note("operator: configuration %d acknowledged", version)
}
