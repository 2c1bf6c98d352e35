package reverseproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/ledger"
)

// serveNonIdempotent serves a request that must run at most once.
func (s *Server) serveNonIdempotent(c *gin.Context, r *request) *Problem {
	body, problem := s.readBody(c, r)
	if problem != nil {
		return problem
	}
	r.svc.retryBudget.Deposit(r.policy.RetryBudget)
	decision, problem := s.claimKey(c.Request.Context(), r, body)
	if problem != nil {
		return problem
	}
	if decision.State != ledger.Claimed {
		return s.respondToDuplicate(c, r, decision)
	}
	// Checked only after the claim: if an earlier request with this key was sent,
	// its outcome must not be reported as not-run.
	if problem := s.checkQuarantine(r, body); problem != nil {
		decision.Claim.Abandon()
		s.releaseClaim(r, decision.Claim)
		return problem
	}
	return s.deliver(c, r, body, decision.Claim)
}

// respondToDuplicate responds to a request whose key another request has claimed
// before.
func (s *Server) respondToDuplicate(c *gin.Context, r *request, d ledger.Decision) *Problem {
	switch d.State {
	case ledger.Done:
		s.recordEvent(r, events.ClaimReplayed, "", "")
		return replayResponse(c, r, d.Response)
	case ledger.InProgress:
		return newProblem(http.StatusConflict, CodeInProgress, InProgress, "another receipt is being run by "+string(d.Holder)).withRetryAfter(time.Second)
	default:
		return newProblem(http.StatusBadGateway, CodeOutcomeUnknown, OutcomeUnknown, "an earlier receipt was sent and its answer is lost")
	}
}

func replayResponse(c *gin.Context, r *request, response *ledger.Response) *Problem {
	if response == nil || response.Truncated {
		return newProblem(http.StatusGone, CodeAnswerNotKept, HasRun, "the request ran and was answered; the answer was too large to keep")
	}
	writeResponse(c, r, response)
	return nil
}

// deliver sends a claimed request in its own goroutine, which continues when the
// caller disconnects, so that the outcome is recorded.
func (s *Server) deliver(c *gin.Context, r *request, body []byte, claim ledger.Claim) *Problem {
	callerCtx, cancel := context.WithDeadline(c.Request.Context(), r.deadline)
	defer cancel()
	d := newDelivery(callerCtx, s, r, body, claim)
	s.pendingOutcomes.Go(d.run)
	select {
	case result := <-d.done:
		return s.respondWithResult(c, r, d, result)
	case <-callerCtx.Done():
	}
	close(d.handlerGone)
	return d.abandon(callerCtx)
}

// abandon abandons the claim and returns the problem for a caller that
// disconnects, or whose deadline passes, before the delivery has ended.
func (d *delivery) abandon(callerCtx context.Context) *Problem {
	runState := OutcomeUnknown
	if d.claim.Abandon() {
		runState = NotRun
	}
	if callerCtx.Err() == context.DeadlineExceeded {
		return newProblem(http.StatusGatewayTimeout, CodeDeadlinePassed, runState, "no answer came before the deadline")
	}
	d.server.recordEvent(d.request, events.CallerGone, "", string(runState))
	return newProblem(statusCallerGone, CodeCallerCancelled, runState, "the caller left")
}

// respondWithResult sends the result of a delivery to the caller.
func (s *Server) respondWithResult(c *gin.Context, r *request, d *delivery, result deliveryResult) *Problem {
	switch {
	case result.problem != nil:
		return result.problem
	case result.response != nil:
		s.recordEvent(r, events.RequestAnswered, result.target, http.StatusText(result.response.Status))
		writeResponse(c, r, result.response)
		return nil
	default:
		s.relayOversized(c, r, d, result.oversized)
		return nil
	}
}

// relayOversized streams a response larger than maxBufferedResponse. The outcome
// is recorded even if the caller disconnects in the middle.
func (s *Server) relayOversized(c *gin.Context, r *request, d *delivery, x *exchange) {
	defer d.finishOversized(x)
	s.writeResponseHeader(c, r, x)
	s.streamBodyUntil(c, r, x, r.deadline.Add(slowCallerTimeout))
}
