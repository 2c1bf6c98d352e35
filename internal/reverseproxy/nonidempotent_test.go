package reverseproxy

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

var discardLog = log.New(io.Discard, "", 0)

func TestNonIdempotentIsNotResentAfterBrokenConnection(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "odeslani", 1)[0]
	if w := s.do(post("/odeslani/batches", "first", "letters")); w.Code != http.StatusOK {
		t.Fatalf("first batch: %d %s", w.Code, w.Body)
	}
	target.SetBehavior(standin.Crash)
	w := s.do(post("/odeslani/batches", "second", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, OutcomeUnknown)
	if got := target.Received(); got != 2 {
		t.Errorf("two batches reached the target %d times", got)
	}
	w = s.do(post("/odeslani/batches", "second", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, OutcomeUnknown)
	if got := target.Received(); got != 2 {
		t.Errorf("a batch with unknown outcome was sent again: %d requests", got)
	}
}

func TestNonIdempotentIsRetriedAfterShed(t *testing.T) {
	s := newTestServer(testDocument, nil)
	targets := s.serveTargets(t, "odeslani", 2)
	targets[0].Rejecting.Store(true)
	for range 8 {
		s.ledger.keys = make(map[string]*memoryClaim)
		if w := s.do(post("/odeslani/batches", "k", "letters")); w.Code != http.StatusOK {
			t.Fatalf("batch: %d %s", w.Code, w.Body)
		}
		if state := s.ledger.state(); state != "done" {
			t.Errorf("ledger state %q", state)
		}
	}
	if got := targets[1].Runs(); got != 8 {
		t.Errorf("8 batches ran %d times", got)
	}
}

func TestNonIdempotentShedByAllTargetsIsNotRun(t *testing.T) {
	s := newTestServer(testDocument, nil)
	targets := s.serveTargets(t, "odeslani", 3)
	for _, target := range targets {
		target.Rejecting.Store(true)
	}
	w := s.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusServiceUnavailable, CodeOverLimit, NotRun)
	if w.Header().Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if state := s.ledger.state(); state != "not-run" {
		t.Errorf("ledger state %q", state)
	}
	for _, target := range targets {
		target.Rejecting.Store(false)
	}
	if w := s.do(post("/odeslani/batches", "k", "letters")); w.Code != http.StatusOK {
		t.Errorf("after not-run: %d %s", w.Code, w.Body)
	}
}

func TestNonIdempotentWithUnreachableTargetsIsNotRun(t *testing.T) {
	s := newTestServer(testDocument, func(o *Options) {
		o.Upstream = clientFunc(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
			return nil, &upstream.CallError{Reason: upstream.Unreachable, Cause: io.EOF}
		})
	})
	s.listTargets("odeslani", 2, 2)
	w := s.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeTargetFailed, NotRun)
	if state := s.ledger.state(); state != "not-run" {
		t.Errorf("ledger state %q", state)
	}
}

// A deadline that passes after sending must not cancel a print batch: its outcome
// is recorded, and a later request with the same key gets the response.
func TestOutcomeIsRecordedAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		sent := 0
		s := newTestServer(testDocument, func(o *Options) {
			o.Upstream = clientFunc(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				if !call.Commit() {
					return nil, &upstream.CallError{Reason: upstream.NotCommitted, Cause: upstream.NotCommittedError{}}
				}
				sent++
				if err := sleepContext(ctx, call, 40*time.Second); err != nil {
					return nil, err
				}
				return newResponse(http.StatusOK, "printed"), nil
			})
		})
		s.listTargets("odeslani", 2, 2)
		w := s.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusGatewayTimeout, CodeDeadlinePassed, OutcomeUnknown)
		w = s.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusConflict, CodeInProgress, InProgress)
		if err := s.WaitForOutcomes(t.Context()); err != nil {
			t.Fatal(err)
		}
		w = s.do(post("/odeslani/batches", "k", "letters"))
		if w.Code != http.StatusOK || w.Body.String() != "printed" || sent != 1 {
			t.Errorf("later request: %d %s, sent %d times", w.Code, w.Body, sent)
		}
	})
}

// If the deadline passes before a connection is ready, not-run must be final: the
// delayed attempt must not send the request.
func TestNotRunIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		s := newTestServer(testDocument, func(o *Options) {
			o.Upstream = clientFunc(func(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
				time.Sleep(31 * time.Second)
				if call.Commit() {
					t.Error("sent after the caller got not-run")
				}
				return nil, &upstream.CallError{Reason: upstream.NotCommitted, Cause: upstream.NotCommittedError{}}
			})
		})
		s.listTargets("odeslani", 2, 2)
		w := s.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusGatewayTimeout, CodeDeadlinePassed, NotRun)
		synctest.Wait()
		if err := s.WaitForOutcomes(t.Context()); err != nil {
			t.Fatal(err)
		}
		if state := s.ledger.state(); state != "not-run" {
			t.Errorf("ledger state %q", state)
		}
	})
}

func TestLargeResponseIsNotStored(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "odeslani", 1)[0]
	large := strings.Repeat("x", maxBufferedResponse+1)
	target.SetBehavior(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) })
	if w := s.do(post("/odeslani/batches", "k", "letters")); w.Code != http.StatusOK || w.Body.String() != large {
		t.Fatalf("first request: %d, %d bytes", w.Code, w.Body.Len())
	}
	w := s.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusGone, CodeAnswerNotKept, HasRun)
}

