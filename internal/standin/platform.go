package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/platform"
)

// Platform serves the Object API and the instance list over HTTP.
type Platform struct {
	Objects *Objects

	mu        sync.Mutex
	instances []platform.Instance
}

// NewPlatform returns a platform with an empty store and an empty instance list.
func NewPlatform() *Platform { return &Platform{Objects: NewObjects()} }

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(list []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append([]platform.Instance{}, list...)
}

// Handler returns the HTTP interface of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", p.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", p.write)
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.write)
	mux.HandleFunc("GET /v1/objects", p.list)
	mux.HandleFunc("GET /v1/watch", p.watch)
	mux.HandleFunc("GET /v1/instances", p.getInstances)
	mux.HandleFunc("PUT /v1/instances", p.putInstances)
	return mux
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	object, ok := p.Objects.Get(r.PathValue("key"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(object.Version))
	_, _ = w.Write(object.Value)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxObjectBytes+1))
	if err != nil || len(value) > platform.MaxObjectBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expect := expected(r.Header)
	version, ok := p.Objects.Write(r.PathValue("key"), expect, value, r.Method == http.MethodDelete)
	w.Header().Set("ETag", etag(version))
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	batch, _ := p.Objects.Since(r.URL.Query().Get("prefix"), 0)
	writeJSON(w, batch)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		batch, wake := p.Objects.Since(query.Get("prefix"), platform.Version(after))
		if len(batch.Changes) > 0 {
			writeJSON(w, batch)
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

func (p *Platform) getInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.instances)
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var list []platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetInstances(list)
}

func expected(h http.Header) platform.Version {
	v, _ := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	return platform.Version(v)
}

func etag(v platform.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
