package operator

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
)

// getMetrics responds with the metrics of this instance and of the Go process in the
// Prometheus text format.
func (s *Server) getMetrics(c *gin.Context) {
	if s.Metrics != nil {
		s.Metrics.WritePrometheus(c.Writer)
	}
	s.gauges().WritePrometheus(c.Writer)
	metrics.WritePrometheus(c.Writer, true)
}

// gauges returns the metrics whose values are computed for each scrape.
func (s *Server) gauges() *metrics.Set {
	set := metrics.NewSet()
	addGauge := func(name string, value float64) { set.NewGauge(name, func() float64 { return value }) }
	addGauge("redwingpoint_config_revision", float64(s.Config.Revision()))
	addGauge("redwingpoint_config_exceptions", float64(len(s.activeExceptions())))
	addGauge("redwingpoint_fleet_members", float64(len(s.Members.Live())))
	addGauge("redwingpoint_quarantined_requests", float64(len(s.quarantinedRequests())))
	ready := 0.0
	if s.Ready() {
		ready = 1
	}
	addGauge("redwingpoint_ready", ready)
	if s.ControlBudget != nil {
		spent, denied := s.ControlBudget.Usage()
		addGauge("redwingpoint_measuring_bytes_total", float64(spent))
		addGauge("redwingpoint_measuring_denied_total", float64(denied))
	}
	if snapshot := s.Config.Current(); snapshot != nil && !snapshot.Expiry().IsZero() {
		addGauge("redwingpoint_config_next_expiry_seconds", time.Until(snapshot.Expiry()).Seconds())
	}
	return set
}
