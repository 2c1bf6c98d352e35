package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

const (
	// maxBufferedBody is the largest body of a request that is not an upload.
	maxBufferedBody = 1 << 20
	// maxKeptAnswer is the largest answer body that the ledger keeps.
	maxKeptAnswer = 16 << 10
	// outcomeTimeout bounds the recording of an outcome after the exchange.
	outcomeTimeout = 5 * time.Second
)

func readBody(r *request) ([]byte, *Problem) {
	body, err := io.ReadAll(io.LimitReader(r.http.Body, maxBufferedBody+1))
	if err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadLength, NotRun, "the body ended early")
	}
	if len(body) > maxBufferedBody {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, NotRun, "bodies above 1 MiB need an upload service")
	}
	return body, nil
}

func call(r *request, e *routing.Endpoint, body []byte) upstream.Call {
	return upstream.Call{
		Endpoint:      e,
		Method:        r.http.Method,
		Path:          r.path,
		Header:        r.header(time.Now()),
		Body:          bytes.NewReader(body),
		ContentLength: int64(len(body)),
	}
}

// relay streams an answer to the caller. An answer that ends early aborts the
// caller's connection, so that it can't be taken for a whole one.
func (s *Server) relay(c *gin.Context, r *request, e *routing.Endpoint, result *upstream.Result) {
	defer func() { _ = result.Body.Close() }()
	copyHeader(c.Writer.Header(), result.Header)
	c.Header(upstream.HeaderRequestID, string(r.id))
	c.Writer.WriteHeader(result.Status)
	if _, err := io.Copy(c.Writer, result.Body); err != nil {
		s.record(r, events.AnswerTruncated, e.Target.ID, err.Error())
		panic(http.ErrAbortHandler)
	}
	s.record(r, events.RequestAnswered, e.Target.ID, strconv.Itoa(result.Status))
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	dropHopByHop(dst)
}

// readAnswer reads a whole answer; the part above maxKeptAnswer is kept too, for
// the caller, but marked so that it is not stored.
func readAnswer(result *upstream.Result) (*ledger.Answer, error) {
	defer func() { _ = result.Body.Close() }()
	body, err := io.ReadAll(result.Body)
	if err != nil {
		return nil, err
	}
	header := result.Header.Clone()
	dropHopByHop(header)
	return &ledger.Answer{Status: result.Status, Header: header, Body: body, Truncated: len(body) > maxKeptAnswer}, nil
}

func replay(c *gin.Context, answer *ledger.Answer) *Problem {
	id := c.Writer.Header().Get(upstream.HeaderRequestID)
	copyHeader(c.Writer.Header(), answer.Header)
	c.Header(upstream.HeaderRequestID, id)
	c.Writer.WriteHeader(answer.Status)
	_, _ = c.Writer.Write(answer.Body)
	return nil
}
