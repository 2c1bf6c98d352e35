// Package probe asks the health endpoints of targets over HTTP.
package probe

import (
	"context"
	"net/http"

	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// HTTP is a health.Prober. Each probe takes a new connection, so that it shows
// whether the target still accepts any.
type HTTP struct{ transport *http.Transport }

// NewHTTP returns a prober.
func NewHTTP() *HTTP {
	return &HTTP{transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// Probe implements health.Prober.
func (p *HTTP) Probe(ctx context.Context, target model.Target) health.ProbeResult {
	url := "http://" + target.Addr.String() + upstream.HealthPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return health.ProbeFailed
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return health.ProbeFailed
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.Header.Get(upstream.HeaderDraining) == "true":
		return health.ProbeDraining
	case resp.StatusCode < http.StatusMultipleChoices:
		return health.ProbeOK
	default:
		return health.ProbeFailed
	}
}
