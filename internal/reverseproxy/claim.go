package reverseproxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// claimKey claims the request's idempotency key in the ledger. If another request
// has claimed the key before, the decision's State is not Claimed and its Claim is
// nil.
func (s *Server) claimKey(ctx context.Context, r *request, body []byte) (ledger.Decision, *Problem) {
	key := r.httpRequest.Header.Get(upstream.HeaderIdempotencyKey)
	if key == "" && !r.policy.RequireKey {
		return ledger.Decision{State: ledger.Claimed, Claim: &unkeyedClaim{deadline: r.deadline}}, nil
	}
	if key == "" {
		return ledger.Decision{}, newProblem(http.StatusBadRequest, CodeKeyMissing, NotRun, "Idempotency-Key is required")
	}
	if len(r.httpRequest.Header[upstream.HeaderIdempotencyKey]) > 1 {
		return ledger.Decision{}, newProblem(http.StatusBadRequest, CodeKeyInvalid, NotRun, "there is more than one Idempotency-Key")
	}
	decision, err := s.ledger.Begin(ctx, ledger.Request{
		ID:          r.id,
		Service:     r.policy.Service,
		Caller:      r.caller,
		Key:         key,
		Fingerprint: r.digest(body),
		Deadline:    r.deadline,
		Retention:   r.policy.KeyRetention,
	})
	if err != nil {
		s.recordEvent(r, events.ClaimRefused, "", err.Error())
		return ledger.Decision{}, ledgerProblem(err)
	}
	return decision, nil
}

// ledgerProblem returns the problem for an error of the ledger. Nothing was sent.
func ledgerProblem(err error) *Problem {
	var key *ledger.KeyError
	var reused *ledger.FingerprintError
	var expired *ledger.ExpiredError
	switch {
	case errors.As(err, &key):
		return newProblem(http.StatusBadRequest, CodeKeyInvalid, NotRun, err.Error())
	case errors.As(err, &reused):
		return newProblem(http.StatusUnprocessableEntity, CodeKeyReused, NotRun, err.Error())
	case errors.As(err, &expired):
		return newProblem(http.StatusUnprocessableEntity, CodeKeyExpired, NotRun, err.Error())
	default:
		return newProblem(http.StatusServiceUnavailable, CodeStoreDown, NotRun, err.Error()).withRetryAfter(time.Second)
	}
}

// Phases of an unkeyedClaim.
const (
	claimUnused uint32 = iota
	claimSent
	claimAbandoned
)

// unkeyedClaim is the claim of a request without an idempotency key, which is
// accepted if the configuration sets requireKey to false. It allows one send and
// records nothing.
type unkeyedClaim struct {
	phase    atomic.Uint32
	deadline time.Time
}

// MarkSent implements ledger.Claim.
func (c *unkeyedClaim) MarkSent() bool {
	return time.Now().Before(c.deadline) && c.phase.CompareAndSwap(claimUnused, claimSent)
}

// Abandon implements ledger.Claim.
func (c *unkeyedClaim) Abandon() bool {
	return c.phase.CompareAndSwap(claimUnused, claimAbandoned) || c.phase.Load() == claimAbandoned
}

// RecordDone implements ledger.Claim.
func (c *unkeyedClaim) RecordDone(context.Context, *ledger.Response) error { return nil }

// RecordNotRun implements ledger.Claim.
func (c *unkeyedClaim) RecordNotRun(context.Context) error { return nil }

// RecordUnknown implements ledger.Claim.
func (c *unkeyedClaim) RecordUnknown(context.Context) error { return nil }
