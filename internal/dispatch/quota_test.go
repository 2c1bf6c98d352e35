package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// countingQuotas grants a number of permits and counts what becomes of them.
type countingQuotas struct {
	left               int
	denial             error
	acquired, released int
	// known is the result of Check.
	known error
	// expires is set if the first permit expires before the second attempt.
	expires bool
}

func (q *countingQuotas) Check(model.OrganisationName) error { return q.known }

func (q *countingQuotas) Acquire(_ context.Context, name model.OrganisationName, quota limit.Quota) (limit.QuotaPermit, error) {
	if q.left == 0 || name != "org" || quota != (limit.Quota{Revision: 3, PerSecond: 2, Burst: 1}) {
		return nil, q.denial
	}
	q.left--
	q.acquired++
	return &countedPermit{quotas: q}, nil
}

type countedPermit struct{ quotas *countingQuotas }

func (p *countedPermit) Expired() bool {
	expired := p.quotas.expires
	p.quotas.expires = false
	return expired
}

func (p *countedPermit) Release() { p.quotas.released++ }

// TestQuotaIsChargedForWhatMayRun checks how many permits a request takes and gives back.
func TestQuotaIsChargedForWhatMayRun(t *testing.T) {
	exceeded, unknown := &limit.QuotaExceededError{RetryAfter: 2 * time.Second}, &limit.QuotaUnknownError{}
	for name, c := range map[string]struct {
		quotas       countingQuotas
		first        http.HandlerFunc
		full         bool
		status       int
		retryAfter   string
		charged      int
		sentTwice    bool
		withoutQuota bool
	}{
		"served":                    {quotas: countingQuotas{left: 1}, first: showsCaller, status: http.StatusOK, charged: 1},
		"declined, then served":     {quotas: countingQuotas{left: 1}, first: declines, status: http.StatusOK, charged: 1, sentTwice: true},
		"may have run twice":        {quotas: countingQuotas{left: 2}, first: hangsUp, status: http.StatusOK, charged: 2, sentTwice: true},
		"may have run, then denied": {quotas: countingQuotas{left: 1, denial: exceeded}, first: hangsUp, status: http.StatusBadGateway, charged: 1},
		"known as exceeded":         {quotas: countingQuotas{left: 1, known: exceeded}, first: showsCaller, status: http.StatusTooManyRequests, retryAfter: "2.000"},
		"exceeded":                  {quotas: countingQuotas{denial: exceeded}, first: showsCaller, status: http.StatusTooManyRequests, retryAfter: "2.000"},
		"unknown":                   {quotas: countingQuotas{denial: unknown}, first: showsCaller, status: http.StatusServiceUnavailable, retryAfter: "0.100"},
		"targets full":              {quotas: countingQuotas{left: 1}, first: showsCaller, full: true, status: http.StatusServiceUnavailable},
		"declined, then expired":    {quotas: countingQuotas{left: 2, expires: true}, first: declines, status: http.StatusOK, charged: 2, sentTwice: true},
		"declined, then denied":     {quotas: countingQuotas{left: 1, expires: true, denial: exceeded}, first: declines, status: http.StatusTooManyRequests, charged: 1},
		"no limit":                  {quotas: countingQuotas{denial: exceeded}, first: showsCaller, status: http.StatusOK, withoutQuota: true},
	} {
		f := newKeyedFixture(t, c.first, showsCaller)
		config := keyedConfig(3, "org", "secret")
		if !c.withoutQuota {
			config.Organisations[0].RatePerSecond, config.Organisations[0].Burst = 2, 1
		}
		for _, r := range config.Rules {
			r.Class, r.Objective = model.Idempotent, 100*time.Millisecond
		}
		f.applyRoutes(t, config)
		f.Routes.Confirm(route.FromStore, time.Now())
		f.Quotas, f.picker.full = &c.quotas, c.full
		if c.full {
			f.picker.endpoints = f.picker.endpoints[:0]
		}
		got := f.sendAs("/a/", "", "Bearer secret")
		if got.Status != c.status || c.retryAfter != "" && got.Header.Get("Retry-After") != c.retryAfter {
			t.Errorf("%s: status %d, retry after %q", name, got.Status, got.Header.Get("Retry-After"))
		}
		if charged := c.quotas.acquired - c.quotas.released; charged != c.charged {
			t.Errorf("%s: %d permits were used, want %d", name, charged, c.charged)
		}
		if sent := f.received[1].Load() > 0; sent != c.sentTwice {
			t.Errorf("%s: sent to a second target: %t", name, sent)
		}
	}
}
