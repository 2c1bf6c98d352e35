package reverseproxy

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"redwingpoint.org/redwingpoint/internal/model"
)

// serviceMetrics holds the metrics of one service, so that they are looked up
// only once.
type serviceMetrics struct {
	duration          *metrics.Histogram
	retries           *metrics.Counter
	retriesDenied     *metrics.Counter
	hedges            *metrics.Counter
	hedgesWon         *metrics.Counter
	hedgesDenied      *metrics.Counter
	crossRegionBytes  *metrics.Counter
	crossRegionDenied *metrics.Counter
}

func newServiceMetrics(p *model.Policy, svc *serviceState) *serviceMetrics {
	label := fmt.Sprintf("{service=%q}", string(p.Service))
	counter := func(name string) *metrics.Counter { return metrics.GetOrCreateCounter(name + label) }
	metrics.GetOrCreateGauge("redwingpoint_queue_depth"+label, func() float64 { return float64(svc.queue.Depth()) })
	return &serviceMetrics{
		duration:          metrics.GetOrCreateHistogram(fmt.Sprintf("redwingpoint_request_duration_seconds{service=%q,class=%q}", string(p.Service), p.Class.String())),
		retries:           counter("redwingpoint_retries_total"),
		retriesDenied:     counter("redwingpoint_retry_budget_denials_total"),
		hedges:            counter("redwingpoint_hedges_total"),
		hedgesWon:         counter("redwingpoint_hedges_won_total"),
		hedgesDenied:      counter("redwingpoint_hedge_budget_denials_total"),
		crossRegionBytes:  counter("redwingpoint_cross_region_bytes_total"),
		crossRegionDenied: counter("redwingpoint_cross_region_denials_total"),
	}
}

// refusalCounters maps a Code to its counter. The set of codes is small and
// fixed.
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
