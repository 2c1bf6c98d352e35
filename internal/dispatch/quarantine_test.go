package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// recordingQuarantine suspects each request and counts what is reported.
type recordingQuarantine struct{ ends, successes atomic.Int32 }

func (*recordingQuarantine) Empty() bool { return false }

func (*recordingQuarantine) Find(quarantine.Fingerprint) (time.Time, bool) { return time.Time{}, false }

func (q *recordingQuarantine) ReportEnd(quarantine.Fingerprint, model.ProcessID) { q.ends.Add(1) }

func (q *recordingQuarantine) ReportSuccess(quarantine.Fingerprint) { q.successes.Add(1) }

// breaksOff sends a part of a long response, with or without its length, and resets the connection.
func breaksOff(announced bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		if announced {
			w.Header().Set("Content-Length", "1000000")
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 3*responsePrefixBytes))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// TestOnlyWholeSuccessClearsRequest guards against a request that ends targets and stays unknown,
// since responses clear it that don't show that a target survived it.
func TestOnlyWholeSuccessClearsRequest(t *testing.T) {
	const long = 3 * responsePrefixBytes
	for name, c := range map[string]struct {
		target http.HandlerFunc
		unread bool
		want   int32
	}{
		"success":                         {target: respondsWith(http.StatusOK, 10), want: 1},
		"long success":                    {target: respondsWith(http.StatusOK, long), want: 1},
		"long success that isn't read":    {target: respondsWith(http.StatusOK, long), unread: true},
		"success that breaks off":         {target: breaksOff(true)},
		"chunked success that breaks off": {target: breaksOff(false)},
		"failure":                         {target: respondsWith(http.StatusInternalServerError, 10)},
		"long failure":                    {target: respondsWith(http.StatusBadGateway, long)},
		"refusal without a statement":     {target: respondsWith(http.StatusServiceUnavailable, 0)},
		"rejection":                       {target: respondsWith(http.StatusNotFound, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			f, q := newFixture(t, model.NonIdempotent, c.target), new(recordingQuarantine)
			f.Quarantine = q
			response := f.send(context.Background(), "/a/", "x")
			if response.Remainder != nil {
				if n := q.successes.Load(); n != 0 {
					t.Errorf("reported %d successes before the end of the response", n)
				}
				if !c.unread {
					_, _ = io.Copy(io.Discard, response.Remainder)
				}
				_ = response.Remainder.Close()
			}
			if n := q.successes.Load(); n != c.want {
				t.Errorf("status %d: reported %d successes, want %d", response.Status, n, c.want)
			}
		})
	}
}

// endingUpstream answers with the beginning of a long response of a target that ends within it.
type endingUpstream struct {
	status int
	sent   int
}

func (u *endingUpstream) Do(_ context.Context, call upstream.Call) (*upstream.Response, error) {
	lost := &upstream.CallError{Target: call.Endpoint.Target.ID, Reason: upstream.ConnectionLost, Sent: true, Cause: io.ErrUnexpectedEOF}
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", u.sent)), iotest.ErrReader(lost))
	return &upstream.Response{Status: u.status, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(body)}, nil
}

func (*endingUpstream) HasEnded(context.Context, *routing.Endpoint) bool { return true }

// TestTargetThatEndsWithinAResponseIsReported guards against a request that ends targets after the
// first part of their response, around each limit of what is read ahead, and stays unknown.
func TestTargetThatEndsWithinAResponseIsReported(t *testing.T) {
	const secured = 1 << 20
	for _, sent := range []int{0, 1, responsePrefixBytes - 1, responsePrefixBytes, responsePrefixBytes + 1, 2 * responsePrefixBytes,
		responsePrefixBytes + secured - 1, responsePrefixBytes + secured, responsePrefixBytes + secured + 1} {
		for _, pipelined := range []bool{false, true} {
			t.Run(fmt.Sprint(sent, " bytes, pipelined ", pipelined), func(t *testing.T) {
				f, q := newFixture(t, model.NonIdempotent, succeeds), new(recordingQuarantine)
				f.Quarantine, f.Upstream = q, &endingUpstream{status: http.StatusOK, sent: sent}
				response := f.send(context.Background(), "/a/", "x")
				if response.Remainder != nil {
					_, err := io.Copy(io.Discard, response.Remainder)
					if pipelined {
						if other := response.OnBroken(err); other.Status != http.StatusBadGateway {
							t.Errorf("status %d, want %d", other.Status, http.StatusBadGateway)
						}
					}
					_ = response.Remainder.Close()
				}
				if q.ends.Load() != 1 || q.successes.Load() != 0 {
					t.Errorf("reported %d ends and %d successes", q.ends.Load(), q.successes.Load())
				}
			})
		}
	}
}
