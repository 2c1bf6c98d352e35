package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Meters counts what a dispatcher does. It is safe for concurrent use.
type Meters struct{ set *metrics.Set }

// NewMeters returns meters in a set.
func NewMeters(set *metrics.Set) *Meters { return &Meters{set: set} }

func (m *Meters) refused(service model.ServiceName, cause Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_refused_total{service=%q,cause=%q}", string(service), string(cause))).Inc()
}

func (m *Meters) answered(service model.ServiceName, class model.Class, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_answered_total{service=%q,class=%q,status=\"%d\"}", string(service), class.String(), status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("redwingpoint_answer_seconds{service=%q,class=%q}", string(service), class.String())).Update(took.Seconds())
}

func (m *Meters) resent(service model.ServiceName, cause Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_resent_total{service=%q,cause=%q}", string(service), string(cause))).Inc()
}

func (m *Meters) budgetSpent(service model.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_resend_denied_total{service=%q}", string(service))).Inc()
}
