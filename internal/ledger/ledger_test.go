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

const oneWay = 12 * time.Millisecond

// newLedger returns a ledger whose call budget is no limit.
func newLedger(self model.InstanceID, p *standin.Platform) *StoreLedger {
	return ledgerOver(self, p, store.ClientOptions{CallsPerSecond: 2000, WritesPerSecond: 1000, Burst: 1000})
}

func ledgerOver(self model.InstanceID, p *standin.Platform, o store.ClientOptions) *StoreLedger {
	o.BaseURL = "http://platform"
	o.Transport = &standin.Transport{Handler: p.Handler(), Delay: oneWay}
	return New(Options{Self: self, Store: store.NewClient(o), Recorder: events.Discard})
}

func receipt(key, body string) Request {
	return Request{
		Service:     "odeslani",
		Caller:      "druzstvo",
		Key:         key,
		Fingerprint: sha256.Sum256([]byte(body)),
		Deadline:    time.Now().Add(2 * time.Second),
		Retention:   time.Hour,
	}
}

// timedKey returns a UUID of version 7 that carries a time.
func timedKey(at time.Time) string {
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

// inVirtualTime runs a test against a platform and lets late calls end.
func inVirtualTime(t *testing.T, test func(t *testing.T, p *standin.Platform)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, standin.NewPlatform())
		time.Sleep(time.Minute)
	})
}

func TestOutcomesAreKept(t *testing.T) {
	for name, key := range map[string]func() string{
		"timed":  func() string { return timedKey(time.Now()) },
		"opaque": func() string { return "batch-1" },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
				a, b := newLedger("a", p), newLedger("b", p)
				req := receipt(key(), "letters")
				d := begin(t, a, req)
				if d.State != Fresh || !d.Claim.Send() || d.Claim.Send() {
					t.Fatalf("first receipt: %+v", d)
				}
				if other := begin(t, b, req); other.State != InProgress || other.Holder != "a" {
					t.Errorf("while it runs: %+v", other)
				}
				answer := &Answer{Status: 201, Header: http.Header{"Location": {"/1"}}, Body: []byte("printed")}
				if err := d.Claim.Done(t.Context(), answer); err != nil {
					t.Fatal(err)
				}
				kept := begin(t, b, req)
				if kept.State != Done || kept.Answer.Status != 201 || string(kept.Answer.Body) != "printed" {
					t.Errorf("afterwards: %+v", kept)
				}
				var reused *FingerprintError
				if _, err := b.Begin(t.Context(), receipt(req.Key, "other letters")); !errors.As(err, &reused) {
					t.Errorf("reused key: %v", err)
				}
				req.Caller = "obec"
				if other := begin(t, b, req); other.State != Fresh {
					t.Errorf("same key of another caller: %+v", other)
				}
			})
		})
	}
}

func TestNotRunFreesTheKeyOnlyForLaterReceipts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a, b := newLedger("a", p), newLedger("b", p)
		req := receipt(timedKey(time.Now()), "letters")
		first := begin(t, a, req).Claim.(Resender)
		if !first.Send() || !first.Resend() || !first.Send() {
			t.Fatal("a send that ran nothing must be repeatable")
		}
		if err := first.NotRun(t.Context()); err != nil {
			t.Fatal(err)
		}
		if first.Send() || first.Resend() || first.Send() {
			t.Error("sent after not-run")
		}
		second := begin(t, b, req)
		if second.State != Fresh {
			t.Fatalf("later receipt: %+v", second)
		}
		if err := first.Done(t.Context(), &Answer{Status: 200}); err != nil {
			t.Fatal(err)
		}
		if third := begin(t, a, req); third.State != InProgress {
			t.Errorf("an outcome of the released attempt changed the new one: %+v", third)
		}
	})
}

func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a := newLedger("a", p)
		claim := begin(t, a, receipt(timedKey(time.Now()), "x")).Claim.(Resender)
		other := begin(t, a, receipt(timedKey(time.Now()), "y")).Claim.(Resender)
		if !other.Send() {
			t.Error("not sent before the deadline")
		}
		time.Sleep(2 * time.Second)
		if claim.Send() {
			t.Error("sent after the deadline")
		}
		if other.Resend() {
			t.Error("resent after the deadline")
		}
		if !claim.Abandon() || other.Abandon() {
			t.Error("only the attempt that was not sent may be abandoned")
		}
	})
}

