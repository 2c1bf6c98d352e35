package reverseproxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// upload is an upload in progress. Its body is streamed. It fails if either side
// stalls; its total duration is not limited.
type upload struct {
	server       *Server
	request      *request
	ctx          context.Context
	cancel       context.CancelCauseFunc
	control      *http.ResponseController
	body         *replayBody
	detector     *stallDetector
	triedTargets []model.TargetID
	sent         bool
}

// serveUpload streams a body of any length to a target. The quarantine
// fingerprint covers the content length in place of the body, which is not known
// yet.
func (s *Server) serveUpload(c *gin.Context, r *request) *Problem {
	contentLength := []byte(strconv.FormatInt(r.httpRequest.ContentLength, 10))
	if problem := s.checkQuarantine(r, contentLength); problem != nil {
		return problem
	}
	r.svc.retryBudget.Deposit(r.policy.RetryBudget)
	ctx, cancel := context.WithCancelCause(c.Request.Context())
	defer cancel(nil)
	u := &upload{server: s, request: r, ctx: ctx, cancel: cancel, control: http.NewResponseController(c.Writer)}
	u.detector = newStallDetector(r.policy.ProgressTimeout, u.handleStall)
	defer u.detector.stop()
	u.body = newReplayBody(r.httpRequest.Body, r.policy.HeldBody, u.detector.progress)
	// The target may respond before the body has ended.
	_ = u.control.EnableFullDuplex()
	defer u.unblockBodyRead()
	x, problem := u.send()
	if problem != nil {
		c.Header("Connection", "close")
		return problem
	}
	s.relayUploadResponse(c, u, x)
	return nil
}

// unblockBodyRead closes the body and unblocks a read of the caller's body that
// is in progress after the exchange has ended.
func (u *upload) unblockBodyRead() {
	u.body.close()
	if !u.body.reachedEOF() {
		_ = u.control.SetReadDeadline(time.Now())
	}
}

// handleStall cancels the upload and unblocks a read of the caller's body.
func (u *upload) handleStall() {
	side := TargetSide
	if u.body.reading.Load() {
		side = CallerSide
	}
	u.cancel(&StallError{Side: side})
	_ = u.control.SetReadDeadline(time.Now())
}

// send tries targets until one responds or the body can't be replayed.
func (u *upload) send() (*exchange, *Problem) {
	for {
		e, problem := u.server.selectTarget(u.ctx, u.request, u.triedTargets)
		if problem != nil {
			return nil, u.refineProblem(problem)
		}
		u.detector.progress(0)
		u.triedTargets = append(u.triedTargets, e.Target.ID)
		x, retry, problem := u.attempt(e)
		if !retry {
			return x, problem
		}
	}
}

// attempt sends the upload to one target. It returns the exchange if the target
// responded; otherwise it returns the problem and whether another target may be
// tried.
func (u *upload) attempt(e *routing.Endpoint) (x *exchange, retry bool, problem *Problem) {
	reader := u.body.newReader()
	x, err := u.server.doExchange(u.ctx, u.request, u.call(e, reader))
	if err == nil && !x.response.Shed {
		return x, false, nil
	}
	replayable := reader.detach()
	if err == nil {
		x.close()
		problem = newProblem(http.StatusServiceUnavailable, CodeOverLimit, NotRun, "targets shed the upload").withRetryAfter(time.Second)
	} else {
		u.sent = u.sent || err.Sent
		u.server.reportCrash(u.request, err, u.request.fingerprint([]byte(strconv.FormatInt(u.request.httpRequest.ContentLength, 10))))
		problem = newProblem(http.StatusBadGateway, CodeTargetFailed, NotRun, "no target took the upload")
	}
	problem = u.refineProblem(problem)
	retry = replayable && u.ctx.Err() == nil && len(u.triedTargets) < maxAttempts && u.server.spendRetry(u.request, e.Target.ID)
	return nil, retry, problem
}

func (u *upload) call(e *routing.Endpoint, body *bodyReader) upstream.Call {
	return upstream.Call{
		Endpoint:      e,
		Method:        u.request.httpRequest.Method,
		Path:          u.request.path,
		Query:         u.request.query,
		ForceQuery:    u.request.forceQuery,
		Header:        u.request.targetHeader(time.Now(), len(u.triedTargets) > 1 || u.request.retried),
		Body:          body,
		ContentLength: u.request.httpRequest.ContentLength,
		OnWrite:       u.detector.progress,
		OnClose:       body.interrupt,
	}
}

// refineProblem replaces a problem by a more specific one if the cause is known,
// and sets whether the upload may have run.
func (u *upload) refineProblem(p *Problem) *Problem {
	var stall *StallError
	bodyErr := u.body.readError()
	switch {
	case errors.As(context.Cause(u.ctx), &stall) && stall.Side == CallerSide:
		p = newProblem(http.StatusRequestTimeout, CodeUploadStalled, NotRun, stall.Error())
	case errors.As(context.Cause(u.ctx), &stall):
		p = newProblem(http.StatusGatewayTimeout, CodeUploadStalled, NotRun, stall.Error())
	case u.request.httpRequest.Context().Err() != nil:
		u.server.recordEvent(u.request, events.CallerGone, "", "")
		p = newProblem(statusCallerGone, CodeCallerCancelled, NotRun, "the caller left")
	case bodyErr != nil:
		p = newProblem(http.StatusBadRequest, CodeBadLength, NotRun, "the body ended before its announced length or is malformed")
	}
	if u.sent {
		p.RunState = OutcomeUnknown
	}
	return p
}

// relayUploadResponse streams the response to the caller. A caller that doesn't
// accept bytes for the progress timeout counts as stalled.
func (s *Server) relayUploadResponse(c *gin.Context, u *upload, x *exchange) {
	defer x.close()
	u.detector.stop()
	responseStall := newStallDetector(u.request.policy.ProgressTimeout, func() {
		u.cancel(&StallError{Side: CallerSide})
		_ = u.control.SetWriteDeadline(time.Now())
	})
	defer responseStall.stop()
	x.onRead = responseStall.progress
	s.writeResponseHeader(c, u.request, x)
	s.streamBody(c, u.request, x)
}
