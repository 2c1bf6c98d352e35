package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
)

// TestStreamedBodyReachesNoTargetInPart guards against a retry of an idempotent request
// whose body is too large to be buffered: the first target has consumed the stream, so a
// second one would take the empty rest of a chunked body for the whole body.
func TestStreamedBodyReachesNoTargetInPart(t *testing.T) {
	const size = maxBufferedBody + 1
	var partial []int64
	receive := func(r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil && n != size {
			partial = append(partial, n)
		}
	}
	f := newFixture(t, model.Idempotent,
		func(w http.ResponseWriter, r *http.Request) { receive(r); fails(w, r) },
		func(w http.ResponseWriter, r *http.Request) { receive(r); succeeds(w, r) })
	req := httptest.NewRequest(http.MethodPost, "/a/", io.MultiReader(strings.NewReader(strings.Repeat("x", size))))
	req.Host = "h"
	req.Header.Set("Id", "request-1")
	resp := f.Serve(context.Background(), &httpserver.Request{
		HTTP: req, RequestTarget: "/a/", Path: "/a/", ReceivedAt: time.Now(), BodyDeadline: func(time.Time) {},
	})
	if len(partial) > 0 {
		t.Errorf("a target took %v of %d bytes for the whole body; the caller got status %d", partial, size, resp.Status)
	}
}
