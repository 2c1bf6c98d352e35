package upstream

import (
	"net/http"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// Signals is the vocabulary of the exchange with targets. Fields name header
// fields; an empty one is not used. Values are immutable.
type Signals struct {
	// RequestID is carried to the target, which repeats it on its answer.
	RequestID string
	// Deadline carries the remaining time in milliseconds.
	Deadline string
	// Expect names the only target that may run a request.
	Expect string
	// Instance names the target that answered a probe.
	Instance string
	// Signature stands on every answer that a target made itself.
	Signature string
	// NotRun reports whether an answer states that the target ran nothing.
	NotRun func(status int, h http.Header) bool
	// Load reads a target's report of its load.
	Load func(h http.Header) (routing.LoadReport, bool)
}

// ownSignals is the vocabulary of redwingpoint's own interface.
var ownSignals = &Signals{
	NotRun: func(_ int, h http.Header) bool { return h.Get(HeaderShed) == ShedUnstarted },
	Load:   func(http.Header) (routing.LoadReport, bool) { return routing.LoadReport{}, false },
}

// foreign says why an answer can't be the target's answer to a call, or "". A call
// without a request ID, such as a probe, is answered without a signature.
func (s *Signals) foreign(call Call, resp *http.Response) string {
	if s.RequestID == "" {
		return ""
	}
	sent := call.Header.Get(s.RequestID)
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case sent == "":
		return ""
	case resp.Header.Get(s.RequestID) != sent:
		return "it belongs to another request"
	case success && resp.Header.Get(s.Signature) == "":
		return "it bears no signature"
	case resp.Header.Get("Content-Encoding") != "":
		return "it is encoded though nobody asked for that"
	}
	return ""
}

// ForeignAnswerError reports an answer that can't be the target's answer to the
// request that was sent.
type ForeignAnswerError struct{ Problem string }

func (e *ForeignAnswerError) Error() string { return "the answer was not used: " + e.Problem }
