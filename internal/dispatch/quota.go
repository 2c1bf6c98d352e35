package dispatch

import (
	"context"
	"errors"
	"net/http"

	"redwingpoint.org/redwingpoint/internal/limit"
)

// acquirePermit takes a permit of the organisation's quota for the next attempt, unless the
// request has one that may still be used. It returns the reply if there is none, or nil. One
// that expired while the request waited goes back.
func (f *forwarder) acquirePermit(ctx context.Context) *localReply {
	o := f.organisation
	if o == nil || o.RatePerSecond == 0 || f.d.Quotas == nil || (f.permit != nil && !f.permit.Expired()) {
		return nil
	}
	f.releasePermit()
	permit, err := f.d.Quotas.Acquire(ctx, o.Name, limit.Quota{Revision: f.revision, PerSecond: o.RatePerSecond, Burst: o.Burst})
	if err == nil {
		f.permit = permit
		return nil
	}
	var exceeded *limit.QuotaExceededError
	if errors.As(err, &exceeded) {
		return &localReply{status: http.StatusTooManyRequests, cause: CauseQuotaExceeded, retryAfter: max(exceeded.RetryAfter, minRetryAfter)}
	}
	return &localReply{status: http.StatusServiceUnavailable, cause: CauseQuotaUnknown, retryAfter: quotaUnknownRetryAfter}
}

// releasePermit gives the permit back, if there is one, because it will not be used.
func (f *forwarder) releasePermit() {
	if f.permit != nil {
		f.permit.Release()
		f.permit = nil
	}
}
