package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Meters records the metrics of a Dispatcher. It is safe for concurrent use.
type Meters struct{ set *metrics.Set }

// NewMeters returns Meters that register their metrics in set.
func NewMeters(set *metrics.Set) *Meters { return &Meters{set: set} }

func (m *Meters) countRefused(service model.ServiceName, cause Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_refused_total{service=%q,cause=%q}", string(service), string(cause))).Inc()
}

func (m *Meters) observeResponse(service model.ServiceName, class model.Class, status int, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_answered_total{service=%q,class=%q,status=\"%d\"}", string(service), class.String(), status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("redwingpoint_answer_seconds{service=%q,class=%q}", string(service), class.String())).Update(elapsed.Seconds())
}

func (m *Meters) countRetry(service model.ServiceName, cause Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_resent_total{service=%q,cause=%q}", string(service), string(cause))).Inc()
}

func (m *Meters) countRetryDenied(service model.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_resend_denied_total{service=%q}", string(service))).Inc()
}
