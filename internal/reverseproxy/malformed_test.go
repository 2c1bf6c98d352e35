package reverseproxy

import (
	"io"
	"net/http"
	"testing"
)

// malformedResponse is a standin.Behavior that answers with a status that is none.
func malformedResponse(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole")
		_ = conn.Close()
	}
}

// TestMalformedResponseIsAFailureOfItsTarget guards against a target whose response is none
// by the protocol: it must neither reach the caller nor end the handler by a panic.
func TestMalformedResponseIsAFailureOfItsTarget(t *testing.T) {
	s := newTestServer(testDocument, nil)
	s.serveTargets(t, "odeslani", 1)[0].SetBehavior(malformedResponse)
	wantProblem(t, s.do(post("/odeslani/batches", "key-1", "x")), http.StatusBadGateway, CodeOutcomeUnknown, OutcomeUnknown)
	targets := s.serveTargets(t, "nahled", 2)
	targets[0].SetBehavior(malformedResponse)
	for range 10 {
		if w := s.do(get("/nahled/letters/7")); w.Code != http.StatusOK {
			t.Errorf("%d %s", w.Code, w.Body)
		}
	}
}