// TestWallClockEndsARight covers a suspended machine, whose monotonic clock stands still.
func TestWallClockEndsARight(t *testing.T) {
	now := time.Now()
	r := right{deadline: now.Add(time.Second), now: func() time.Time { return now.Round(0).Add(time.Minute) }}
	if r.Send() {
		t.Error("sent a minute later")
	}
}

func TestBadKeysSayThatNothingRan(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a := newLedger("a", p)
		var invalid *KeyError
		for _, key := range []string{"", strings.Repeat("k", 256), timedKey(time.Now().Add(25 * time.Hour))} {
			if _, err := a.Begin(t.Context(), receipt(key, "x")); !errors.As(err, &invalid) {
				t.Errorf("key of %d bytes: %v", len(key), err)
			}
		}
		var expired *ExpiredError
		if _, err := a.Begin(t.Context(), receipt(timedKey(time.Now().Add(-2*time.Hour)), "x")); !errors.As(err, &expired) {
			t.Errorf("key of two hours ago: %v", err)
		}
		if calls := p.Stats().Calls; calls != 0 {
			t.Errorf("bad keys cost %d store calls", calls)
		}
	})
}

func TestOutageIsRefusedAtOnce(t *testing.T) {
	for name, fault := range map[string]standin.Faults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
				a := newLedger("a", p)
				p.Inject(standin.FaultSchedule{Steps: []standin.FaultStep{{Faults: fault}}})
				var down *UnavailableError
				for range 10 {
					start := time.Now()
					if _, err := a.Begin(t.Context(), receipt(timedKey(start), "x")); !errors.As(err, &down) {
						t.Fatalf("in an outage: %v", err)
					}
					if took := time.Since(start); took > claimTimeout {
						t.Errorf("refused after %v", took)
					}
				}
				time.Sleep(time.Second)
				before := p.Stats().Calls
				for range 1000 {
					_, _ = a.Begin(t.Context(), receipt(timedKey(time.Now()), "x"))
				}
				if calls := p.Stats().Calls - before; calls > 5 {
					t.Errorf("1000 refusals cost %d calls", calls)
				}
			})
		})
	}
}

// TestUnconfirmedClaimIsReleased loses the answer to a claim together with the
// store; when the store is back, the key is free again.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a := newLedger("a", p)
		p.Inject(standin.FaultSchedule{Steps: []standin.FaultStep{
			{For: config.Duration(4 * oneWay), Faults: standin.Faults{LoseResponses: 1}},
			{For: config.Duration(5 * time.Second), Faults: standin.Faults{Down: true}},
		}})
		req := receipt(timedKey(time.Now()), "letters")
		var down *UnavailableError
		if _, err := a.Begin(t.Context(), req); !errors.As(err, &down) {
			t.Fatalf("unconfirmed claim: %v", err)
		}
		if p.Stats().LostResponses == 0 {
			t.Fatal("no answer was lost")
		}
		time.Sleep(15 * time.Second)
		req.Deadline = time.Now().Add(2 * time.Second)
		if d := begin(t, newLedger("b", p), req); d.State != Fresh {
			t.Errorf("later receipt: %+v", d)
		}
	})
}

type gone map[model.InstanceID]bool

func (g gone) Gone(id model.InstanceID) bool { return g[id] }

func TestHolderThatIsGoneMeansOutcomeUnknown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a, b, again := newLedger("a", p), newLedger("b", p), newLedger("a", p)
		req := receipt(timedKey(time.Now()), "letters")
		claim := begin(t, a, req).Claim
		if d := begin(t, again, req); d.State != OutcomeUnknown {
			t.Errorf("after a restart of the holder: %+v", d)
		}
		b.presence = gone{"a": true}
		if d := begin(t, b, req); d.State != OutcomeUnknown {
			t.Errorf("holder believed gone: %+v", d)
		}
		b.presence = gone{}
		time.Sleep(time.Minute)
		if d := begin(t, b, Request{Service: req.Service, Caller: req.Caller, Key: req.Key, Fingerprint: req.Fingerprint,
			Deadline: time.Now().Add(time.Second), Retention: time.Hour}); d.State != OutcomeUnknown {
			t.Errorf("long after the holder's deadline: %+v", d)
		}
		if err := claim.Unknown(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := claim.Done(t.Context(), &Answer{Status: 200}); err != nil {
			t.Fatal(err)
		}
		req.Deadline = time.Now().Add(time.Second)
		if d := begin(t, b, req); d.State != Done {
			t.Errorf("the holder was not gone and finished: %+v", d)
		}
	})
}

