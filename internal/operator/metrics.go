package operator

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
)

// getMetrics writes the metrics of this instance and of its process in the
// Prometheus text format.
func (s *Server) getMetrics(c *gin.Context) {
	if s.Metrics != nil {
		s.Metrics.WritePrometheus(c.Writer)
	}
	s.gauges().WritePrometheus(c.Writer)
	metrics.WritePrometheus(c.Writer, true)
}

// gauges returns what is read at the moment of the call.
func (s *Server) gauges() *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, value float64) { set.NewGauge(name, func() float64 { return value }) }
	gauge("redwingpoint_config_revision", float64(s.Config.Revision()))
	gauge("redwingpoint_config_exceptions", float64(len(s.exceptions())))
	gauge("redwingpoint_fleet_members", float64(len(s.Members.Live())))
	gauge("redwingpoint_quarantined_requests", float64(len(s.quarantined())))
	ready := 0.0
	if s.Ready() {
		ready = 1
	}
	gauge("redwingpoint_ready", ready)
	if s.Measuring != nil {
		spent, denied := s.Measuring.Usage()
		gauge("redwingpoint_measuring_bytes_total", float64(spent))
		gauge("redwingpoint_measuring_denied_total", float64(denied))
	}
	if snapshot := s.Config.Current(); snapshot != nil && !snapshot.Expiry().IsZero() {
		gauge("redwingpoint_config_next_expiry_seconds", time.Until(snapshot.Expiry()).Seconds())
	}
	return set
}
