package upstream

import (
	"net/http"
	"time"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// Protocol defines the header fields exchanged with targets. Empty names are not used. A
// Protocol value must not change after it was passed to a client.
type Protocol struct {
	// RequestID is the field with the request ID, which the target repeats in its
	// response.
	RequestID string
	// Deadline is the field with the remaining time in milliseconds.
	Deadline string
	// ExpectedTarget is the field with the ID of the only target that may run the request.
	ExpectedTarget string
	// Organisation is the field with the name of the organisation on whose behalf a request
	// is sent.
	Organisation string
	// TargetID is the field with the ID of the target that responds to a probe.
	TargetID string
	// Signature is a field that is present in every response that a target generated
	// itself.
	Signature string
	// NotRun reports whether a response states that the target did not run the
	// request.
	NotRun func(status int, h http.Header) bool
	// ParseLoad returns the load report in a response header; it reports false if there is
	// none.
	ParseLoad func(h http.Header) (routing.LoadReport, bool)
	// ParseStatement, if set, returns what the target states about itself in a response.
	ParseStatement func(status int, h http.Header) routing.Statement
	// ParseColdTime, if set, returns how long the target is still cold by a response to a
	// probe, or zero.
	ParseColdTime func(h http.Header) time.Duration
}

// defaultProtocol is redwingpoint's own protocol. It has no load reports, and its responses
// are not checked for a request ID or a signature.
var defaultProtocol = &Protocol{
	NotRun:    func(_ int, h http.Header) bool { return h.Get(HeaderShed) == ShedUnstarted },
	ParseLoad: func(http.Header) (routing.LoadReport, bool) { return routing.LoadReport{}, false },
}

// responseProblem returns why a response can't be the target's response to a call, or ""
// if it can. Calls without a request ID, such as probes, are not checked: their responses
// are not signed.
func (p *Protocol) responseProblem(call Call, resp *http.Response) string {
	if p.RequestID == "" {
		return ""
	}
	sentID := call.Header.Get(p.RequestID)
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	switch {
	case sentID == "":
		return ""
	case resp.Header.Get(p.RequestID) != sentID:
		return "request ID does not match"
	case success && resp.Header.Get(p.Signature) == "":
		return "signature is missing"
	case resp.Header.Get("Content-Encoding") != "":
		return "unexpected Content-Encoding"
	}
	return ""
}

// InvalidResponseError reports a response that can't be the target's response to the
// request.
type InvalidResponseError struct{ Problem string }

func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Problem }
