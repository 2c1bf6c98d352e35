package entry

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const (
	// maxDepth is the number of nested calls that are accepted.
	maxDepth = 15
	// maxHeaderBytes is the largest request header that is accepted.
	maxHeaderBytes = 32 << 10
	// maxCallerBytes is the longest name of a caller.
	maxCallerBytes = 128
	// maxRequestIDBytes is the longest request ID that a caller may set.
	maxRequestIDBytes = 64
)

// Request IDs come from random numbers that are drawn in advance.
func init() { uuid.EnableRandPool() }

// request is one request of a caller, checked.
type request struct {
	id     model.RequestID
	policy *model.Policy
	svc    *service
	// caller names the party that sent the request.
	caller string
	// path is escaped; query is raw.
	path, query string
	depth       int
	deadline    time.Time
	// retried is set when a layer above sent the request before.
	retried bool
	http    *http.Request
}

// parse checks a caller's request against the configuration in force. Its
// problems all say that nothing ran.
func (s *Server) parse(c *gin.Context, now time.Time) (*request, *Problem) {
	snapshot := s.config.Current()
	if snapshot == nil {
		return nil, refuse(http.StatusServiceUnavailable, CodeNotReady, NotRun, "no configuration is in force yet").after(time.Second)
	}
	if headerBytes(c.Request.Header) > maxHeaderBytes {
		return nil, refuse(http.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge, NotRun, "the header is larger than 32 KiB")
	}
	name, path := splitPath(c.Request.URL.EscapedPath())
	policy := snapshot.Policy(name)
	if policy == nil {
		return nil, refuse(http.StatusNotFound, CodeUnknownService, NotRun, "the service is not configured")
	}
	r := &request{
		policy:   policy,
		svc:      s.services.get(policy),
		path:     path,
		query:    c.Request.URL.RawQuery,
		deadline: now.Add(policy.Deadline),
		retried:  c.Request.Header.Get(upstream.HeaderRetried) != "",
		http:     c.Request,
	}
	checks := [...]func(*request) *Problem{s.parseID, parseDepth, parseDeadline, s.parseCaller}
	for _, check := range checks {
		if problem := check(r); problem != nil {
			return nil, problem
		}
	}
	return r, nil
}

// splitPath splits an escaped path into the service and the target's path.
func splitPath(escaped string) (model.ServiceName, string) {
	rest := strings.TrimPrefix(escaped, "/")
	i := strings.IndexByte(rest, '/')
	if i < 0 {
		return model.ServiceName(rest), "/"
	}
	return model.ServiceName(rest[:i]), rest[i:]
}

func headerBytes(h http.Header) int {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// requestID returns the caller's request ID, or a new one if there is none that
// can be used.
func requestID(h http.Header) model.RequestID {
	if id := h.Get(upstream.HeaderRequestID); plainText(id, maxRequestIDBytes) {
		return model.RequestID(id)
	}
	return model.RequestID(uuid.NewString())
}

func (s *Server) parseID(r *request) *Problem {
	r.id = requestID(r.http.Header)
	given := r.http.Header.Get(upstream.HeaderRequestID)
	if given != "" && given != string(r.id) {
		return refuse(http.StatusBadRequest, CodeBadRequestID, NotRun, "Request-Id must have 1 to 64 visible ASCII characters")
	}
	return nil
}

func parseDepth(r *request) *Problem {
	text := r.http.Header.Get(upstream.HeaderDepth)
	if text == "" {
		return nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 || depth >= maxDepth {
		return refuse(http.StatusBadRequest, CodeTooDeep, NotRun, "Call-Depth must be 0 to 14")
	}
	r.depth = depth
	return nil
}

func parseDeadline(r *request) *Problem {
	text := r.http.Header.Get(upstream.HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return refuse(http.StatusBadRequest, CodeBadDeadline, NotRun, "Deadline-Ms must be a positive number of milliseconds")
	}
	asked := r.deadline.Add(time.Duration(ms)*time.Millisecond - r.policy.Deadline)
	if asked.Before(r.deadline) {
		r.deadline = asked
	}
	return nil
}

// parseCaller names the caller by the header that the settings name, or else by
// the address that the request came from.
func (s *Server) parseCaller(r *request) *Problem {
	if name := r.http.Header.Get(s.callerHeader); name != "" {
		if !plainText(name, maxCallerBytes) {
			return refuse(http.StatusBadRequest, CodeBadCaller, NotRun, s.callerHeader+" must have 1 to 128 visible ASCII characters")
		}
		r.caller = name
		return nil
	}
	host, _, err := net.SplitHostPort(r.http.RemoteAddr)
	if err != nil {
		host = r.http.RemoteAddr
	}
	r.caller = host
	return nil
}

// plainText reports whether text has 1 to limit visible ASCII characters.
func plainText(text string, limit int) bool {
	if text == "" || len(text) > limit {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// header returns the header for a target: hop-by-hop fields are dropped,
// deadline, depth and request ID are set.
func (r *request) header(now time.Time, retry bool) http.Header {
	h := make(http.Header, len(r.http.Header)+4)
	for name, values := range r.http.Header {
		h[name] = values
	}
	upstream.DropHopByHop(h)
	// One array holds the values of all fields that are set.
	values := new([4]string)
	set := func(i int, name, value string) {
		values[i] = value
		h[name] = values[i : i+1 : i+1]
	}
	set(0, upstream.HeaderRequestID, string(r.id))
	set(1, upstream.HeaderDepth, strconv.Itoa(r.depth+1))
	delete(h, upstream.HeaderDeadline)
	if r.policy.Class != model.Upload {
		left := max(1, r.deadline.Sub(now).Milliseconds())
		set(2, upstream.HeaderDeadline, strconv.FormatInt(left, 10))
	}
	if retry {
		set(3, upstream.HeaderRetried, "true")
	}
	return h
}
