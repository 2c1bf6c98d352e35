package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// respondsWith responds as a target that has run the request, with the given status and
// number of bytes.
func respondsWith(status, size int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, strings.Repeat("x", size))
	}
}

// TestStatusOfARefusalIsNotPassedOn guards against a target that runs a request and answers
// with a status that promises callers that it didn't run: the order is sent again and runs
// twice.
func TestStatusOfARefusalIsNotPassedOn(t *testing.T) {
	sizes := map[string]int{"without body": 0, "short": 10, "streamed": 2 * responsePrefixBytes}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, size := range sizes {
			for _, class := range []model.Class{model.NonIdempotent, model.Upload} {
				f := newFixture(t, class, respondsWith(status, size), succeeds)
				a := f.send(context.Background(), "/a/", "x")
				if a.Status != http.StatusBadGateway || a.Header.Get("Signed") != "" || a.Header.Get("Retry-After") != "" || f.deliveries() != "1 0" {
					t.Errorf("%s, %d %s: status %d, header %v, deliveries %s", class, status, name, a.Status, a.Header, f.deliveries())
				}
				if n := f.picker.endpoints[0].Load.InFlight(); n != 0 {
					t.Errorf("%s, %d %s: %d exchanges left", class, status, name, n)
				}
			}
			f := newFixture(t, model.Idempotent, respondsWith(status, size), succeeds)
			if a := f.send(context.Background(), "/a/", "x"); a.Status != http.StatusCreated || f.deliveries() != "1 1" {
				t.Errorf("idempotent, %d %s: status %d, deliveries %s", status, name, a.Status, f.deliveries())
			}
			f = newFixture(t, model.Idempotent, respondsWith(status, size))
			if a := f.send(context.Background(), "/a/", "x"); a.Status != http.StatusBadGateway || a.Header.Get("Retry-After") != "" {
				t.Errorf("idempotent, %d %s, no other target: status %d, header %v", status, name, a.Status, a.Header)
			}
		}
	}
}

// TestStatusOfARefusalDoesNotDecideOverASecondRun plays a second run that ends first, with a
// status that promises that it didn't run, while the first one succeeds.
func TestStatusOfARefusalDoesNotDecideOverASecondRun(t *testing.T) {
	f, u := newContendedFixture(t, model.Idempotent, 700*time.Millisecond, 50*time.Millisecond)
	inVirtualTime(t, func(t *testing.T) {
		u.statuses["t1"] = http.StatusTooManyRequests
		response, _ := answerTime(f)
		synctest.Wait()
		if response == nil || response.Header.Get("By") != "t0" || len(u.runs) != 2 {
			t.Errorf("response %+v, runs at %v", response, u.runs)
		}
	})
}
