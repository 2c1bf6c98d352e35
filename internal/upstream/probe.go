package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// maxProbeIdle is the longest idle time after which a connection is reused for a
	// probe.
	maxProbeIdle = 8 * time.Second
	// maxProbeBody is the largest part in bytes of a probe's response body that is read.
	maxProbeBody = 4 << 10
)

// maxNameBytes is the largest part in bytes of a target's name that an error holds.
const maxNameBytes = 64

// WrongTargetError reports that another target responds at the address of Want. Got is the
// beginning of its name.
type WrongTargetError struct {
	Want model.TargetID
	Got  string
}

func (e *WrongTargetError) Error() string {
	return fmt.Sprintf("target %s: target %q responded at its address", e.Want, e.Got)
}

// NoLoadError reports that the response to a probe has no load report.
type NoLoadError struct {
	Target model.TargetID
	Status int
}

func (e *NoLoadError) Error() string {
	return fmt.Sprintf("target %s: probe response has no load report (status %d)", e.Target, e.Status)
}

// Probe sends a health check to the path of a target and returns the load that the target
// reports. It implements routing.LoadProber. Errors are *CallError, *WrongTargetError and
// *NoLoadError.
func (c *Client) Probe(ctx context.Context, e *routing.Endpoint, path string) (routing.LoadReport, error) {
	call := Call{Endpoint: e, Method: http.MethodGet, Path: path, Header: noUserAgent.Clone(), MaxIdle: maxProbeIdle, KeepAlive: true}
	askedAt := routing.Monotonic()
	response, err := c.Do(ctx, call)
	if err != nil {
		return routing.LoadReport{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBody)); err != nil {
		return routing.LoadReport{}, err
	}
	if name := response.Header.Get(c.protocol.TargetID); name != "" && name != string(e.Target.ID) {
		return routing.LoadReport{}, &WrongTargetError{Want: e.Target.ID, Got: strings.Clone(name[:min(len(name), maxNameBytes)])}
	}
	c.recordHealth(e, response.Header, askedAt)
	report, ok := c.protocol.ParseLoad(response.Header)
	if !ok {
		return routing.LoadReport{}, &NoLoadError{Target: e.Target.ID, Status: response.Status}
	}
	report.Healthy = response.Status == http.StatusOK
	return report, nil
}

// recordHealth records whether a target is cold by its response to a probe sent at askedAt.
func (c *Client) recordHealth(e *routing.Endpoint, h http.Header, askedAt time.Duration) {
	if c.protocol.ParseColdTime == nil {
		return
	}
	coldFor := c.protocol.ParseColdTime(h)
	if e.RecordHealth(coldFor, askedAt, routing.Monotonic()) && c.OnCold != nil {
		c.OnCold(e, coldFor)
	}
}

// noUserAgent keeps net/http from adding a User-Agent field.
var noUserAgent = http.Header{"User-Agent": {""}}