// TestSweptSliceStaysClosed sweeps a slice while an instance whose clock is slow
// still takes its keys for fresh.
func TestSweptSliceStaysClosed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a, slow := newLedger("a", p), newLedger("slow", p)
		start := time.Now()
		req := receipt(timedKey(start), "letters")
		req.Retention = minRetention
		claim := begin(t, a, req).Claim
		if !claim.Send() {
			t.Fatal("not sent")
		}
		if err := claim.Done(t.Context(), &Answer{Status: 200}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Minute)
		deleted, err := a.Sweep(t.Context())
		if err != nil || deleted != 1 {
			t.Fatalf("swept %d objects, %v", deleted, err)
		}
		slow.now = func() time.Time { return start }
		slow.commits.(*GroupCommitter).now = slow.now
		req.Deadline = start.Add(2 * time.Second)
		for range 3 {
			d, err := slow.Begin(t.Context(), req)
			var expired *ExpiredError
			if !errors.As(err, &expired) {
				t.Errorf("receipt after the sweep: %+v, %v", d, err)
			}
		}
		again := newLedger("slow2", p)
		again.now = slow.now
		if d, err := again.Begin(t.Context(), req); err == nil && d.State == Fresh {
			t.Errorf("receipt at another slow instance: %+v", d)
		}
	})
}

func TestShardKeepsWithinAMegabyte(t *testing.T) {
	s := new(shard)
	body := bytes.Repeat([]byte("x"), maxAnswerBytes)
	for range 2000 {
		op := Op{Kind: OpClaim, Attempt: Attempt(uuid.New()), Holder: "a", At: time.Now().UnixMilli()}
		op.Key = KeyHash(uuid.New())
		s.apply(op)
		op.Kind = OpDone
		op.Answer = &Answer{Status: 200, Body: body}
		s.apply(op)
	}
	value, err := s.encode("ledger/x")
	if err != nil || len(value) > store.MaxObjectBytes {
		t.Fatalf("%d bytes, %v", len(value), err)
	}
	for _, r := range s.Records {
		if r.Phase != recordDone || r.Answer.Status != 200 || !r.Answer.Truncated {
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

// TestClaimsShareWrites counts the store's writes of many claims at once.
func TestClaimsShareWrites(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a := newLedger("a", p)
		const claims = 400
		states := make(chan State, claims)
		for range claims {
			go func() {
				d, err := a.Begin(context.Background(), receipt(timedKey(time.Now()), "x"))
				if err != nil {
					t.Errorf("begin: %v", err)
				}
				states <- d.State
			}()
		}
		for range claims {
			if s := <-states; s != Fresh {
				t.Errorf("state %d", s)
			}
		}
		if writes := p.Stats().Writes; writes > 5*timedShards {
			t.Errorf("%d claims took %d writes", claims, writes)
		}
	})
}

// TestOnlyTheOriginReleasesAClaim commits one claim at two instances. The first
// gives up waiting; the second has it confirmed, and it must stay.
func TestOnlyTheOriginReleasesAClaim(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		a, b := newLedger("a", p), newLedger("b", p)
		req := receipt(timedKey(time.Now()), "letters")
		place, key, err := locate(req, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		op := a.newClaim(req, key, time.Now())
		short, cancel := context.WithTimeout(t.Context(), 3*oneWay)
		defer cancel()
		var undecided *UndecidedError
		if _, err := b.commits.Commit(short, place, op); !errors.As(err, &undecided) {
			t.Fatalf("given up while it is being written: %v", err)
		}
		v, err := a.commits.Commit(t.Context(), place, op)
		if err != nil || v.Kind != Applied {
			t.Fatalf("the same claim at its origin: %+v, %v", v, err)
		}
		time.Sleep(10 * time.Second)
		req.Deadline = time.Now().Add(2 * time.Second)
		if d := begin(t, newLedger("c", p), req); d.State == Fresh {
			t.Error("a confirmed claim was released by another instance")
		}
	})
}
