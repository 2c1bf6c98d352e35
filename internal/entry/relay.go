package entry

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
	// aheadBytes is the size of the part of an answer that is read before the
	// caller sees any of it; an answer up to this size is never cut short.
	aheadBytes = 16 << 10
	// slowCallerTimeout bounds how long past the deadline a caller may take to
	// receive an answer that is larger than aheadBytes.
	slowCallerTimeout = 30 * time.Second
)

var aheadBuffers = sync.Pool{New: func() any { return new([aheadBytes]byte) }}

// relay sends an answer to the caller and ends its exchange. An answer that is
// cut short aborts the caller's transfer, so that it can't be taken for a whole
// one; the abort is a panic with http.ErrAbortHandler.
func (s *Server) relay(c *gin.Context, r *request, x *exchange) {
	defer x.close()
	s.copyAnswerHeader(c, r, x)
	if x.whole {
		_, _ = c.Writer.Write(x.head)
		s.answered(r, x)
		return
	}
	s.streamUntil(c, r, x, r.deadline.Add(slowCallerTimeout))
}

// streamUntil copies an answer and gives a caller up that takes too long.
func (s *Server) streamUntil(c *gin.Context, r *request, x *exchange, until time.Time) {
	control := http.NewResponseController(c.Writer)
	_ = control.SetWriteDeadline(until)
	s.stream(c, r, x)
	_ = control.SetWriteDeadline(time.Time{})
}

func (s *Server) copyAnswerHeader(c *gin.Context, r *request, x *exchange) {
	header := c.Writer.Header()
	copyHeader(header, x.result.Header)
	header[upstream.HeaderRequestID] = []string{string(r.id)}
	c.Writer.WriteHeader(x.result.Status)
	c.Writer.WriteHeaderNow()
}

// stream copies an answer that was not read ahead as a whole.
func (s *Server) stream(c *gin.Context, r *request, x *exchange) {
	buf := aheadBuffers.Get().(*[aheadBytes]byte)
	defer aheadBuffers.Put(buf)
	if _, err := io.CopyBuffer(writerOnly{c.Writer}, x, buf[:]); err != nil {
		kind := events.AnswerTruncated
		if r.http.Context().Err() != nil {
			kind = events.CallerGone
		}
		s.record(r, kind, x.e.Target.ID, err.Error())
		panic(http.ErrAbortHandler)
	}
	s.answered(r, x)
}

// writerOnly hides the ReadFrom method of a writer, so that the buffer is used.
type writerOnly struct{ io.Writer }

func (s *Server) answered(r *request, x *exchange) {
	s.record(r, events.RequestAnswered, x.e.Target.ID, http.StatusText(x.result.Status))
}

// copyHeader copies the header of an answer, without what a target says to this
// instance only: a layer above must not take it for its own target's word.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	upstream.DropHopByHop(dst)
	delete(dst, upstream.HeaderInFlight)
	delete(dst, upstream.HeaderDraining)
	delete(dst, upstream.HeaderShed)
}
