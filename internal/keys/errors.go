package keys

import "strconv"

// NameError reports a name of a fleet or instance that is not allowed in a certificate.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return "name " + strconv.Quote(e.Name) + " must have 1 to 63 letters, digits, dots or hyphens"
}

// FormatError reports data that is not the expected certificate or key in PEM format.
type FormatError struct {
	// What is the kind of object that was expected.
	What string
	// Cause is nil if the data contains no such object.
	Cause error
}

func (e *FormatError) Error() string {
	if e.Cause == nil {
		return "no " + e.What + " in PEM format"
	}
	return "invalid " + e.What + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error, or nil.
func (e *FormatError) Unwrap() error { return e.Cause }

// IdentityError reports a certificate that does not identify an instance of the fleet.
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

// Unwrap returns the underlying error, or nil.
func (e *IdentityError) Unwrap() error { return e.Cause }
