package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Metrics records the metrics of a Dispatcher. It is safe for concurrent use.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns Metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

func (m *Metrics) countRefused(service model.ServiceName, cause Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_refused_total{service=%q,cause=%q}", string(service), string(cause))).Inc()
}

func (m *Metrics) observeResponse(service model.ServiceName, class model.Class, status int, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_answered_total{service=%q,class=%q,status=\"%d\"}", string(service), class.String(), status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("redwingpoint_answer_seconds{service=%q,class=%q}", string(service), class.String())).Update(elapsed.Seconds())
}

func (m *Metrics) countRetry(service model.ServiceName, cause Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_resent_total{service=%q,cause=%q}", string(service), string(cause))).Inc()
}

func (m *Metrics) countSecondRun(service model.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_second_runs_total{service=%q}", string(service))).Inc()
}

func (m *Metrics) countScheduled(service model.ServiceName, priority int, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_scheduled_total{service=%q,priority=\"%d\",outcome=%q}", string(service), priority, outcome)).Inc()
}

func (m *Metrics) countTargetEnded(service model.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_targets_ended_total{service=%q}", string(service))).Inc()
}

func (m *Metrics) countRetryDenied(service model.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_resend_denied_total{service=%q}", string(service))).Inc()
}