func TestTruncatedNonIdempotentResponseIsOutcomeUnknown(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "odeslani", 1)[0]
	target.SetBehavior(standin.Truncate)
	w := s.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, OutcomeUnknown)
	if state := s.ledger.state(); state != "unknown" {
		t.Errorf("ledger state %q", state)
	}
}

func TestIdempotencyKeysAreScopedToCaller(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "odeslani", 1)[0]
	for _, caller := range []string{"dental", "housing", "dental"} {
		req := post("/odeslani/batches", "december", "letters")
		req.Header.Set(DefaultCallerHeader, caller)
		if w := s.do(req); w.Code != http.StatusOK {
			t.Errorf("%s: %d %s", caller, w.Code, w.Body)
		}
	}
	if got := target.Runs(); got != 2 {
		t.Errorf("batches of two callers ran %d times", got)
	}
}

func TestRequestWithoutKeyIsSentOnce(t *testing.T) {
	document := strings.Replace(testDocument, `"services"`,
		`"exceptions":[{"scope":{"service":"odeslani"},"set":{"requireKey":false},"reason":"old client","author":"eva"}],"services"`, 1)
	s := newTestServer(document, nil)
	targets := s.serveTargets(t, "odeslani", 2)
	if w := s.do(post("/odeslani/batches", "", "letters")); w.Code != http.StatusOK {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
	for _, target := range targets {
		target.SetBehavior(standin.Crash)
	}
	w := s.do(post("/odeslani/batches", "", "letters"))
	wantProblem(t, w, http.StatusBadGateway, CodeOutcomeUnknown, OutcomeUnknown)
	if got := targets[0].Received() + targets[1].Received(); got != 2 {
		t.Errorf("two requests were sent %d times", got)
	}
	if len(s.ledger.keys) != 0 {
		t.Error("a request without a key reached the ledger")
	}
}

func TestOutcomeIsRecordedAfterCallerDisconnects(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "odeslani", 1)[0]
	arrived, finish := make(chan struct{}), make(chan struct{})
	target.SetBehavior(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-finish
		_, _ = io.WriteString(w, "printed")
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- s.do(post("/odeslani/batches", "k", "letters").WithContext(ctx)) }()
	<-arrived
	cancel()
	wantProblem(t, <-done, statusCallerGone, CodeCallerCancelled, OutcomeUnknown)
	close(finish)
	if err := s.WaitForOutcomes(t.Context()); err != nil {
		t.Fatal(err)
	}
	if state := s.ledger.state(); state != "done" {
		t.Errorf("ledger state %q", state)
	}
}

var _ ledger.Ledger = (*memoryLedger)(nil)

// A target that closes each reused connection must get every batch over a new
// one.
func TestNonIdempotentUsesFreshConnections(t *testing.T) {
	s := newTestServer(testDocument, nil)
	target := s.serveTargets(t, "odeslani", 1)[0]
	var used sync.Map
	target.SetBehavior(func(w http.ResponseWriter, r *http.Request) {
		if _, again := used.LoadOrStore(r.RemoteAddr, true); again {
			standin.CloseConnection(w, r)
		}
	})
	for _, key := range []string{"a", "b", "c", "d"} {
		if w := s.do(post("/odeslani/batches", key, "letters")); w.Code != http.StatusOK {
			t.Errorf("batch %s: %d %s", key, w.Code, w.Body)
		}
	}
}

// abandonedLedger returns claims that are already abandoned.
type abandonedLedger struct{}

func (abandonedLedger) Begin(_ context.Context, req ledger.Request) (ledger.Decision, error) {
	claim := &unkeyedClaim{deadline: req.Deadline}
	claim.Abandon()
	return ledger.Decision{State: ledger.Claimed, Claim: claim}, nil
}

func TestNothingIsSentForAbandonedClaim(t *testing.T) {
	s := newTestServer(testDocument, func(o *Options) { o.Ledger = abandonedLedger{} })
	target := s.serveTargets(t, "odeslani", 1)[0]
	w := s.do(post("/odeslani/batches", "k", "letters"))
	wantProblem(t, w, http.StatusGatewayTimeout, CodeDeadlinePassed, NotRun)
	if got := target.Received(); got != 0 {
		t.Errorf("%d requests were sent", got)
	}
}

// A target that sheds a request after its deadline must not cause another
// attempt.
func TestLateShedIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer finishBackground()
		committed := 0
		s := newTestServer(testDocument, func(o *Options) {
			o.Upstream = clientFunc(func(_ context.Context, call upstream.Call) (*upstream.Response, error) {
				if !call.Commit() {
					return nil, &upstream.CallError{Reason: upstream.NotCommitted, Cause: upstream.NotCommittedError{}}
				}
				committed++
				time.Sleep(31 * time.Second)
				response := newResponse(http.StatusServiceUnavailable, "")
				response.Shed = true
				return response, nil
			})
		})
		s.listTargets("odeslani", 2, 2)
		w := s.do(post("/odeslani/batches", "k", "letters"))
		wantProblem(t, w, http.StatusGatewayTimeout, CodeDeadlinePassed, OutcomeUnknown)
		if err := s.WaitForOutcomes(t.Context()); err != nil {
			t.Fatal(err)
		}
		if state := s.ledger.state(); committed != 1 || state != "not-run" {
			t.Errorf("sent %d times, ledger state %q", committed, state)
		}
	})
}
