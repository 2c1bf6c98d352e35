package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// claimTimeout bounds the wait for a claim, so that requests fail long before
	// their deadline during an outage of the store.
	claimTimeout = time.Second
	// defaultRetention applies to requests without a retention.
	defaultRetention = 24 * time.Hour
	// minRetention is the minimum retention; it exceeds any request deadline.
	minRetention = time.Minute
	// holderGrace is the time after an attempt's deadline until its outcome counts as
	// unknown.
	holderGrace = 5 * time.Second
)

// Options are the dependencies of a StoreLedger.
type Options struct {
	Self     model.InstanceID
	Store    store.Store
	Recorder events.Recorder
	// Committer replaces the default GroupCommitter, for example by one that sends
	// all ops of a shard to one instance to avoid write conflicts.
	Committer Committer
	// Membership may be nil; then only the deadline of an attempt decides whether its
	// holder counts as failed.
	Membership Membership
}

// StoreLedger is a Ledger that stores its records in shards of the Object API.
// It is safe for concurrent use.
type StoreLedger struct {
	self       model.InstanceID
	committer  Committer
	watermarks *watermarks
	recorder   events.Recorder
	membership Membership
	now        func() time.Time
	// unfinished is the set of attempts of this process without a recorded outcome.
	unfinished sync.Map
	// retentions holds the most recent retention of each service that sent a request.
	retentions sync.Map
}

var _ Ledger = (*StoreLedger)(nil)

// New returns a ledger that is backed by the Object API.
func New(o Options) *StoreLedger {
	if o.Committer == nil {
		o.Committer = NewGroupCommitter(o.Store)
	}
	if o.Membership == nil {
		o.Membership = noneLeft{}
	}
	return &StoreLedger{
		self:       o.Self,
		committer:  o.Committer,
		watermarks: newWatermarks(o.Store, time.Now),
		recorder:   o.Recorder,
		membership: o.Membership,
		now:        time.Now,
	}
}

// noneLeft is a Membership that reports no instance as having left.
type noneLeft struct{}

func (noneLeft) HasLeft(model.InstanceID) bool { return false }

// Begin implements Ledger. It returns within a second even if the store does not
// respond.
func (l *StoreLedger) Begin(ctx context.Context, req Request) (Decision, error) {
	req.Retention = effectiveRetention(req.Retention)
	now := l.now()
	ref, key, err := locate(req, now)
	if err != nil {
		l.recordRefusal(req, err)
		return Decision{}, err
	}
	l.retentions.Store(req.Service, req.Retention)
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, req.Deadline.Sub(now)))
	defer cancel()
	op := l.newClaimOp(req, key, now)
	l.unfinished.Store(op.Attempt, true)
	result, err := l.committer.Commit(ctx, ref, op)
	if err == nil && result.Kind == ResultApplied {
		return l.claimedDecision(req, ref, op), nil
	}
	l.unfinished.Delete(op.Attempt)
	if err != nil {
		var unconfirmed *UnconfirmedError
		if errors.As(err, &unconfirmed) {
			l.committer.Release(ref, op)
		}
		err = &UnavailableError{Cause: err}
		l.recordRefusal(req, err)
		return Decision{}, err
	}
	return l.rejectedDecision(req, result)
}

// effectiveRetention applies the default and the minimum retention.
func effectiveRetention(d time.Duration) time.Duration {
	if d == 0 {
		return defaultRetention
	}
	return max(d, minRetention)
}

func (l *StoreLedger) newClaimOp(req Request, key KeyHash, now time.Time) Op {
	return Op{
		Kind:            OpClaim,
		Key:             key,
		Fingerprint:     [16]byte(req.Fingerprint[:16]),
		Attempt:         Attempt(uuid.New()),
		Holder:          l.self,
		ClaimedAtMillis: now.UnixMilli(),
		TimeoutMillis:   req.Deadline.Sub(now).Milliseconds(),
	}
}

// claimedDecision returns the decision for an applied claim.
func (l *StoreLedger) claimedDecision(req Request, ref ShardRef, op Op) Decision {
	l.recordEvent(events.ClaimWritten, req)
	claim := &storeClaim{
		sendPermit: sendPermit{deadline: req.Deadline, now: l.now},
		ledger:     l,
		ref:        ref,
		op:         op,
		req:        req,
	}
	return Decision{State: Claimed, Claim: claim, Holder: l.self}
}

// rejectedDecision converts the result of a claim that was not applied.
func (l *StoreLedger) rejectedDecision(req Request, res Result) (Decision, error) {
	var err error
	switch res.Kind {
	case ResultDone:
		return Decision{State: Done, Response: res.Response, Holder: res.Holder}, nil
	case ResultUnknown:
		return Decision{State: OutcomeUnknown, Holder: res.Holder}, nil
	case ResultHeld:
		return Decision{State: l.heldState(res), Holder: res.Holder}, nil
	case ResultMismatch:
		err = &FingerprintError{Key: req.Key}
	case ResultSwept:
		err = &ExpiredError{Key: req.Key}
	default:
		err = &UnavailableError{Cause: &AbandonedError{}}
	}
	l.recordRefusal(req, err)
	return Decision{}, err
}

// heldState returns the state of a key that another attempt holds: InProgress or
// OutcomeUnknown. Neither allows another send.
func (l *StoreLedger) heldState(res Result) State {
	if res.Holder == l.self {
		if _, ok := l.unfinished.Load(res.Attempt); ok {
			return InProgress
		}
		return OutcomeUnknown
	}
	deadline := time.UnixMilli(res.ClaimedAtMillis + res.TimeoutMillis).Add(holderGrace)
	if l.membership.HasLeft(res.Holder) || l.now().After(deadline) {
		return OutcomeUnknown
	}
	return InProgress
}

// Sweep deletes expired records of the services that this process has seen
// requests for. Any number of instances may sweep concurrently. It returns the
// number of deleted objects; its error is an *UnavailableError.
func (l *StoreLedger) Sweep(ctx context.Context) (int, error) {
	deleted := 0
	var sweepErr error
	l.retentions.Range(func(service, retention any) bool {
		n, err := l.watermarks.sweep(ctx, service.(model.ServiceName), retention.(time.Duration))
		deleted += n
		sweepErr = err
		return err == nil
	})
	if sweepErr != nil {
		return deleted, &UnavailableError{Cause: sweepErr}
	}
	return deleted, nil
}

func (l *StoreLedger) recordEvent(kind events.Kind, req Request) {
	l.recorder.Record(events.Event{Kind: kind, Request: req.ID, Service: req.Service})
}

func (l *StoreLedger) recordRefusal(req Request, err error) {
	l.recorder.Record(events.Event{Kind: events.ClaimRefused, Request: req.ID, Service: req.Service, Detail: err.Error()})
}
