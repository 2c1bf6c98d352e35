package entry

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"redwingpoint.org/redwingpoint/internal/model"
)

// serviceMetrics are the metrics of one service, looked up once.
type serviceMetrics struct {
	duration        *metrics.Histogram
	retries         *metrics.Counter
	retriesDenied   *metrics.Counter
	hedges          *metrics.Counter
	hedgesWon       *metrics.Counter
	hedgesDenied    *metrics.Counter
	crossed         *metrics.Counter
	crossingsDenied *metrics.Counter
}

func newServiceMetrics(p *model.Policy, svc *service) *serviceMetrics {
	label := fmt.Sprintf("{service=%q}", string(p.Service))
	counter := func(name string) *metrics.Counter { return metrics.GetOrCreateCounter(name + label) }
	metrics.GetOrCreateGauge("redwingpoint_queue_depth"+label, func() float64 { return float64(svc.queue.Depth()) })
	return &serviceMetrics{
		duration:        metrics.GetOrCreateHistogram(fmt.Sprintf("redwingpoint_request_duration_seconds{service=%q,class=%q}", string(p.Service), p.Class.String())),
		retries:         counter("redwingpoint_retries_total"),
		retriesDenied:   counter("redwingpoint_retry_budget_denials_total"),
		hedges:          counter("redwingpoint_hedges_total"),
		hedgesWon:       counter("redwingpoint_hedges_won_total"),
		hedgesDenied:    counter("redwingpoint_hedge_budget_denials_total"),
		crossed:         counter("redwingpoint_cross_region_bytes_total"),
		crossingsDenied: counter("redwingpoint_cross_region_denials_total"),
	}
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
