package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"redwingpoint.org/redwingpoint/internal/store"
)

// TestWatchMissesNoWrite guards against a watch that is woken by one write and misses another that
// follows at once.
func TestWatchMissesNoWrite(t *testing.T) {
	const rounds, watches, writes = 200, 100, 8
	p := NewPlatform()
	handler := p.Handler()
	watch := func(after store.Version) (batch store.Batch) {
		r := httptest.NewRequest(http.MethodGet, fmt.Sprintf("/v1/watch?prefix=config/&after=%d&wait=2s", after), nil)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		_ = json.Unmarshal(w.Body.Bytes(), &batch)
		return batch
	}
	for round := range rounds {
		changes := make(chan int, watches)
		after := p.Objects.Version()
		for range watches {
			go func() { changes <- len(watch(after).Changes) }()
		}
		for n := range writes {
			p.Objects.Write(fmt.Sprint("history/", round, "/", n), 0, []byte("1"), false)
		}
		p.Objects.Write(fmt.Sprint("config/", round), 0, []byte("1"), false)
		for range watches {
			if n := <-changes; n != 1 {
				t.Fatalf("round %d: a watch ended with %d changes", round, n)
			}
		}
	}
}
