package events

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

func TestCountsEventsByKind(t *testing.T) {
	set := metrics.NewSet()
	c := NewCountingRecorder(Discard, set)
	for range 3 {
		c.Record(Event{Kind: RequestRetried})
	}
	c.Record(Event{Kind: ClaimUnknown})
	var out bytes.Buffer
	set.WritePrometheus(&out)
	const want = `redwingpoint_events_total{kind="claim-unknown"} 1
redwingpoint_events_total{kind="request-retried"} 3
`
	if out.String() != want {
		t.Errorf("got %s", out.String())
	}
}
