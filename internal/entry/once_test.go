package entry

import (
	"context"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

var quietLog = log.New(io.Discard, "", 0)

func TestPrintBatchIsNotReplayedOnBrokenConnection(t *testing.T) {
	b := newBench(testDocument, nil)
	target := b.serveTargets(t, "odeslani", 1)[0]
	if w := b.do(post("/odeslani/batches", "first", "letters")); w.Code != http.StatusOK {
		t.Fatalf("first batch: %d %s", w.Code, w.Body)
	}
	target.SetBehavior(standin.Crash)
	w := b.do(post("/odeslani/batches", "second", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, MayHaveRun)
	if got := target.Received(); got != 2 {
		t.Errorf("two batches reached the target %d times", got)
	}
	w = b.do(post("/odeslani/batches", "second", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, MayHaveRun)
	if got := target.Received(); got != 2 {
		t.Errorf("a batch of unknown outcome was sent again: %d requests", got)
	}
}

func TestOnceGoesOnWhileNothingWasStarted(t *testing.T) {
	b := newBench(testDocument, nil)
	targets := b.serveTargets(t, "odeslani", 2)
	targets[0].Rejecting.Store(true)
	for range 8 {
		b.ledger.keys = make(map[string]*memoryClaim)
		if w := b.do(post("/odeslani/batches", "k", "letters")); w.Code != http.StatusOK {
			t.Fatalf("batch: %d %s", w.Code, w.Body)
		}
		if state := b.ledger.state(); state != "done" {
			t.Errorf("ledger says %q", state)
		}
	}
	if got := targets[1].Runs(); got != 8 {
		t.Errorf("8 batches ran %d times", got)
	}
}

func TestOnceShedEverywhereIsNotRun(t *testing.T) {
	b := newBench(testDocument, nil)
	targets := b.serveTargets(t, "odeslani", 3)
	for _, target := range targets {
		target.Rejecting.Store(true)
	}
	w := b.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusServiceUnavailable, CodeOverLimit, NotRun)
	if w.Header().Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if state := b.ledger.state(); state != "not-run" {
		t.Errorf("ledger says %q", state)
	}
	for _, target := range targets {
		target.Rejecting.Store(false)
	}
	if w := b.do(post("/odeslani/batches", "k", "letters")); w.Code != http.StatusOK {
		t.Errorf("after not-run: %d %s", w.Code, w.Body)
	}
}

func TestOnceUnreachableTargetsAreNotRun(t *testing.T) {
	b := newBench(testDocument, func(o *Options) {
		o.Upstream = scripted(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
			return nil, &upstream.CallError{Reason: upstream.Unreachable, Cause: io.EOF}
		})
	})
	b.listTargets("odeslani", 2, 2)
	w := b.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeTargetFailed, NotRun)
	if state := b.ledger.state(); state != "not-run" {
		t.Errorf("ledger says %q", state)
	}
}

// A caller that leaves after sending doesn't cancel a print batch; its outcome
// is recorded, and a later receipt gets the answer.
func TestOutcomeIsRecordedAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		sent := 0
		b := newBench(testDocument, func(o *Options) {
			o.Upstream = scripted(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				if !call.Commit() {
					return nil, &upstream.CallError{Reason: upstream.NotCommitted, Cause: upstream.NotCommittedError{}}
				}
				sent++
				if err := pause(ctx, call, 40*time.Second); err != nil {
					return nil, err
				}
				return answerWith(http.StatusOK, "printed"), nil
			})
		})
		b.listTargets("odeslani", 2, 2)
		w := b.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusGatewayTimeout, CodeDeadlinePassed, MayHaveRun)
		w = b.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusConflict, CodeInProgress, Running)
		if err := b.Settle(t.Context()); err != nil {
			t.Fatal(err)
		}
		w = b.do(post("/odeslani/batches", "k", "letters"))
		if w.Code != http.StatusOK || w.Body.String() != "printed" || sent != 1 {
			t.Errorf("later receipt: %d %s, sent %d times", w.Code, w.Body, sent)
		}
	})
}

// A deadline that passes before the connection is ready is not-run for good:
// the delayed attempt may not send any more.
func TestNotRunIsTrueForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		b := newBench(testDocument, func(o *Options) {
			o.Upstream = scripted(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				time.Sleep(31 * time.Second)
				if call.Commit() {
					t.Error("sent after the caller was told not-run")
				}
				return nil, &upstream.CallError{Reason: upstream.NotCommitted, Cause: upstream.NotCommittedError{}}
			})
		})
		b.listTargets("odeslani", 2, 2)
		w := b.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusGatewayTimeout, CodeDeadlinePassed, NotRun)
		synctest.Wait()
		if err := b.Settle(t.Context()); err != nil {
			t.Fatal(err)
		}
		if state := b.ledger.state(); state != "not-run" {
			t.Errorf("ledger says %q", state)
		}
	})
}

func TestLargeAnswerIsMarkedAsNotKept(t *testing.T) {
	b := newBench(testDocument, nil)
	target := b.serveTargets(t, "odeslani", 1)[0]
	large := strings.Repeat("x", maxKeptAnswer+1)
	target.SetBehavior(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) })
	if w := b.do(post("/odeslani/batches", "k", "letters")); w.Code != http.StatusOK || w.Body.String() != large {
		t.Fatalf("first receipt: %d, %d bytes", w.Code, w.Body.Len())
	}
	w := b.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusGone, CodeAnswerNotKept, HasRun)
}

