package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
)

// Phases of a sendPermit. Every transition is one atomic operation.
const (
	permitUnused uint32 = iota
	permitSent
	permitAbandoned
)

// sendPermit is the permission of one attempt to send once before its deadline. It
// is safe for concurrent use.
type sendPermit struct {
	phase    atomic.Uint32
	deadline time.Time
	now      func() time.Time
}

// MarkSent marks the request as sent. It reports whether the request may be sent now.
func (p *sendPermit) MarkSent() bool {
	return !p.pastDeadline() && p.phase.CompareAndSwap(permitUnused, permitSent)
}

// AllowResend allows another send after one that provably ran nothing.
func (p *sendPermit) AllowResend() bool {
	return !p.pastDeadline() && p.phase.CompareAndSwap(permitSent, permitUnused)
}

// Abandon revokes the permission. It reports whether nothing has been or will be sent.
func (p *sendPermit) Abandon() bool {
	return p.phase.CompareAndSwap(permitUnused, permitAbandoned) || p.phase.Load() == permitAbandoned
}

// pastDeadline compares the deadline with both the monotonic and the wall clock,
// because the monotonic clock stops while a machine is suspended.
func (p *sendPermit) pastDeadline() bool {
	now := p.now()
	return !now.Before(p.deadline) || !now.Round(0).Before(p.deadline.Round(0))
}

// storeClaim is the Claim of a StoreLedger.
type storeClaim struct {
	sendPermit
	ledger *StoreLedger
	ref    ShardRef
	op     Op
	req    Request
}

var _ ResendableClaim = (*storeClaim)(nil)

// MarkSent implements Claim.
func (c *storeClaim) MarkSent() bool {
	ok := c.sendPermit.MarkSent()
	if ok {
		c.ledger.recordEvent(events.ClaimSent, c.req)
	}
	return ok
}

// RecordDone implements Claim.
func (c *storeClaim) RecordDone(ctx context.Context, response *Response) error {
	return c.recordOutcome(ctx, OpDone, truncateResponse(response), events.ClaimDone)
}

// RecordNotRun implements Claim.
func (c *storeClaim) RecordNotRun(ctx context.Context) error {
	c.phase.Store(permitAbandoned)
	return c.recordOutcome(ctx, OpRelease, nil, events.ClaimNotRun)
}

// RecordUnknown implements Claim.
func (c *storeClaim) RecordUnknown(ctx context.Context) error {
	return c.recordOutcome(ctx, OpUnknown, nil, events.ClaimUnknown)
}

func (c *storeClaim) recordOutcome(ctx context.Context, kind OpKind, response *Response, event events.Kind) error {
	op := c.op
	op.Kind = kind
	op.Response = response
	_, err := c.ledger.committer.Commit(ctx, c.ref, op)
	c.ledger.unfinished.Delete(op.Attempt)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	c.ledger.recordEvent(event, c.req)
	return nil
}

// truncateResponse returns r, or only its status if r is too large to store.
func truncateResponse(r *Response) *Response {
	if r == nil || r.size() <= maxResponseBytes {
		return r
	}
	return &Response{Status: r.Status, Truncated: true}
}

func (r *Response) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
