package keys

import "strconv"

// NameError reports a fleet or instance name that a certificate can't carry.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return "name " + strconv.Quote(e.Name) + " must have 1 to 63 letters, digits, dots or hyphens"
}

// FormatError reports PEM data that holds something else than expected.
type FormatError struct {
	What  string
	Cause error
}

func (e *FormatError) Error() string {
	if e.Cause == nil {
		return "no " + e.What + " in PEM form"
	}
	return "bad " + e.What + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// IdentityError reports a certificate that does not belong to an instance of the fleet.
type IdentityError struct {
	Reason string
	Cause  error
}

func (e *IdentityError) Error() string {
	if e.Cause == nil {
		return "peer certificate: " + e.Reason
	}
	return "peer certificate: " + e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *IdentityError) Unwrap() error { return e.Cause }
