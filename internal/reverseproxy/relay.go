package reverseproxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const (
	// readAheadBytes is the size of the part of a response that is read before
	// any of it is sent to the caller. A response up to this size never reaches
	// the caller truncated.
	readAheadBytes = 16 << 10
	// slowCallerTimeout is how long after the deadline a caller may still receive
	// a response that is larger than readAheadBytes.
	slowCallerTimeout = 30 * time.Second
)

var readAheadBuffers = sync.Pool{New: func() any { return new([readAheadBytes]byte) }}

// relayResponse sends a response to the caller and closes its exchange. If the
// response is truncated, relayResponse panics with http.ErrAbortHandler, which
// aborts the transfer so that the caller can't mistake it for complete.
func (s *Server) relayResponse(c *gin.Context, r *request, x *exchange) {
	defer x.close()
	s.writeResponseHeader(c, r, x)
	if x.complete {
		_, _ = c.Writer.Write(x.buffered)
		s.recordAnswered(r, x)
		return
	}
	s.streamBodyUntil(c, r, x, r.deadline.Add(slowCallerTimeout))
}

// streamBodyUntil copies a response body to the caller and fails writes after the
// given time.
func (s *Server) streamBodyUntil(c *gin.Context, r *request, x *exchange, until time.Time) {
	control := http.NewResponseController(c.Writer)
	_ = control.SetWriteDeadline(until)
	s.streamBody(c, r, x)
	_ = control.SetWriteDeadline(time.Time{})
}

// writeResponseHeader sends the status and the header of a response to the caller.
func (s *Server) writeResponseHeader(c *gin.Context, r *request, x *exchange) {
	header := c.Writer.Header()
	copyResponseHeader(header, x.response.Header)
	header[upstream.HeaderRequestID] = []string{string(r.id)}
	c.Writer.WriteHeader(x.response.Status)
	c.Writer.WriteHeaderNow()
}

// streamBody copies a response body to the caller. It panics with
// http.ErrAbortHandler if the copy fails.
func (s *Server) streamBody(c *gin.Context, r *request, x *exchange) {
	buf := readAheadBuffers.Get().(*[readAheadBytes]byte)
	defer readAheadBuffers.Put(buf)
	if _, err := io.CopyBuffer(writerOnly{c.Writer}, x, buf[:]); err != nil {
		kind := events.AnswerTruncated
		if r.httpRequest.Context().Err() != nil {
			kind = events.CallerGone
		}
		s.recordEvent(r, kind, x.endpoint.Target.ID, err.Error())
		panic(http.ErrAbortHandler)
	}
	s.recordAnswered(r, x)
}

// writerOnly hides the ReadFrom method of a writer, so that io.CopyBuffer uses
// its buffer.
type writerOnly struct{ io.Writer }

func (s *Server) recordAnswered(r *request, x *exchange) {
	s.recordEvent(r, events.RequestAnswered, x.endpoint.Target.ID, http.StatusText(x.response.Status))
}

// copyResponseHeader copies a response header without the hop-by-hop fields and
// without the fields in which a target reports its load to this instance: a load
// balancer in front of this one would attribute them to its own target.
func copyResponseHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	upstream.DropHopByHop(dst)
	delete(dst, upstream.HeaderInFlight)
	delete(dst, upstream.HeaderDraining)
	delete(dst, upstream.HeaderShed)
}
