package ledger

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

const oneWayDelay = 12 * time.Millisecond

// newLedger returns a ledger with a call budget that no test exhausts.
func newLedger(self model.InstanceID, p *standin.Platform) *StoreLedger {
	return newLedgerWithOptions(self, p, store.ClientOptions{CallsPerSecond: 2000, WritesPerSecond: 1000, Burst: 1000})
}

func newLedgerWithOptions(self model.InstanceID, p *standin.Platform, o store.ClientOptions) *StoreLedger {
	o.BaseURL = "http://platform"
	o.Transport = &standin.Transport{Handler: p.Handler(), Delay: oneWayDelay}
	return New(Options{Self: self, Store: store.NewClient(o), Recorder: events.Discard})
}

func newRequest(key, body string) Request {
	return Request{
		Service:     "odeslani",
		Caller:      "druzstvo",
		Key:         key,
		Fingerprint: sha256.Sum256([]byte(body)),
		Deadline:    time.Now().Add(2 * time.Second),
		Retention:   time.Hour,
	}
}

// newTimedKey returns a UUID of version 7 with the given timestamp.
func newTimedKey(at time.Time) string {
	id := uuid.New()
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

func begin(t *testing.T, l *StoreLedger, req Request) Decision {
	t.Helper()
	d, err := l.Begin(t.Context(), req)
	if err != nil {
		t.Fatalf("begin: %v", err)
	}
	return d
}

// inVirtualTime runs a test in a synctest bubble against a new platform. It then
// waits a minute so that outstanding calls end.
func inVirtualTime(t *testing.T, test func(t *testing.T, p *standin.Platform)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, standin.NewPlatform())
		time.Sleep(time.Minute)
	})
}

func TestOutcomesAreStored(t *testing.T) {
	for name, key := range map[string]func() string{
		"timed":  func() string { return newTimedKey(time.Now()) },
		"opaque": func() string { return "batch-1" },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
				a, b := newLedger("a", p), newLedger("b", p)
				req := newRequest(key(), "letters")
				d := begin(t, a, req)
				if d.State != Claimed || !d.Claim.MarkSent() || d.Claim.MarkSent() {
					t.Fatalf("first request: %+v", d)
				}
				if other := begin(t, b, req); other.State != InProgress || other.Holder != "a" {
					t.Errorf("request while the first is in progress: %+v", other)
				}
				response := &Response{Status: 201, Header: http.Header{"Location": {"/1"}}, Body: []byte("printed")}
				if err := d.Claim.RecordDone(t.Context(), response); err != nil {
					t.Fatal(err)
				}
				kept := begin(t, b, req)
				if kept.State != Done || kept.Response.Status != 201 || string(kept.Response.Body) != "printed" {
					t.Errorf("request after the first is done: %+v", kept)
				}
				var reused *FingerprintError
				if _, err := b.Begin(t.Context(), newRequest(req.Key, "other letters")); !errors.As(err, &reused) {
					t.Errorf("reused key: %v", err)
				}
				req.Caller = "obec"
				if other := begin(t, b, req); other.State != Claimed {
					t.Errorf("same key of another caller: %+v", other)
				}
			})
		})
	}
}

func TestNotRunReleasesKeyForLaterRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a, b := newLedger("a", p), newLedger("b", p)
		req := newRequest(newTimedKey(time.Now()), "letters")
		first := begin(t, a, req).Claim.(ResendableClaim)
		if !first.MarkSent() || !first.AllowResend() || !first.MarkSent() {
			t.Fatal("MarkSent not allowed again after AllowResend")
		}
		if err := first.RecordNotRun(t.Context()); err != nil {
			t.Fatal(err)
		}
		if first.MarkSent() || first.AllowResend() || first.MarkSent() {
			t.Error("MarkSent or AllowResend allowed after RecordNotRun")
		}
		second := begin(t, b, req)
		if second.State != Claimed {
			t.Fatalf("later request: %+v", second)
		}
		if err := first.RecordDone(t.Context(), &Response{Status: 200}); err != nil {
			t.Fatal(err)
		}
		if third := begin(t, a, req); third.State != InProgress {
			t.Errorf("outcome of the released attempt changed the record of the new one: %+v", third)
		}
	})
}

func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a := newLedger("a", p)
		claim := begin(t, a, newRequest(newTimedKey(time.Now()), "x")).Claim.(ResendableClaim)
		other := begin(t, a, newRequest(newTimedKey(time.Now()), "y")).Claim.(ResendableClaim)
		if !other.MarkSent() {
			t.Error("not sent before the deadline")
		}
		time.Sleep(2 * time.Second)
		if claim.MarkSent() {
			t.Error("sent after the deadline")
		}
		if other.AllowResend() {
			t.Error("resent after the deadline")
		}
		if !claim.Abandon() || other.Abandon() {
			t.Error("only the attempt that was not sent may be abandoned")
		}
	})
}

