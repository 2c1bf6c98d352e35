// Package responsehead validates the heads of HTTP/1.1 responses where net/http accepts more
// than RFC 9112 allows.
package responsehead

// MalformedError reports a response head that breaks RFC 9112. Its text holds none of the
// bytes received.
type MalformedError struct{ Problem string }

func (e *MalformedError) Error() string { return "malformed response head: " + e.Problem }

var (
	errStatusLine = &MalformedError{Problem: "invalid status line"}
	errLineEnd    = &MalformedError{Problem: "carriage return without line feed"}
	// errSwitched means status 101, since no request asks for another protocol.
	errSwitched = &MalformedError{Problem: "change of protocol without request"}
)

// state is the part of a response that a Validator expects next.
type state uint8

const (
	inStatusLine state = iota
	inReason
	atLineStart
	inLine
	inLastLineEnd
	inBody
)

// version is the beginning of each status line.
const version = "HTTP/1."

// Positions in a status line, which begins like "HTTP/1.1 200".
const (
	minorVersion = len(version)
	firstDigit   = minorVersion + 2
	statusEnd    = firstDigit + 3
)

// Validator validates the head of one response, including those of the informational
// responses before it. The zero value expects the first byte. It is not safe for concurrent
// use.
type Validator struct {
	state state
	// position is the number of bytes of the status line so far, up to statusEnd.
	position int
	// informational is set if the status is 1xx, so that another head follows.
	informational bool
	// switched is set if the status may be 101.
	switched bool
}

// Validate validates the next bytes of the response. What follows the head is not checked.
// The error is *MalformedError, after which the Validator must not be used.
func (v *Validator) Validate(p []byte) error {
	for _, b := range p {
		if v.state == inBody {
			return nil
		}
		if err := v.next(b); err != nil {
			return err
		}
	}
	return nil
}

// next validates one byte of the head. Like net/http it accepts a line that ends without a
// carriage return.
func (v *Validator) next(b byte) error {
	switch v.state {
	case inStatusLine:
		return v.nextOfStatusLine(b)
	case inReason, inLine:
		if b == '\n' {
			v.state = atLineStart
		}
	case atLineStart:
		switch b {
		case '\r':
			v.state = inLastLineEnd
		case '\n':
			v.endHead()
		default:
			v.state = inLine
		}
	case inLastLineEnd:
		if b != '\n' {
			return errLineEnd
		}
		v.endHead()
	}
	return nil
}

// nextOfStatusLine validates one byte of the version and the status code, which is three
// digits from 100 to 599.
func (v *Validator) nextOfStatusLine(b byte) error {
	valid := false
	switch at := v.position; at {
	case minorVersion:
		valid = isDigit(b)
	case firstDigit - 1:
		valid = b == ' '
	case firstDigit:
		valid = '1' <= b && b <= '5'
		v.informational = b == '1'
	case firstDigit + 1:
		valid = isDigit(b)
		v.switched = v.informational && b == '0'
	case firstDigit + 2:
		valid = isDigit(b)
		if v.switched && b == '1' {
			return errSwitched
		}
	case statusEnd:
		v.state, valid = inReason, b == ' ' || b == '\r'
		if b == '\n' {
			v.state, valid = atLineStart, true
		}
	default:
		valid = b == version[at]
	}
	if !valid {
		return errStatusLine
	}
	v.position++
	return nil
}

// endHead expects the body, or another head after that of an informational response.
func (v *Validator) endHead() {
	if v.informational {
		*v = Validator{}
		return
	}
	v.state = inBody
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
