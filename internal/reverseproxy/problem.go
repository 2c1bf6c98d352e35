// Package reverseproxy implements the HTTP interface towards callers. It validates
// requests, selects targets, runs and retries attempts, and streams requests and
// responses.
package reverseproxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gin-gonic/gin/render"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// RunState tells the caller whether a refused request was run.
type RunState string

const (
	// NotRun means that the request was not run and will not be run.
	NotRun RunState = "not-run"
	// OutcomeUnknown means that the request was sent and its outcome is unknown.
	OutcomeUnknown RunState = "outcome-unknown"
	// InProgress means that another request with the same key is in progress.
	InProgress RunState = "in-progress"
	// HasRun means that the request ran and a target responded.
	HasRun RunState = "ran"
)

// Code identifies the kind of a problem. Its text is stable.
type Code string

// Codes of problems.
const (
	CodeUnknownService  Code = "unknown-service"
	CodeNotReady        Code = "not-ready"
	CodeBadDeadline     Code = "bad-deadline"
	CodeBadLength       Code = "bad-length"
	CodeBadPath         Code = "bad-path"
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

// statusCallerGone is the status of a request whose caller disconnected. No
// caller sees it.
const statusCallerGone = 499

const problemTypePrefix = "urn:redwingpoint:problem:"

// Problem is an error response of the load balancer itself, in the format of RFC
// 9457.
type Problem struct {
	Type     string          `json:"type"`
	Title    string          `json:"title"`
	Status   int             `json:"status"`
	Detail   string          `json:"detail,omitempty"`
	Code     Code            `json:"code"`
	RunState RunState        `json:"ran"`
	Request  model.RequestID `json:"request"`
	// RetryAfter is sent as the Retry-After header, rounded up to whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }

// newProblem returns a problem whose title is the status text.
func newProblem(status int, code Code, runState RunState, detail string) *Problem {
	return &Problem{
		Type:     problemTypePrefix + string(code),
		Title:    http.StatusText(status),
		Status:   status,
		Detail:   detail,
		Code:     code,
		RunState: runState,
	}
}

// withRetryAfter sets RetryAfter and returns p.
func (p *Problem) withRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// write sends the problem. A status of 500 or above is marked as retried, so that
// a load balancer in front of this one, which sees it as the response of a
// target, doesn't retry it again.
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

// problemJSON renders JSON with the media type of RFC 9457.
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
