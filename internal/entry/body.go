package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"
)

// maxBufferedBody is the largest body in bytes of a request that is not an upload.
const maxBufferedBody = 1 << 20

// readBody reads the whole body of a request that is not an upload, at the
// latest until the request's deadline.
func (s *Server) readBody(c *gin.Context, r *request) ([]byte, *Problem) {
	if r.http.ContentLength == 0 {
		return nil, nil
	}
	if r.http.ContentLength > maxBufferedBody {
		return nil, bodyTooLarge()
	}
	control := http.NewResponseController(c.Writer)
	_ = control.SetReadDeadline(r.deadline)
	body, err := readAll(r.http)
	if err != nil {
		return nil, bodyProblem(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	if len(body) > maxBufferedBody {
		return nil, bodyTooLarge()
	}
	return body, nil
}

func readAll(req *http.Request) ([]byte, error) {
	if req.ContentLength > 0 {
		body := make([]byte, req.ContentLength)
		_, err := io.ReadFull(req.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(req.Body, maxBufferedBody+1))
}

func bodyTooLarge() *Problem {
	return refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, NotRun, "bodies above 1 MiB need an upload service")
}

func bodyProblem(err error) *Problem {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(http.StatusRequestTimeout, CodeDeadlinePassed, NotRun, "the body did not arrive before the deadline")
	}
	return refuse(http.StatusBadRequest, CodeBadLength, NotRun, "the body ended before its announced length or is malformed")
}

// digest identifies a request by service, method, path, query and body.
func (r *request) digest(body []byte) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [...]string{string(r.policy.Service), r.http.Method, r.path, r.query} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// fingerprintBytes is the length of a fingerprint before it is written as text.
const fingerprintBytes = 16

// fingerprint names a request in the quarantine.
func (r *request) fingerprint(body []byte) string {
	sum := r.digest(body)
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// quarantined refuses a request that crashed targets. It costs nothing while no
// request is quarantined.
func (s *Server) quarantined(r *request, body []byte) *Problem {
	if s.quarantine.Empty() {
		return nil
	}
	e, ok := s.quarantine.Find(r.fingerprint(body))
	if !ok {
		return nil
	}
	detail := "this request crashed two targets and is quarantined"
	return refuse(http.StatusUnprocessableEntity, CodeQuarantined, NotRun, detail).after(time.Until(e.Until))
}
