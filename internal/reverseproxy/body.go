package reverseproxy

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/quarantine"
)

// maxBufferedBody is the maximum body size in bytes of a request that is not an
// upload.
const maxBufferedBody = 1 << 20

// readBody reads the whole body of a request that is not an upload. It gives up
// at the request's deadline.
func (s *Server) readBody(c *gin.Context, r *request) ([]byte, *Problem) {
	if r.httpRequest.ContentLength == 0 {
		return nil, nil
	}
	if r.httpRequest.ContentLength > maxBufferedBody {
		return nil, bodyTooLarge()
	}
	control := http.NewResponseController(c.Writer)
	_ = control.SetReadDeadline(r.deadline)
	body, err := readAll(r.httpRequest)
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
	return newProblem(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, NotRun, "bodies above 1 MiB need an upload service")
}

func bodyProblem(err error) *Problem {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return newProblem(http.StatusRequestTimeout, CodeDeadlinePassed, NotRun, "the body did not arrive before the deadline")
	}
	return newProblem(http.StatusBadRequest, CodeBadLength, NotRun, "the body ended before its announced length or is malformed")
}

// digest returns the digest of service, method, path, query and body.
func (r *request) digest(body []byte) [sha256.Size]byte {
	return quarantine.Digest(body, string(r.policy.Service), r.httpRequest.Method, r.path, r.query)
}

// fingerprint returns the key of the request in the quarantine list.
func (r *request) fingerprint(body []byte) string {
	return string(quarantine.NewFingerprint(r.digest(body)))
}

// checkQuarantine refuses a quarantined request, that is one that crashed
// targets. While the list is empty it returns early without computing the
// fingerprint.
func (s *Server) checkQuarantine(r *request, body []byte) *Problem {
	if s.quarantine.Empty() {
		return nil
	}
	e, ok := s.quarantine.Find(r.fingerprint(body))
	if !ok {
		return nil
	}
	detail := "this request crashed two targets and is quarantined"
	return newProblem(http.StatusUnprocessableEntity, CodeQuarantined, NotRun, detail).withRetryAfter(time.Until(e.Until))
}