// TestSendIsDeniedAfterWallClockDeadline covers a machine that was suspended, so that
// its monotonic clock stopped.
func TestSendIsDeniedAfterWallClockDeadline(t *testing.T) {
	now := time.Now()
	permit := sendPermit{deadline: now.Add(time.Second), now: func() time.Time { return now.Round(0).Add(time.Minute) }}
	if permit.MarkSent() {
		t.Error("sent a minute later")
	}
}

func TestInvalidKeysAreRejectedWithoutStoreCalls(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a := newLedger("a", p)
		var invalid *KeyError
		for _, key := range []string{"", strings.Repeat("k", 256), newTimedKey(time.Now().Add(25 * time.Hour))} {
			if _, err := a.Begin(t.Context(), newRequest(key, "x")); !errors.As(err, &invalid) {
				t.Errorf("key of %d bytes: %v", len(key), err)
			}
		}
		var expired *ExpiredError
		if _, err := a.Begin(t.Context(), newRequest(newTimedKey(time.Now().Add(-2*time.Hour)), "x")); !errors.As(err, &expired) {
			t.Errorf("key older than the retention: %v", err)
		}
		if calls := p.Stats().Calls; calls != 0 {
			t.Errorf("invalid keys caused %d store calls", calls)
		}
	})
}

func TestClaimsFailFastDuringOutage(t *testing.T) {
	for name, fault := range map[string]standin.Faults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
				a := newLedger("a", p)
				p.Inject(standin.FaultSchedule{Steps: []standin.FaultStep{{Faults: fault}}})
				var down *UnavailableError
				for range 10 {
					start := time.Now()
					if _, err := a.Begin(t.Context(), newRequest(newTimedKey(start), "x")); !errors.As(err, &down) {
						t.Fatalf("claim during an outage: %v", err)
					}
					if took := time.Since(start); took > claimTimeout {
						t.Errorf("claim failed only after %v", took)
					}
				}
				time.Sleep(time.Second)
				before := p.Stats().Calls
				for range 1000 {
					_, _ = a.Begin(t.Context(), newRequest(newTimedKey(time.Now()), "x"))
				}
				if calls := p.Stats().Calls - before; calls > 5 {
					t.Errorf("1000 failed claims caused %d store calls", calls)
				}
			})
		})
	}
}

// TestUnconfirmedClaimIsReleased covers a claim whose response is lost just before
// an outage of the store. After the outage the key must be released.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a := newLedger("a", p)
		p.Inject(standin.FaultSchedule{Steps: []standin.FaultStep{
			{For: config.Duration(4 * oneWayDelay), Faults: standin.Faults{LoseResponses: 1}},
			{For: config.Duration(5 * time.Second), Faults: standin.Faults{Down: true}},
		}})
		req := newRequest(newTimedKey(time.Now()), "letters")
		var down *UnavailableError
		if _, err := a.Begin(t.Context(), req); !errors.As(err, &down) {
			t.Fatalf("unconfirmed claim: %v", err)
		}
		if p.Stats().LostResponses == 0 {
			t.Fatal("no response was lost")
		}
		time.Sleep(15 * time.Second)
		req.Deadline = time.Now().Add(2 * time.Second)
		if d := begin(t, newLedger("b", p), req); d.State != Claimed {
			t.Errorf("later request: %+v", d)
		}
	})
}

type departed map[model.InstanceID]bool

func (d departed) HasLeft(id model.InstanceID) bool { return d[id] }

func TestDepartedHolderMeansOutcomeUnknown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a, b, again := newLedger("a", p), newLedger("b", p), newLedger("a", p)
		req := newRequest(newTimedKey(time.Now()), "letters")
		claim := begin(t, a, req).Claim
		if d := begin(t, again, req); d.State != OutcomeUnknown {
			t.Errorf("after a restart of the holder: %+v", d)
		}
		b.membership = departed{"a": true}
		if d := begin(t, b, req); d.State != OutcomeUnknown {
			t.Errorf("after the holder left the fleet: %+v", d)
		}
		b.membership = departed{}
		time.Sleep(time.Minute)
		if d := begin(t, b, Request{Service: req.Service, Caller: req.Caller, Key: req.Key, Fingerprint: req.Fingerprint,
			Deadline: time.Now().Add(time.Second), Retention: time.Hour}); d.State != OutcomeUnknown {
			t.Errorf("long after the holder's deadline: %+v", d)
		}
		if err := claim.RecordUnknown(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := claim.RecordDone(t.Context(), &Response{Status: 200}); err != nil {
			t.Fatal(err)
		}
		req.Deadline = time.Now().Add(time.Second)
		if d := begin(t, b, req); d.State != Done {
			t.Errorf("after the holder recorded its outcome: %+v", d)
		}
	})
}

