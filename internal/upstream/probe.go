package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// probeIdle is how long a connection may have been unused and still carry a probe.
	probeIdle = 8 * time.Second
	// maxProbeBody bounds the answer of a probe, in bytes.
	maxProbeBody = 4 << 10
)

// WrongTargetError reports that another target answers at an address.
type WrongTargetError struct {
	Want model.TargetID
	Got  string
}

func (e *WrongTargetError) Error() string {
	return fmt.Sprintf("target %s: %q answers at its address", e.Want, e.Got)
}

// NoLoadError reports a probe whose answer tells no load.
type NoLoadError struct {
	Target model.TargetID
	Status int
}

func (e *NoLoadError) Error() string {
	return fmt.Sprintf("target %s: the probe's answer tells no load (status %d)", e.Target, e.Status)
}

// Probe implements routing.LoadProber.
func (c *Client) Probe(ctx context.Context, e *routing.Endpoint, path string) (routing.LoadReport, error) {
	call := Call{Endpoint: e, Method: http.MethodGet, Path: path, Header: quiet.Clone(), MaxIdle: probeIdle, Keep: true}
	result, err := c.Do(ctx, call)
	if err != nil {
		return routing.LoadReport{}, err
	}
	defer func() { _ = result.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(result.Body, maxProbeBody)); err != nil {
		return routing.LoadReport{}, err
	}
	if name := result.Header.Get(c.signals.Instance); name != "" && name != string(e.Target.ID) {
		return routing.LoadReport{}, &WrongTargetError{Want: e.Target.ID, Got: name}
	}
	report, ok := c.signals.Load(result.Header)
	if !ok {
		return routing.LoadReport{}, &NoLoadError{Target: e.Target.ID, Status: result.Status}
	}
	report.Healthy = result.Status == http.StatusOK
	return report, nil
}

// quiet keeps net/http from adding a User-Agent field.
var quiet = http.Header{"User-Agent": {""}}
