package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// maxDepth is the deepest nesting of calls that is accepted.
const maxDepth = 15

// request is one request of a caller, checked.
type request struct {
	id       model.RequestID
	policy   *model.Policy
	path     string
	depth    int
	deadline time.Time
	http     *http.Request
}

// parse checks a caller's request against the configuration in force.
func (s *Server) parse(c *gin.Context) (*request, *Problem) {
	snapshot := s.config.Current()
	if snapshot == nil {
		return nil, refuse(http.StatusServiceUnavailable, CodeNotReady, NotRun, "no configuration is in force yet")
	}
	name := model.ServiceName(c.Param("service"))
	policy := snapshot.Policy(name)
	if policy == nil {
		return nil, refuse(http.StatusNotFound, CodeUnknownService, NotRun, "service "+string(name)+" is not configured")
	}
	r := &request{id: requestID(c.Request.Header), policy: policy, path: targetPath(c), http: c.Request}
	if problem := r.parseDepth(); problem != nil {
		return nil, problem
	}
	if problem := r.parseDeadline(time.Now()); problem != nil {
		return nil, problem
	}
	return r, nil
}

func requestID(h http.Header) model.RequestID {
	if id := h.Get(upstream.HeaderRequestID); id != "" && len(id) <= 64 {
		return model.RequestID(id)
	}
	return model.RequestID(uuid.NewString())
}

func targetPath(c *gin.Context) string {
	path := c.Request.URL.EscapedPath()
	path = path[1+len(c.Param("service")):]
	if path == "" {
		path = "/"
	}
	if query := c.Request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	return path
}

func (r *request) parseDepth() *Problem {
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

func (r *request) parseDeadline(now time.Time) *Problem {
	r.deadline = now.Add(r.policy.Deadline)
	text := r.http.Header.Get(upstream.HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return refuse(http.StatusBadRequest, CodeBadDeadline, NotRun, "Deadline-Ms must be a positive number of milliseconds")
	}
	if asked := now.Add(time.Duration(ms) * time.Millisecond); asked.Before(r.deadline) {
		r.deadline = asked
	}
	return nil
}

// header returns the header for a target: hop-by-hop fields are dropped,
// deadline, depth and request ID are set.
func (r *request) header(now time.Time) http.Header {
	h := r.http.Header.Clone()
	dropHopByHop(h)
	h.Set(upstream.HeaderRequestID, string(r.id))
	h.Set(upstream.HeaderDepth, strconv.Itoa(r.depth+1))
	h.Del(upstream.HeaderDeadline)
	if r.policy.Class != model.Upload {
		h.Set(upstream.HeaderDeadline, strconv.FormatInt(r.deadline.Sub(now).Milliseconds(), 10))
	}
	return h
}

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func dropHopByHop(h http.Header) {
	for _, name := range hopByHop {
		h.Del(name)
	}
}
