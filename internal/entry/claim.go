package entry

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

// claim asks the ledger for the right to send a request. It returns a nil claim
// and a decision other than Fresh if another receipt of the key came first.
func (s *Server) claim(ctx context.Context, r *request, body []byte) (ledger.Decision, *Problem) {
	key := r.http.Header.Get(upstream.HeaderIdempotencyKey)
	if key == "" && !r.policy.RequireKey {
		return ledger.Decision{State: ledger.Claimed, Claim: &receiptClaim{deadline: r.deadline}}, nil
	}
	if key == "" {
		return ledger.Decision{}, refuse(http.StatusBadRequest, CodeKeyMissing, NotRun, "Idempotency-Key is required")
	}
	if len(r.http.Header[upstream.HeaderIdempotencyKey]) > 1 {
		return ledger.Decision{}, refuse(http.StatusBadRequest, CodeKeyInvalid, NotRun, "there is more than one Idempotency-Key")
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
		s.record(r, events.ClaimRefused, "", err.Error())
		return ledger.Decision{}, ledgerProblem(err)
	}
	return decision, nil
}

func ledgerProblem(err error) *Problem {
	var key *ledger.KeyError
	var reused *ledger.FingerprintError
	var expired *ledger.ExpiredError
	switch {
	case errors.As(err, &key):
		return refuse(http.StatusBadRequest, CodeKeyInvalid, NotRun, err.Error())
	case errors.As(err, &reused):
		return refuse(http.StatusUnprocessableEntity, CodeKeyReused, NotRun, err.Error())
	case errors.As(err, &expired):
		return refuse(http.StatusUnprocessableEntity, CodeKeyExpired, NotRun, err.Error())
	default:
		return refuse(http.StatusServiceUnavailable, CodeStoreDown, NotRun, err.Error()).after(time.Second)
	}
}

// Phases of a receiptClaim.
const (
	receiptHeld uint32 = iota
	receiptSent
	receiptAbandoned
)

// receiptClaim is the claim of a receipt without a key, which an exception in
// the configuration allows. It sends this receipt at most once and keeps nothing.
type receiptClaim struct {
	phase    atomic.Uint32
	deadline time.Time
}

// MarkSent implements ledger.Claim.
func (c *receiptClaim) MarkSent() bool {
	return time.Now().Before(c.deadline) && c.phase.CompareAndSwap(receiptHeld, receiptSent)
}

// Abandon implements ledger.Claim.
func (c *receiptClaim) Abandon() bool {
	return c.phase.CompareAndSwap(receiptHeld, receiptAbandoned) || c.phase.Load() == receiptAbandoned
}

// RecordDone implements ledger.Claim.
func (c *receiptClaim) RecordDone(context.Context, *ledger.Response) error { return nil }

// RecordNotRun implements ledger.Claim.
func (c *receiptClaim) RecordNotRun(context.Context) error { return nil }

// RecordUnknown implements ledger.Claim.
func (c *receiptClaim) RecordUnknown(context.Context) error { return nil }
