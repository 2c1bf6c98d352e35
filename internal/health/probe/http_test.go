package probe

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

func TestProbeReadsHealthEndpoint(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    health.ProbeResult
	}{
		{"healthy", func(http.ResponseWriter, *http.Request) {}, health.ProbeOK},
		{"unhealthy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, health.ProbeFailed},
		{"draining", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(upstream.HeaderDraining, "true") }, health.ProbeDraining},
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
