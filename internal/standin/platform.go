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

// Platform is a fake platform: it serves the Object API and the instance list over HTTP.
// It is safe for concurrent use.
type Platform struct {
	Objects *Objects

	faults    faultInjector
	mu        sync.Mutex
	instances []store.Instance
}

// Inject replaces the schedule of faults; the new one starts immediately.
func (p *Platform) Inject(s FaultSchedule) { p.faults.follow(s) }

// Stats returns the numbers of calls and of injected faults so far.
func (p *Platform) Stats() Stats { return p.faults.snapshot() }

// NewPlatform returns a platform with an empty store and an empty instance list.
func NewPlatform() *Platform { return &Platform{Objects: NewObjects()} }

// SetInstances replaces the instance list with a copy of list.
func (p *Platform) SetInstances(list []store.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append([]store.Instance{}, list...)
}

// Handler returns the HTTP interface of the platform. PUT /admin/faults takes a
// FaultSchedule and GET /admin/faults returns a Stats, both as JSON.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", p.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", p.write)
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.write)
	mux.HandleFunc("GET /v1/objects", p.list)
	mux.HandleFunc("GET /v1/watch", p.watch)
	mux.HandleFunc("GET /v1/instances", p.getInstances)
	mux.HandleFunc("PUT /v1/instances", p.putInstances)
	mux.HandleFunc("GET /admin/faults", p.getStats)
	mux.HandleFunc("PUT /admin/faults", p.putFaults)
	return mux
}

func (p *Platform) getStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Stats()) }

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var s FaultSchedule
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.Inject(s)
}

// readVersion returns the version of the store that a read sees: the current one, or an
// earlier one if f has stale reads.
func (p *Platform) readVersion(f Faults) store.Version {
	at := p.Objects.Version()
	if p.faults.roll(f.StaleReads, &p.faults.stats.StaleReads) {
		return p.faults.laggingVersion(at)
	}
	return at
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	f := p.faults.current(&p.faults.stats.Reads)
	p.faults.applyBeforeEffect(r, f)
	object, ok := p.Objects.GetAsOf(r.PathValue("key"), p.readVersion(f))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(object.Version))
	_, _ = w.Write(object.Value)
}

// write handles a conditional PUT or DELETE. It takes effect even if its response is
// lost, and later if it is a late write.
func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	f := p.faults.current(&p.faults.stats.Writes)
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxObjectBytes+1))
	if err != nil || len(value) > store.MaxObjectBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p.faults.applyBeforeEffect(r, f)
	key, expect, deleted := r.PathValue("key"), expectedVersion(r.Header), r.Method == http.MethodDelete
	if p.faults.roll(f.LateWrites, &p.faults.stats.LateWrites) {
		time.AfterFunc(time.Duration(f.LateBy), func() { p.Objects.Write(key, expect, value, deleted) })
		panic(http.ErrAbortHandler)
	}
	version, ok := p.Objects.Write(key, expect, value, deleted)
	if p.faults.roll(f.LoseResponses, &p.faults.stats.LostResponses) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(version))
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	f := p.faults.current(&p.faults.stats.Reads)
	p.faults.applyBeforeEffect(r, f)
	batch := p.Objects.SinceAsOf(r.URL.Query().Get("prefix"), 0, p.readVersion(f))
	writeJSON(w, batch)
}

// watch responds with the changes after a cursor, with 410 if the cursor has expired, or
// with an empty batch after the wait that the client asked for.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	f := p.faults.current(&p.faults.stats.Watches)
	p.faults.applyBeforeEffect(r, f)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	if p.Objects.CursorExpired(store.Version(after)) {
		w.WriteHeader(http.StatusGone)
		return
	}
	wait, _ := time.ParseDuration(query.Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		wake := p.Objects.NextWrite()
		batch := p.Objects.SinceAsOf(query.Get("prefix"), store.Version(after), p.readVersion(f))
		if len(batch.Changes) > 0 {
			p.respondToWatch(w, f, batch)
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

func (p *Platform) respondToWatch(w http.ResponseWriter, f Faults, batch store.Batch) {
	if p.faults.roll(f.DropWatches, &p.faults.stats.DroppedWatches) {
		panic(http.ErrAbortHandler)
	}
	if f.ReorderWatches {
		p.faults.shuffle(&batch)
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

// expectedVersion returns the version in If-Match, or 0 without a valid one.
func expectedVersion(h http.Header) store.Version {
	v, _ := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	return store.Version(v)
}

// etag returns a version as the value of an ETag header.
func etag(v store.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