func TestTruncatedOnceAnswerIsUnknown(t *testing.T) {
	b := newBench(testDocument, nil)
	target := b.serveTargets(t, "odeslani", 1)[0]
	target.SetBehavior(standin.Truncate)
	w := b.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, MayHaveRun)
	if state := b.ledger.state(); state != "unknown" {
		t.Errorf("ledger says %q", state)
	}
}

func TestKeysBelongToCallers(t *testing.T) {
	b := newBench(testDocument, nil)
	target := b.serveTargets(t, "odeslani", 1)[0]
	for _, caller := range []string{"dental", "housing", "dental"} {
		req := post("/odeslani/batches", "december", "letters")
		req.Header.Set(DefaultCallerHeader, caller)
		if w := b.do(req); w.Code != http.StatusOK {
			t.Errorf("%s: %d %s", caller, w.Code, w.Body)
		}
	}
	if got := target.Runs(); got != 2 {
		t.Errorf("batches of two callers ran %d times", got)
	}
}

func TestReceiptWithoutKeyIsSentOnce(t *testing.T) {
	document := strings.Replace(testDocument, `"services"`,
		`"exceptions":[{"scope":{"service":"odeslani"},"set":{"requireKey":false},"reason":"old client","author":"eva"}],"services"`, 1)
	b := newBench(document, nil)
	targets := b.serveTargets(t, "odeslani", 2)
	if w := b.do(post("/odeslani/batches", "", "letters")); w.Code != http.StatusOK {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
	for _, target := range targets {
		target.SetBehavior(standin.Crash)
	}
	w := b.do(post("/odeslani/batches", "", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, MayHaveRun)
	if got := targets[0].Received() + targets[1].Received(); got != 2 {
		t.Errorf("two receipts were sent %d times", got)
	}
	if len(b.ledger.keys) != 0 {
		t.Error("a receipt without a key reached the ledger")
	}
}

func TestCallerGoneRecordsOutcome(t *testing.T) {
	b := newBench(testDocument, nil)
	target := b.serveTargets(t, "odeslani", 1)[0]
	arrived, finish := make(chan struct{}), make(chan struct{})
	target.SetBehavior(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-finish
		_, _ = io.WriteString(w, "printed")
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- b.do(post("/odeslani/batches", "k", "letters").WithContext(ctx)) }()
	<-arrived
	cancel()
	wantProblem(t, <-done, statusCallerGone, CodeCallerCancelled, MayHaveRun)
	close(finish)
	if err := b.Settle(t.Context()); err != nil {
		t.Fatal(err)
	}
	if state := b.ledger.state(); state != "done" {
		t.Errorf("ledger says %q", state)
	}
}

var _ ledger.Ledger = (*memoryLedger)(nil)

// A target that hangs up on every connection that was used before gets each
// batch over a fresh one.
func TestPrintBatchUsesFreshConnections(t *testing.T) {
	b := newBench(testDocument, nil)
	target := b.serveTargets(t, "odeslani", 1)[0]
	var used sync.Map
	target.SetBehavior(func(w http.ResponseWriter, r *http.Request) {
		if _, again := used.LoadOrStore(r.RemoteAddr, true); again {
			standin.CloseConnection(w, r)
		}
	})
	for _, key := range []string{"a", "b", "c", "d"} {
		if w := b.do(post("/odeslani/batches", key, "letters")); w.Code != http.StatusOK {
			t.Errorf("batch %s: %d %s", key, w.Code, w.Body)
		}
	}
}

// givenUpLedger returns claims that were given up by someone else.
type givenUpLedger struct{}

func (givenUpLedger) Begin(_ context.Context, req ledger.Request) (ledger.Decision, error) {
	claim := &receiptClaim{deadline: req.Deadline}
	claim.Abandon()
	return ledger.Decision{State: ledger.Claimed, Claim: claim}, nil
}

func TestNothingIsSentWithoutThePermissionOfTheClaim(t *testing.T) {
	b := newBench(testDocument, func(o *Options) { o.Ledger = givenUpLedger{} })
	target := b.serveTargets(t, "odeslani", 1)[0]
	w := b.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusGatewayTimeout, CodeDeadlinePassed, NotRun)
	if got := target.Received(); got != 0 {
		t.Errorf("%d requests were sent", got)
	}
}

// A target that sheds a request after its deadline doesn't cause another attempt.
func TestLateShedIsNotSentElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		committed := 0
		b := newBench(testDocument, func(o *Options) {
			o.Upstream = scripted(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
				if !call.Commit() {
					return nil, &upstream.CallError{Reason: upstream.NotCommitted, Cause: upstream.NotCommittedError{}}
				}
				committed++
				time.Sleep(31 * time.Second)
				answer := answerWith(http.StatusServiceUnavailable, "")
				answer.Shed = true
				return answer, nil
			})
		})
		b.listTargets("odeslani", 2, 2)
		w := b.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusGatewayTimeout, CodeDeadlinePassed, MayHaveRun)
		if err := b.Settle(t.Context()); err != nil {
			t.Fatal(err)
		}
		if state := b.ledger.state(); committed != 1 || state != "not-run" {
			t.Errorf("sent %d times, ledger says %q", committed, state)
		}
	})
}
