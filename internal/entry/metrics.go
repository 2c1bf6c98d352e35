package entry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"redwingpoint.org/redwingpoint/internal/model"
)

// serviceMetrics are the metrics of one service, looked up once.
type serviceMetrics struct {
	duration  *metrics.Histogram
	retries   *metrics.Counter
	hedges    *metrics.Counter
	hedgesWon *metrics.Counter
	crossed   *metrics.Counter
}

func newServiceMetrics(p *model.Policy, svc *service) *serviceMetrics {
	label := fmt.Sprintf("{service=%q}", string(p.Service))
	m := &serviceMetrics{
		duration:  metrics.GetOrCreateHistogram(fmt.Sprintf("redwingpoint_request_duration_seconds{service=%q,class=%q}", string(p.Service), p.Class.String())),
		retries:   metrics.GetOrCreateCounter("redwingpoint_retries_total" + label),
		hedges:    metrics.GetOrCreateCounter("redwingpoint_hedges_total" + label),
		hedgesWon: metrics.GetOrCreateCounter("redwingpoint_hedges_won_total" + label),
		crossed:   metrics.GetOrCreateCounter("redwingpoint_cross_region_bytes_total" + label),
	}
	gauge := func(name string, read func() float64) { metrics.GetOrCreateGauge(name+label, read) }
	gauge("redwingpoint_queue_depth", func() float64 { return float64(svc.queue.Depth()) })
	gauge("redwingpoint_retry_budget_denials", func() float64 { return float64(svc.retries.Denied()) })
	gauge("redwingpoint_hedge_budget_denials", func() float64 { return float64(svc.hedges.Denied()) })
	gauge("redwingpoint_cross_region_denials", func() float64 { return float64(svc.volume.Denied()) })
	return m
}

// refusalCounters finds the counter of a refusal code. Codes are few and fixed.
var refusalCounters sync.Map

func countRefusal(code Code) {
	if counter, ok := refusalCounters.Load(code); ok {
		counter.(*metrics.Counter).Inc()
		return
	}
	counter := metrics.GetOrCreateCounter(fmt.Sprintf("redwingpoint_refusals_total{code=%q}", string(code)))
	refusalCounters.Store(code, counter)
	counter.Inc()
}
