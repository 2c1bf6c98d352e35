package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
)

// Phases of an attempt, each entered by one atomic step.
const (
	phaseClaimed uint32 = iota
	phaseSent
	phaseAbandoned
)

// right is the permission of one attempt to send once before its deadline.
type right struct {
	phase    atomic.Uint32
	deadline time.Time
	now      func() time.Time
}

// Send reports whether the request may be sent now.
func (r *right) Send() bool {
	return !r.late() && r.phase.CompareAndSwap(phaseClaimed, phaseSent)
}

// Resend takes a send back that provably ran nothing.
func (r *right) Resend() bool {
	return !r.late() && r.phase.CompareAndSwap(phaseSent, phaseClaimed)
}

// Abandon gives the right up and reports whether nothing will be sent.
func (r *right) Abandon() bool {
	return r.phase.CompareAndSwap(phaseClaimed, phaseAbandoned) || r.phase.Load() == phaseAbandoned
}

// late compares the monotonic clock, and also the wall clock, which goes on
// while a suspended machine's monotonic clock stands still.
func (r *right) late() bool {
	now := r.now()
	return !now.Before(r.deadline) || !now.Round(0).Before(r.deadline.Round(0))
}

// storeClaim is the Claim of one attempt.
type storeClaim struct {
	right
	l     *StoreLedger
	place Place
	op    Op
	req   Request
}

var _ Resender = (*storeClaim)(nil)

// Send implements Claim.
func (c *storeClaim) Send() bool {
	ok := c.right.Send()
	if ok {
		c.l.record(events.ClaimSent, c.req)
	}
	return ok
}

// Done implements Claim.
func (c *storeClaim) Done(ctx context.Context, answer *Answer) error {
	return c.finish(ctx, OpDone, trim(answer), events.ClaimDone)
}

// NotRun implements Claim.
func (c *storeClaim) NotRun(ctx context.Context) error {
	c.phase.Store(phaseAbandoned)
	return c.finish(ctx, OpRelease, nil, events.ClaimNotRun)
}

// Unknown implements Claim.
func (c *storeClaim) Unknown(ctx context.Context) error {
	return c.finish(ctx, OpUnknown, nil, events.ClaimUnknown)
}

func (c *storeClaim) finish(ctx context.Context, kind OpKind, answer *Answer, event events.Kind) error {
	op := c.op
	op.Kind = kind
	op.Answer = answer
	_, err := c.l.commits.Commit(ctx, c.place, op)
	c.l.live.Delete(op.Attempt)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	c.l.record(event, c.req)
	return nil
}

// trim drops the body and the header of an answer that is too large to keep.
func trim(a *Answer) *Answer {
	if a == nil || a.size() <= maxAnswerBytes {
		return a
	}
	return &Answer{Status: a.Status, Truncated: true}
}

func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
