package dispatch

import (
	"context"
	"errors"
	"net/http"

	"redwingpoint.org/redwingpoint/internal/limit"
)

// hasQuota reports whether a quota bounds the request.
func (f *forwarder) hasQuota() bool {
	return f.organisation != nil && f.organisation.RatePerSecond > 0 && f.d.Quotas != nil
}

// checkQuota returns the reply to a request whose organisation is known to have used up its
// quota, before a target is looked for, or nil.
func (f *forwarder) checkQuota() *localReply {
	if !f.hasQuota() || f.permit != nil {
		return nil
	}
	if err := f.d.Quotas.Check(f.organisation.Name); err != nil {
		return quotaReply(err)
	}
	return nil
}

// acquirePermit takes a permit of the organisation's quota for the next attempt, unless the
// request has one that may still be used. It is called right before the send, so that only what
// is sent is charged. It returns the reply if there is no permit, or nil.
func (f *forwarder) acquirePermit(ctx context.Context) *localReply {
	if !f.hasQuota() || (f.permit != nil && !f.permit.Expired()) {
		return nil
	}
	f.permit = nil
	o := f.organisation
	permit, err := f.d.Quotas.Acquire(ctx, o.Name, limit.Quota{Revision: f.revision, PerSecond: o.RatePerSecond, Burst: o.Burst})
	if err != nil {
		return quotaReply(err)
	}
	f.permit = permit
	return nil
}

// quotaReply returns the reply to a request that got no permit.
func quotaReply(err error) *localReply {
	var exceeded *limit.QuotaExceededError
	if errors.As(err, &exceeded) {
		return &localReply{status: http.StatusTooManyRequests, cause: CauseQuotaExceeded, retryAfter: max(exceeded.RetryAfter, minRetryAfter)}
	}
	return &localReply{status: http.StatusServiceUnavailable, cause: CauseQuotaUnknown, retryAfter: quotaUnknownRetryAfter}
}

// releasePermit gives up the permit, if there is one, because it will not be used.
func (f *forwarder) releasePermit() {
	if f.permit != nil {
		f.permit.Release()
		f.permit = nil
	}
}
