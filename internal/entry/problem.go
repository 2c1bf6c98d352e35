// Package entry is the side of the balancer that faces callers: it receives
// requests, drives the attempts at targets and answers, streaming both ways.
package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gin-gonic/gin/render"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// Ran says what a refusal means for the caller's work.
type Ran string

const (
	// NotRun means that nothing was and nothing will be run for this request.
	NotRun Ran = "not-run"
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun Ran = "outcome-unknown"
	// Running means that another receipt of the request is being run.
	Running Ran = "in-progress"
	// HasRun means that the request ran and was answered.
	HasRun Ran = "ran"
)

// Code names a refusal. The text is stable.
type Code string

// Codes of refusals.
const (
	CodeUnknownService  Code = "unknown-service"
	CodeNotReady        Code = "not-ready"
	CodeBadDeadline     Code = "bad-deadline"
	CodeBadLength       Code = "bad-length"
	CodeBadCaller       Code = "bad-caller"
	CodeBadRequestID    Code = "bad-request-id"
	CodeHeaderTooLarge  Code = "header-too-large"
	CodeTooDeep         Code = "too-deep"
	CodeKeyMissing      Code = "key-missing"
	CodeKeyInvalid      Code = "key-invalid"
	CodeKeyReused       Code = "key-reused"
	CodeKeyExpired      Code = "key-expired"
	CodeQuarantined     Code = "quarantined"
	CodeOverLimit       Code = "over-limit"
	CodeStoreDown       Code = "store-down"
	CodeNoTarget        Code = "no-target"
	CodeDeadlinePassed  Code = "deadline-passed"
	CodeTargetFailed    Code = "target-failed"
	CodeOutcomeUnknown  Code = "outcome-unknown"
	CodeInProgress      Code = "in-progress"
	CodeUploadStalled   Code = "upload-stalled"
	CodeAnswerNotKept   Code = "answer-not-kept"
	CodeBodyTooLarge    Code = "body-too-large"
	CodeCallerCancelled Code = "caller-cancelled"
)

// statusCallerGone is the status, seen only in records, of a request whose caller left.
const statusCallerGone = 499

const problemTypePrefix = "urn:redwingpoint:problem:"

// Problem is an answer of the balancer itself, in the form of RFC 9457.
type Problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Code    Code            `json:"code"`
	Ran     Ran             `json:"ran"`
	Request model.RequestID `json:"request"`
	// RetryAfter is sent as a header, in whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }

func refuse(status int, code Code, ran Ran, detail string) *Problem {
	return &Problem{
		Type:   problemTypePrefix + string(code),
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Code:   code,
		Ran:    ran,
	}
}

// after adds advice on when to try again.
func (p *Problem) after(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// write sends the problem. A failure of this side is marked as retried, so that
// layers above, which see it through a target, don't multiply the work.
func (p *Problem) write(c *gin.Context) {
	if p.RetryAfter > 0 {
		seconds := int((p.RetryAfter + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.Itoa(seconds))
	}
	if p.Status >= http.StatusInternalServerError {
		c.Header(upstream.HeaderRetried, "true")
	}
	c.Render(p.Status, problemJSON{render.JSON{Data: p}})
}

// problemJSON renders JSON under the media type of RFC 9457.
type problemJSON struct{ render.JSON }

// WriteContentType implements render.Render.
func (problemJSON) WriteContentType(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
}

// Render implements render.Render.
func (p problemJSON) Render(w http.ResponseWriter) error {
	p.WriteContentType(w)
	return render.WriteJSON(w, p.Data)
}