// TestSweptBucketRejectsClaims covers an instance with a slow clock, which sees keys
// of a swept bucket as current. It must not claim them again.
func TestSweptBucketRejectsClaims(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a, slow := newLedger("a", p), newLedger("slow", p)
		start := time.Now()
		req := newRequest(newTimedKey(start), "letters")
		req.Retention = minRetention
		claim := begin(t, a, req).Claim
		if !claim.MarkSent() {
			t.Fatal("not sent")
		}
		if err := claim.RecordDone(t.Context(), &Response{Status: 200}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Minute)
		deleted, err := a.Sweep(t.Context())
		if err != nil || deleted != 1 {
			t.Fatalf("swept %d objects, %v", deleted, err)
		}
		slow.now = func() time.Time { return start }
		slow.committer.(*GroupCommitter).now = slow.now
		req.Deadline = start.Add(2 * time.Second)
		for range 3 {
			d, err := slow.Begin(t.Context(), req)
			var expired *ExpiredError
			if !errors.As(err, &expired) {
				t.Errorf("request after the sweep: %+v, %v", d, err)
			}
		}
		again := newLedger("slow2", p)
		again.now = slow.now
		if d, err := again.Begin(t.Context(), req); err == nil && d.State == Claimed {
			t.Errorf("request at another slow instance: %+v", d)
		}
	})
}

func TestShardStaysWithinObjectSizeLimit(t *testing.T) {
	s := new(shard)
	body := bytes.Repeat([]byte("x"), maxResponseBytes)
	for range 2000 {
		op := Op{Kind: OpClaim, Attempt: Attempt(uuid.New()), Holder: "a", ClaimedAtMillis: time.Now().UnixMilli()}
		op.Key = KeyHash(uuid.New())
		s.apply(op)
		op.Kind = OpDone
		op.Response = &Response{Status: 200, Body: body}
		s.apply(op)
	}
	value, err := s.encode("ledger/x")
	if err != nil || len(value) > store.MaxObjectBytes {
		t.Fatalf("%d bytes, %v", len(value), err)
	}
	for _, r := range s.Records {
		if r.Phase != phaseDone || r.Response.Status != 200 || !r.Response.Truncated {
			t.Fatalf("record lost its outcome: %+v", r)
		}
	}
	s.compact(time.Now().Add(2*time.Hour), time.Hour)
	if len(s.Records) != 0 {
		t.Errorf("%d records past their retention", len(s.Records))
	}
	for range 20000 {
		s.apply(Op{Kind: OpClaim, Key: KeyHash(uuid.New()), Attempt: Attempt(uuid.New()), Holder: "praha-a-1"})
	}
	var full *FullError
	if _, err := s.encode("ledger/x"); !errors.As(err, &full) {
		t.Errorf("a full shard: %v", err)
	}
}

// TestConcurrentClaimsShareWrites bounds the number of store writes for many
// concurrent claims.
func TestConcurrentClaimsShareWrites(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a := newLedger("a", p)
		const claims = 400
		states := make(chan State, claims)
		for range claims {
			go func() {
				d, err := a.Begin(context.Background(), newRequest(newTimedKey(time.Now()), "x"))
				if err != nil {
					t.Errorf("begin: %v", err)
				}
				states <- d.State
			}()
		}
		for range claims {
			if s := <-states; s != Claimed {
				t.Errorf("state %d", s)
			}
		}
		if writes := p.Stats().Writes; writes > 5*shardsPerBucket {
			t.Errorf("%d claims took %d writes", claims, writes)
		}
	})
}

// TestOnlyOriginReleasesClaim commits one claim at two instances. The first times
// out and must not release the claim, since the second confirms it.
func TestOnlyOriginReleasesClaim(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a, b := newLedger("a", p), newLedger("b", p)
		req := newRequest(newTimedKey(time.Now()), "letters")
		ref, key, err := locate(req, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		op := a.newClaimOp(req, key, time.Now())
		short, cancel := context.WithTimeout(t.Context(), 3*oneWayDelay)
		defer cancel()
		var unconfirmed *UnconfirmedError
		if _, err := b.committer.Commit(short, ref, op); !errors.As(err, &unconfirmed) {
			t.Fatalf("timed out while the claim is being written: %v", err)
		}
		res, err := a.committer.Commit(t.Context(), ref, op)
		if err != nil || res.Kind != ResultApplied {
			t.Fatalf("the same claim at its origin: %+v, %v", res, err)
		}
		time.Sleep(10 * time.Second)
		req.Deadline = time.Now().Add(2 * time.Second)
		if d := begin(t, newLedger("c", p), req); d.State == Claimed {
			t.Error("a confirmed claim was released by another instance")
		}
	})
}
