// Package probe implements probes of targets' health endpoints over HTTP.
package probe

import (
	"context"
	"net"
	"net/http"

	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/responsehead"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// HTTP is a health.Prober. Every probe opens a new connection, to detect targets that
// no longer accept any. It is safe for concurrent use.
type HTTP struct{ transport *http.Transport }

// NewHTTP returns an HTTP prober.
func NewHTTP() *HTTP {
	transport := responsehead.NewTransport(new(net.Dialer).DialContext)
	transport.DisableKeepAlives = true
	return &HTTP{transport: transport}
}

// Probe implements health.Prober. Any error counts as health.ProbeFailed.
func (p *HTTP) Probe(ctx context.Context, target model.Target) health.ProbeResult {
	url := "http://" + target.Addr.String() + upstream.HealthPath
	req, err := http.NewRequestWithContext(responsehead.WithRequest(ctx), http.MethodGet, url, nil)
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
