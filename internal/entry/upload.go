package entry

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

// upload is one upload on its way. Its body streams through; a stall of either
// side ends it, the total time does not.
type upload struct {
	s       *Server
	r       *request
	ctx     context.Context
	cancel  context.CancelCauseFunc
	control *http.ResponseController
	body    *heldBody
	watch   *stallWatch
	tried   []model.TargetID
	sent    bool
}

// serveUpload streams a body of any length to a target.
func (s *Server) serveUpload(c *gin.Context, r *request) *Problem {
	announced := []byte(strconv.FormatInt(r.http.ContentLength, 10))
	if problem := s.quarantined(r, announced); problem != nil {
		return problem
	}
	r.svc.retries.Deposit(r.policy.RetryBudget)
	ctx, cancel := context.WithCancelCause(c.Request.Context())
	defer cancel(nil)
	u := &upload{s: s, r: r, ctx: ctx, cancel: cancel, control: http.NewResponseController(c.Writer)}
	u.watch = newStallWatch(r.policy.ProgressTimeout, u.stalled)
	defer u.watch.stop()
	u.body = newHeldBody(r.http.Body, r.policy.HeldBody, u.watch.progress)
	// The answer may come before the body has ended.
	_ = u.control.EnableFullDuplex()
	defer u.dropRest()
	x, problem := u.send()
	if problem != nil {
		c.Header("Connection", "close")
		return problem
	}
	s.relayUpload(c, u, x)
	return nil
}

// dropRest frees a read of the caller's body that is still blocked after the
// exchange has ended.
func (u *upload) dropRest() {
	u.body.close()
	if !u.body.ended() {
		_ = u.control.SetReadDeadline(time.Now())
	}
}

// stalled ends the upload and frees a blocked read of the caller's body.
func (u *upload) stalled() {
	side := TargetSide
	if u.body.reading.Load() {
		side = CallerSide
	}
	u.cancel(&StallError{Side: side})
	_ = u.control.SetReadDeadline(time.Now())
}

// send tries targets while the whole body so far is held and none has answered.
func (u *upload) send() (*exchange, *Problem) {
	for {
		e, problem := u.s.choose(u.ctx, u.r, u.tried)
		if problem != nil {
			return nil, u.explain(problem)
		}
		u.watch.progress(0)
		u.tried = append(u.tried, e.Target.ID)
		x, again, problem := u.attempt(e)
		if !again {
			return x, problem
		}
	}
}

func (u *upload) attempt(e *routing.Endpoint) (x *exchange, again bool, problem *Problem) {
	reader := u.body.attach()
	x, err := u.s.exchange(u.ctx, u.r, u.call(e, reader))
	if err == nil && !x.result.Shed {
		return x, false, nil
	}
	held := reader.detach()
	if err == nil {
		x.close()
		problem = refuse(http.StatusServiceUnavailable, CodeOverLimit, NotRun, "targets shed the upload").after(time.Second)
	} else {
		u.sent = u.sent || err.Sent
		u.s.crashed(u.r, err, u.r.fingerprint([]byte(strconv.FormatInt(u.r.http.ContentLength, 10))))
		problem = refuse(http.StatusBadGateway, CodeTargetFailed, NotRun, "no target took the upload")
	}
	problem = u.explain(problem)
	again = held && u.ctx.Err() == nil && len(u.tried) < maxAttempts && u.s.spendRetry(u.r, e.Target.ID)
	return nil, again, problem
}

func (u *upload) call(e *routing.Endpoint, body *bodyReader) upstream.Call {
	return upstream.Call{
		Endpoint:      e,
		Method:        u.r.http.Method,
		Path:          u.r.path,
		Query:         u.r.query,
		Header:        u.r.header(time.Now(), len(u.tried) > 1 || u.r.retried),
		Body:          body,
		ContentLength: u.r.http.ContentLength,
		OnWrite:       u.watch.progress,
		OnClose:       body.interrupt,
	}
}

// explain replaces a problem by the cause behind it and says whether the upload
// may have run.
func (u *upload) explain(p *Problem) *Problem {
	var stall *StallError
	bodyErr := u.body.failed()
	switch {
	case errors.As(context.Cause(u.ctx), &stall) && stall.Side == CallerSide:
		p = refuse(http.StatusRequestTimeout, CodeUploadStalled, NotRun, stall.Error())
	case errors.As(context.Cause(u.ctx), &stall):
		p = refuse(http.StatusGatewayTimeout, CodeUploadStalled, NotRun, stall.Error())
	case u.r.http.Context().Err() != nil:
		u.s.record(u.r, events.CallerGone, "", "")
		p = refuse(statusCallerGone, CodeCallerCancelled, NotRun, "the caller left")
	case bodyErr != nil:
		p = refuse(http.StatusBadRequest, CodeBadLength, NotRun, "the body ended before its announced length or is malformed")
	}
	if u.sent {
		p.Ran = MayHaveRun
	}
	return p
}

// relayUpload sends the answer to the caller; a caller that does not take it is
// a stall, too.
func (s *Server) relayUpload(c *gin.Context, u *upload, x *exchange) {
	defer x.close()
	u.watch.stop()
	answer := newStallWatch(u.r.policy.ProgressTimeout, func() {
		u.cancel(&StallError{Side: CallerSide})
		_ = u.control.SetWriteDeadline(time.Now())
	})
	defer answer.stop()
	x.onRead = answer.progress
	s.copyAnswerHeader(c, u.r, x)
	s.stream(c, u.r, x)
}
