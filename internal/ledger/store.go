package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/platform"
)

// maxKeyBytes is the longest idempotency key.
const maxKeyBytes = 255

// record is the stored form of one key.
type record struct {
	Attempt     string           `json:"attempt"`
	Holder      model.InstanceID `json:"holder"`
	Fingerprint string           `json:"fingerprint"`
	Phase       string           `json:"phase"`
	Answer      *Answer          `json:"answer,omitempty"`
}

// Phases of a record.
const (
	recordClaimed  = "claimed"
	recordDone     = "done"
	recordReleased = "released"
	recordUnknown  = "unknown"
)

// StoreLedger keeps one object per key. It is safe for concurrent use.
type StoreLedger struct {
	self     model.InstanceID
	store    platform.Store
	recorder events.Recorder
	now      func() time.Time
}

// NewStoreLedger returns a ledger over the Object API.
func NewStoreLedger(self model.InstanceID, store platform.Store, recorder events.Recorder) *StoreLedger {
	return &StoreLedger{self: self, store: store, recorder: recorder, now: time.Now}
}

// Begin implements Ledger.
func (l *StoreLedger) Begin(ctx context.Context, req Request) (Decision, error) {
	if len(req.Key) == 0 || len(req.Key) > maxKeyBytes {
		return Decision{}, &KeyError{Reason: "must have 1 to 255 bytes"}
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	key := objectKey(req)
	object, err := l.store.Get(ctx, key)
	var absent *platform.NotFoundError
	switch {
	case errors.As(err, &absent):
		return l.claim(ctx, key, 0, req)
	case err != nil:
		return Decision{}, &UnavailableError{Cause: err}
	}
	var rec record
	if err := json.Unmarshal(object.Value, &rec); err != nil {
		return Decision{}, &UnavailableError{Cause: eris.Wrap(err, "decode ledger record")}
	}
	if rec.Fingerprint != hex.EncodeToString(req.Fingerprint[:]) {
		return Decision{}, &FingerprintError{Key: req.Key}
	}
	switch rec.Phase {
	case recordReleased:
		return l.claim(ctx, key, object.Version, req)
	case recordDone:
		return Decision{State: Done, Answer: rec.Answer, Holder: rec.Holder}, nil
	case recordUnknown:
		return Decision{State: OutcomeUnknown, Holder: rec.Holder}, nil
	default:
		return Decision{State: InProgress, Holder: rec.Holder}, nil
	}
}

func (l *StoreLedger) claim(ctx context.Context, key string, expect platform.Version, req Request) (Decision, error) {
	c := &storeClaim{
		right: right{deadline: req.Deadline, now: l.now},
		l:     l,
		key:   key,
		req:   req,
		rec: record{
			Attempt:     uuid.NewString(),
			Holder:      l.self,
			Fingerprint: hex.EncodeToString(req.Fingerprint[:]),
			Phase:       recordClaimed,
		},
	}
	version, err := l.put(ctx, key, expect, c.rec)
	if err != nil {
		return Decision{}, &UnavailableError{Cause: err}
	}
	c.version = version
	l.record(events.ClaimWritten, req)
	return Decision{State: Fresh, Claim: c, Holder: l.self}, nil
}

// put writes a record and resolves a lost answer by reading the object back.
func (l *StoreLedger) put(ctx context.Context, key string, expect platform.Version, rec record) (platform.Version, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, eris.Wrap(err, "encode ledger record")
	}
	version, err := l.store.Put(ctx, key, expect, value)
	var lost *platform.LostAnswerError
	if !errors.As(err, &lost) {
		return version, err
	}
	object, err := l.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var found record
	if json.Unmarshal(object.Value, &found) == nil && found.Attempt == rec.Attempt && found.Phase == rec.Phase {
		return object.Version, nil
	}
	return 0, lost
}

func (l *StoreLedger) record(kind events.Kind, req Request) {
	l.recorder.Record(events.Event{Kind: kind, Request: req.ID, Service: req.Service})
}

func objectKey(req Request) string {
	sum := sha256.Sum256([]byte(req.Caller + "\x00" + req.Key))
	return platform.LedgerPrefix + string(req.Service) + "/" + hex.EncodeToString(sum[:])
}

// storeClaim is the Claim of one attempt.
type storeClaim struct {
	right
	l       *StoreLedger
	key     string
	version platform.Version
	req     Request
	rec     record
}

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
	return c.finish(ctx, recordDone, answer, events.ClaimDone)
}

// NotRun implements Claim.
func (c *storeClaim) NotRun(ctx context.Context) error {
	return c.finish(ctx, recordReleased, nil, events.ClaimNotRun)
}

// Unknown implements Claim.
func (c *storeClaim) Unknown(ctx context.Context) error {
	return c.finish(ctx, recordUnknown, nil, events.ClaimUnknown)
}

func (c *storeClaim) finish(ctx context.Context, phase string, answer *Answer, kind events.Kind) error {
	rec := c.rec
	rec.Phase = phase
	rec.Answer = answer
	if _, err := c.l.put(ctx, c.key, c.version, rec); err != nil {
		return &UnavailableError{Cause: err}
	}
	c.l.record(kind, c.req)
	return nil
}
