package upstream

import (
	"net/http"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// Signals defines the header fields exchanged with targets. Empty names are not used. A
// Signals value must not change after it was passed to a client.
type Signals struct {
	// RequestID is the field with the request ID, which the target repeats in its
	// response.
	RequestID string
	// Deadline is the field with the remaining time in milliseconds.
	Deadline string
	// Expect is the field with the ID of the only target that may run the request.
	Expect string
	// Instance is the field with the ID of the target that responds to a probe.
	Instance string
	// Signature is a field that is present in every response that a target generated
	// itself.
	Signature string
	// NotRun reports whether a response states that the target did not run the request.
	NotRun func(status int, h http.Header) bool
	// Load returns the load report in a response header; it reports false if there is
	// none.
	Load func(h http.Header) (routing.LoadReport, bool)
}

// defaultSignals are the header fields of redwingpoint's own protocol.
var defaultSignals = &Signals{
	NotRun: func(_ int, h http.Header) bool { return h.Get(HeaderShed) == ShedUnstarted },
	Load:   func(http.Header) (routing.LoadReport, bool) { return routing.LoadReport{}, false },
}

// responseProblem returns why a response can't be the target's response to a call, or ""
// if it can. Calls without a request ID, such as probes, are not checked: their responses
// are not signed.
func (s *Signals) responseProblem(call Call, resp *http.Response) string {
	if s.RequestID == "" {
		return ""
	}
	sentID := call.Header.Get(s.RequestID)
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case sentID == "":
		return ""
	case resp.Header.Get(s.RequestID) != sentID:
		return "request ID does not match"
	case success && resp.Header.Get(s.Signature) == "":
		return "signature is missing"
	case resp.Header.Get("Content-Encoding") != "":
		return "unexpected Content-Encoding"
	}
	return ""
}

// ForeignAnswerError reports a response that can't be the target's response to the
// request.
type ForeignAnswerError struct{ Problem string }

func (e *ForeignAnswerError) Error() string { return "invalid response: " + e.Problem }
