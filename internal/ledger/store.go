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
	// claimTimeout bounds the wait for a claim, so that an outage of the store
	// is answered long before the caller's deadline.
	claimTimeout = time.Second
	// defaultRetention is used for requests that state none.
	defaultRetention = 24 * time.Hour
	// minRetention keeps outcomes longer than any deadline.
	minRetention = time.Minute
	// heldGrace is added to an attempt's deadline before it counts as lost.
	heldGrace = 5 * time.Second
)

// Options are the collaborators of a StoreLedger.
type Options struct {
	Self     model.InstanceID
	Store    store.Store
	Recorder events.Recorder
	// Commits replaces the committer of this process, for example by one that
	// sends the ops of a shard to one instance to save conflicts.
	Commits Committer
	// Presence may be nil: then holders count as gone some time after their deadline.
	Presence Presence
}

// StoreLedger keeps records in the shards of the Object API. It is safe for
// concurrent use.
type StoreLedger struct {
	self     model.InstanceID
	commits  Committer
	floors   *floors
	recorder events.Recorder
	presence Presence
	now      func() time.Time
	// live holds the attempts of this process whose outcome is not recorded yet.
	live sync.Map
	// services holds the retention of each service seen.
	services sync.Map
}

var _ Ledger = (*StoreLedger)(nil)

// New returns a ledger over the Object API.
func New(o Options) *StoreLedger {
	if o.Commits == nil {
		o.Commits = NewGroupCommitter(o.Store)
	}
	if o.Presence == nil {
		o.Presence = nobodyGone{}
	}
	return &StoreLedger{
		self:     o.Self,
		commits:  o.Commits,
		floors:   newFloors(o.Store, time.Now),
		recorder: o.Recorder,
		presence: o.Presence,
		now:      time.Now,
	}
}

type nobodyGone struct{}

func (nobodyGone) Gone(model.InstanceID) bool { return false }

// Begin implements Ledger. It answers within a second also when the store does not.
func (l *StoreLedger) Begin(ctx context.Context, req Request) (Decision, error) {
	req.Retention = effectiveRetention(req.Retention)
	now := l.now()
	place, key, err := locate(req, now)
	if err != nil {
		l.refused(req, err)
		return Decision{}, err
	}
	l.services.Store(req.Service, req.Retention)
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, req.Deadline.Sub(now)))
	defer cancel()
	op := l.newClaim(req, key, now)
	l.live.Store(op.Attempt, true)
	verdict, err := l.commits.Commit(ctx, place, op)
	if err == nil && verdict.Kind == Applied {
		return l.granted(req, place, op), nil
	}
	l.live.Delete(op.Attempt)
	if err != nil {
		var undecided *UndecidedError
		if errors.As(err, &undecided) {
			l.commits.Release(place, op)
		}
		err = &UnavailableError{Cause: err}
		l.refused(req, err)
		return Decision{}, err
	}
	return l.refuse(req, verdict)
}

func effectiveRetention(d time.Duration) time.Duration {
	if d == 0 {
		return defaultRetention
	}
	return max(d, minRetention)
}

func (l *StoreLedger) newClaim(req Request, key KeyHash, now time.Time) Op {
	return Op{
		Kind:        OpClaim,
		Key:         key,
		Fingerprint: [16]byte(req.Fingerprint[:16]),
		Attempt:     Attempt(uuid.New()),
		Holder:      l.self,
		At:          now.UnixMilli(),
		Window:      req.Deadline.Sub(now).Milliseconds(),
	}
}

func (l *StoreLedger) granted(req Request, place Place, op Op) Decision {
	l.record(events.ClaimWritten, req)
	claim := &storeClaim{
		right: right{deadline: req.Deadline, now: l.now},
		l:     l,
		place: place,
		op:    op,
		req:   req,
	}
	return Decision{State: Fresh, Claim: claim, Holder: l.self}
}

// refuse turns a verdict that grants nothing into a decision.
func (l *StoreLedger) refuse(req Request, v Verdict) (Decision, error) {
	var err error
	switch v.Kind {
	case Finished:
		return Decision{State: Done, Answer: v.Answer, Holder: v.Holder}, nil
	case Lost:
		return Decision{State: OutcomeUnknown, Holder: v.Holder}, nil
	case Held:
		return Decision{State: l.heldState(v), Holder: v.Holder}, nil
	case Mismatch:
		err = &FingerprintError{Key: req.Key}
	case Swept:
		err = &ExpiredError{Key: req.Key}
	default:
		err = &UnavailableError{Cause: &AbandonedError{}}
	}
	l.refused(req, err)
	return Decision{}, err
}

// heldState chooses the words for a key that another attempt holds. Neither
// allows another send.
func (l *StoreLedger) heldState(v Verdict) State {
	if v.Holder == l.self {
		if _, ok := l.live.Load(v.Attempt); ok {
			return InProgress
		}
		return OutcomeUnknown
	}
	deadline := time.UnixMilli(v.At + v.Window).Add(heldGrace)
	if l.presence.Gone(v.Holder) || l.now().After(deadline) {
		return OutcomeUnknown
	}
	return InProgress
}

// Sweep deletes the records past their retention of the services seen by this
// process. Any number of instances may sweep at once. It returns the number of
// objects deleted.
func (l *StoreLedger) Sweep(ctx context.Context) (int, error) {
	deleted := 0
	var failed error
	l.services.Range(func(service, retention any) bool {
		n, err := l.floors.sweep(ctx, service.(model.ServiceName), retention.(time.Duration))
		deleted += n
		failed = err
		return err == nil
	})
	if failed != nil {
		return deleted, &UnavailableError{Cause: failed}
	}
	return deleted, nil
}

func (l *StoreLedger) record(kind events.Kind, req Request) {
	l.recorder.Record(events.Event{Kind: kind, Request: req.ID, Service: req.Service})
}

func (l *StoreLedger) refused(req Request, err error) {
	l.recorder.Record(events.Event{Kind: events.ClaimRefused, Request: req.ID, Service: req.Service, Detail: err.Error()})
}
