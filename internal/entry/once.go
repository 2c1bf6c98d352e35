package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/ledger"
)

// serveOnce answers a request that must run at most once.
func (s *Server) serveOnce(c *gin.Context, r *request) *Problem {
	body, problem := s.readBody(c, r)
	if problem != nil {
		return problem
	}
	r.svc.retries.Deposit(r.policy.RetryBudget)
	decision, problem := s.claim(c.Request.Context(), r, body)
	if problem != nil {
		return problem
	}
	if decision.State != ledger.Claimed {
		return s.answerEarlier(c, r, decision)
	}
	// Asked only now: an earlier receipt of the key that was sent must not be
	// reported as not run.
	if problem := s.quarantined(r, body); problem != nil {
		decision.Claim.Abandon()
		s.releaseClaim(r, decision.Claim)
		return problem
	}
	return s.deliver(c, r, body, decision.Claim)
}

// answerEarlier answers a receipt of a key that another receipt claimed first.
func (s *Server) answerEarlier(c *gin.Context, r *request, d ledger.Decision) *Problem {
	switch d.State {
	case ledger.Done:
		s.record(r, events.ClaimReplayed, "", "")
		return replay(c, r, d.Response)
	case ledger.InProgress:
		return refuse(http.StatusConflict, CodeInProgress, Running, "another receipt is being run by "+string(d.Holder)).after(time.Second)
	default:
		return refuse(http.StatusBadGateway, CodeOutcomeUnknown, MayHaveRun, "an earlier receipt was sent and its answer is lost")
	}
}

func replay(c *gin.Context, r *request, answer *ledger.Response) *Problem {
	if answer == nil || answer.Truncated {
		return refuse(http.StatusGone, CodeAnswerNotKept, HasRun, "the request ran and was answered; the answer was too large to keep")
	}
	writeAnswer(c, r, answer)
	return nil
}

// deliver sends a claimed request in a goroutine of its own, which outlives a
// caller that leaves, so that the outcome is recorded when it comes.
func (s *Server) deliver(c *gin.Context, r *request, body []byte, claim ledger.Claim) *Problem {
	callerCtx, cancel := context.WithDeadline(c.Request.Context(), r.deadline)
	defer cancel()
	d := newDelivery(callerCtx, s, r, body, claim)
	s.settling.Go(d.run)
	select {
	case end := <-d.ended:
		return s.answerOnce(c, r, d, end)
	case <-callerCtx.Done():
	}
	close(d.gone)
	return d.left(callerCtx)
}

// left decides what a caller is told that goes, or whose deadline passes, before
// the delivery has ended.
func (d *delivery) left(callerCtx context.Context) *Problem {
	ran := MayHaveRun
	if d.claim.Abandon() {
		ran = NotRun
	}
	if callerCtx.Err() == context.DeadlineExceeded {
		return refuse(http.StatusGatewayTimeout, CodeDeadlinePassed, ran, "no answer came before the deadline")
	}
	d.s.record(d.r, events.CallerGone, "", string(ran))
	return refuse(statusCallerGone, CodeCallerCancelled, ran, "the caller left")
}

// answerOnce tells the caller how a delivery ended.
func (s *Server) answerOnce(c *gin.Context, r *request, d *delivery, end deliveryEnd) *Problem {
	switch {
	case end.problem != nil:
		return end.problem
	case end.answer != nil:
		s.record(r, events.RequestAnswered, end.target, http.StatusText(end.answer.Status))
		writeAnswer(c, r, end.answer)
		return nil
	default:
		s.relayLarge(c, r, d, end.large)
		return nil
	}
}

// relayLarge streams an answer that is too large to be kept. The outcome is
// recorded in any case: also if the caller leaves in the middle.
func (s *Server) relayLarge(c *gin.Context, r *request, d *delivery, x *exchange) {
	defer d.finishLarge(x)
	s.copyAnswerHeader(c, r, x)
	s.streamUntil(c, r, x, r.deadline.Add(slowCallerTimeout))
}
