package probe

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// rawResponse returns a handler that writes the bytes of its response itself.
func rawResponse(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

func TestProbeReadsHealthEndpoint(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    health.ProbeResult
	}{
		{"healthy", func(http.ResponseWriter, *http.Request) {}, health.ProbeOK},
		{"unhealthy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, health.ProbeFailed},
		{"draining", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(upstream.HeaderDraining, "true") }, health.ProbeDraining},
		{"status 000", rawResponse("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"), health.ProbeFailed},
		{"status 101", rawResponse("HTTP/1.1 101 Switching Protocols\r\n\r\n"), health.ProbeFailed},
		{"broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, health.ProbeFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.HandleFunc(upstream.HealthPath, test.handler)
			server := httptest.NewServer(mux)
			defer server.Close()
			target := model.Target{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
			if got := NewHTTP().Probe(t.Context(), target); got != test.want {
				t.Errorf("probe gave %d, want %d", got, test.want)
			}
			server.Close()
			if got := NewHTTP().Probe(t.Context(), target); got != health.ProbeFailed {
				t.Errorf("probe of a closed port gave %d", got)
			}
		})
	}
}
