package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/store"
)

// Platform serves the Object API and the instance list over HTTP.
type Platform struct {
	Objects *Objects

	faults    injector
	mu        sync.Mutex
	instances []store.Instance
}

// Inject follows a script of faults from now on.
func (p *Platform) Inject(s Script) { p.faults.set(s) }

// Tally returns the calls and the faults so far.
func (p *Platform) Tally() Tally { return p.faults.counts() }

// NewPlatform returns a platform with an empty store and an empty instance list.
func NewPlatform() *Platform { return &Platform{Objects: NewObjects()} }

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(list []store.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append([]store.Instance{}, list...)
}

// Handler returns the HTTP interface of the platform. PUT /admin/faults takes a
// Script, GET /admin/faults returns a Tally.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", p.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", p.write)
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.write)
	mux.HandleFunc("GET /v1/objects", p.list)
	mux.HandleFunc("GET /v1/watch", p.watch)
	mux.HandleFunc("GET /v1/instances", p.getInstances)
	mux.HandleFunc("PUT /v1/instances", p.putInstances)
	mux.HandleFunc("GET /admin/faults", p.getTally)
	mux.HandleFunc("PUT /admin/faults", p.putFaults)
	return mux
}

func (p *Platform) getTally(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Tally()) }

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var s Script
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.Inject(s)
}

// replica returns the version that a read is answered from.
func (p *Platform) replica(f Faults) store.Version {
	at := p.Objects.Version()
	if p.faults.hit(f.StaleReads, &p.faults.tally.Stale) {
		return p.faults.lag(at)
	}
	return at
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	f := p.faults.current(&p.faults.tally.Reads)
	p.faults.before(r, f)
	object, ok := p.Objects.GetAsOf(r.PathValue("key"), p.replica(f))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(object.Version))
	_, _ = w.Write(object.Value)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	f := p.faults.current(&p.faults.tally.Writes)
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxObjectBytes+1))
	if err != nil || len(value) > store.MaxObjectBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p.faults.before(r, f)
	key, expect, deleted := r.PathValue("key"), expected(r.Header), r.Method == http.MethodDelete
	if p.faults.hit(f.LateWrites, &p.faults.tally.Late) {
		time.AfterFunc(time.Duration(f.LateBy), func() { p.Objects.Write(key, expect, value, deleted) })
		panic(http.ErrAbortHandler)
	}
	version, ok := p.Objects.Write(key, expect, value, deleted)
	if p.faults.hit(f.LoseAnswers, &p.faults.tally.Lost) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	f := p.faults.current(&p.faults.tally.Reads)
	p.faults.before(r, f)
	batch, _ := p.Objects.SinceAsOf(r.URL.Query().Get("prefix"), 0, p.replica(f))
	writeJSON(w, batch)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	f := p.faults.current(&p.faults.tally.Watches)
	p.faults.before(r, f)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	if p.Objects.CursorGone(store.Version(after)) {
		w.WriteHeader(http.StatusGone)
		return
	}
	wait, _ := time.ParseDuration(query.Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		batch, wake := p.Objects.SinceAsOf(query.Get("prefix"), store.Version(after), p.replica(f))
		if len(batch.Changes) > 0 {
			p.answerWatch(w, f, batch)
			return
		}
		select {
		case <-wake:
		case <-timeout.C:
			writeJSON(w, batch)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) answerWatch(w http.ResponseWriter, f Faults, batch store.Batch) {
	if p.faults.hit(f.DropWatches, &p.faults.tally.Cut) {
		panic(http.ErrAbortHandler)
	}
	if f.ReorderWatches {
		p.faults.reorder(&batch)
	}
	writeJSON(w, batch)
}

func (p *Platform) getInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.instances)
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var list []store.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetInstances(list)
}

func expected(h http.Header) store.Version {
	v, _ := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	return store.Version(v)
}

func etag(v store.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
