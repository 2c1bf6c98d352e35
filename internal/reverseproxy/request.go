package reverseproxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const (
	// maxCallDepth limits nested calls: the Call-Depth header, which counts them, must
	// be less.
	maxCallDepth = 15
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 32 << 10
	// maxCallerBytes is the maximum length of a caller name.
	maxCallerBytes = 128
	// maxRequestIDBytes is the maximum length of a request ID set by the caller.
	maxRequestIDBytes = 64
)

// Random bytes for request IDs are read in blocks, which needs fewer system
// calls.
func init() { uuid.EnableRandPool() }

// request is a validated request of a caller.
type request struct {
	id     model.RequestID
	policy *model.Policy
	svc    *serviceState
	// caller identifies the sender for fair queueing and for idempotency keys.
	caller string
	// path is escaped; query is raw.
	path, query string
	// forceQuery is set if the query is empty, but its question mark is there.
	forceQuery bool
	depth      int
	deadline   time.Time
	// retried is set if the caller marked the request as retried.
	retried     bool
	httpRequest *http.Request
}

// parse validates a caller's request against the configuration in force. Every
// problem that it returns is NotRun.
func (s *Server) parse(c *gin.Context, now time.Time) (*request, *Problem) {
	snapshot := s.config.Current()
	if snapshot == nil {
		return nil, newProblem(http.StatusServiceUnavailable, CodeNotReady, NotRun, "no configuration is in force yet").withRetryAfter(time.Second)
	}
	if headerSize(c.Request.Header) > maxHeaderBytes {
		return nil, newProblem(http.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge, NotRun, "the header is larger than 32 KiB")
	}
	escaped, query, forceQuery := httpserver.SplitTarget(c.Request.RequestURI)
	name, path := splitPath(escaped)
	policy := snapshot.Policy(name)
	if policy == nil {
		return nil, newProblem(http.StatusNotFound, CodeUnknownService, NotRun, "the service is not configured")
	}
	r := &request{
		policy:      policy,
		svc:         s.services.get(policy),
		path:        path,
		query:       query,
		forceQuery:  forceQuery,
		deadline:    now.Add(policy.Deadline),
		retried:     c.Request.Header.Get(upstream.HeaderRetried) != "",
		httpRequest: c.Request,
	}
	checks := [...]func(*request) *Problem{parsePath, s.parseID, parseDepth, parseDeadline, s.parseCaller}
	for _, check := range checks {
		if problem := check(r); problem != nil {
			return nil, problem
		}
	}
	return r, nil
}

// parsePath checks that the path can be sent as it is.
func parsePath(r *request) *Problem {
	if err := upstream.CheckPath(r.path); err != nil {
		return newProblem(http.StatusBadRequest, CodeBadPath, NotRun, err.Error())
	}
	return nil
}

// splitPath splits an escaped path into the service name and the path at the
// target.
func splitPath(escaped string) (model.ServiceName, string) {
	rest := strings.TrimPrefix(escaped, "/")
	i := strings.IndexByte(rest, '/')
	if i < 0 {
		return model.ServiceName(rest), "/"
	}
	return model.ServiceName(rest[:i]), rest[i:]
}

// headerSize returns the size of a header in bytes, without separators.
func headerSize(h http.Header) int {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// requestID returns the caller's request ID, or a new one if it is missing or
// invalid.
func requestID(h http.Header) model.RequestID {
	if id := h.Get(upstream.HeaderRequestID); visibleASCII(id, maxRequestIDBytes) {
		return model.RequestID(id)
	}
	return model.RequestID(uuid.NewString())
}

func (s *Server) parseID(r *request) *Problem {
	r.id = requestID(r.httpRequest.Header)
	given := r.httpRequest.Header.Get(upstream.HeaderRequestID)
	if given != "" && given != string(r.id) {
		return newProblem(http.StatusBadRequest, CodeBadRequestID, NotRun, "Request-Id must have 1 to 64 visible ASCII characters")
	}
	return nil
}

func parseDepth(r *request) *Problem {
	text := r.httpRequest.Header.Get(upstream.HeaderDepth)
	if text == "" {
		return nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 || depth >= maxCallDepth {
		return newProblem(http.StatusBadRequest, CodeTooDeep, NotRun, "Call-Depth must be 0 to 14")
	}
	r.depth = depth
	return nil
}

func parseDeadline(r *request) *Problem {
	text := r.httpRequest.Header.Get(upstream.HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return newProblem(http.StatusBadRequest, CodeBadDeadline, NotRun, "Deadline-Ms must be a positive number of milliseconds")
	}
	requested := r.deadline.Add(time.Duration(ms)*time.Millisecond - r.policy.Deadline)
	if requested.Before(r.deadline) {
		r.deadline = requested
	}
	return nil
}

// parseCaller takes the caller's name from the configured header, or else from
// the remote address.
func (s *Server) parseCaller(r *request) *Problem {
	if name := r.httpRequest.Header.Get(s.callerHeader); name != "" {
		if !visibleASCII(name, maxCallerBytes) {
			return newProblem(http.StatusBadRequest, CodeBadCaller, NotRun, s.callerHeader+" must have 1 to 128 visible ASCII characters")
		}
		r.caller = name
		return nil
	}
	host, _, err := net.SplitHostPort(r.httpRequest.RemoteAddr)
	if err != nil {
		host = r.httpRequest.RemoteAddr
	}
	r.caller = host
	return nil
}

// visibleASCII reports whether text consists of 1 to maxBytes visible ASCII
// characters.
func visibleASCII(text string, maxBytes int) bool {
	if text == "" || len(text) > maxBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// targetHeader returns the header for one attempt: the caller's header without
// hop-by-hop fields, with request ID, call depth and remaining deadline.
func (r *request) targetHeader(now time.Time, retry bool) http.Header {
	h := make(http.Header, len(r.httpRequest.Header)+4)
	for name, values := range r.httpRequest.Header {
		h[name] = values
	}
	upstream.DropHopByHop(h)
	// One array backs the values of all fields that are set, which saves
	// allocations.
	values := new([4]string)
	set := func(i int, name, value string) {
		values[i] = value
		h[name] = values[i : i+1 : i+1]
	}
	set(0, upstream.HeaderRequestID, string(r.id))
	set(1, upstream.HeaderDepth, strconv.Itoa(r.depth+1))
	delete(h, upstream.HeaderDeadline)
	if r.policy.Class != model.Upload {
		remaining := max(1, r.deadline.Sub(now).Milliseconds())
		set(2, upstream.HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	if retry {
		set(3, upstream.HeaderRetried, "true")
	}
	return h
}
