// Package responsehead validates the heads of HTTP/1.1 responses where net/http accepts more
// than RFC 9112 allows, and tells the bytes of a response from those that no request has
// asked for.
package responsehead

import "strings"

// MalformedError reports a response head that breaks RFC 9112. Its text holds none of the
// bytes received.
type MalformedError struct{ Problem string }

func (e *MalformedError) Error() string { return "malformed response head: " + e.Problem }

var (
	errStatusLine = &MalformedError{Problem: "invalid status line"}
	errFieldName  = &MalformedError{Problem: "invalid field name"}
	errFolded     = &MalformedError{Problem: "continuation of no field"}
	// errFraming means Transfer-Encoding in a response of HTTP/1.0, which RFC 9112, section
	// 6.1, takes for faulty framing.
	errFraming = &MalformedError{Problem: "Transfer-Encoding in HTTP/1.0"}
	errLineEnd = &MalformedError{Problem: "carriage return without line feed"}
	// errSwitched means status 101, since no request asks for another protocol.
	errSwitched = &MalformedError{Problem: "change of protocol without request"}
)

// state is the part of a response that a Validator expects next.
type state uint8

const (
	inStatusLine state = iota
	inReason
	atLineStart
	inName
	inValue
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
	// position is the number of bytes of the status line so far, up to statusEnd. Later it is
	// the number of those of the name so far that match transferEncoding, or -1.
	position int
	// legacy is set if the response is of HTTP/1.0. hasField is set after the first field.
	legacy, hasField bool
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
	case inReason, inValue:
		if b == '\n' {
			v.state = atLineStart
		}
	case atLineStart:
		return v.nextOfLine(b)
	case inName:
		return v.nextOfName(b)
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
		v.legacy = b == '0'
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

// nextOfLine validates the first byte of a line after the status line.
func (v *Validator) nextOfLine(b byte) error {
	switch b {
	case '\r':
		v.state = inLastLineEnd
	case '\n':
		v.endHead()
	case ' ', '\t':
		if !v.hasField {
			return errFolded
		}
		v.state = inValue
	case ':':
		return errFieldName
	default:
		v.state, v.hasField, v.position = inName, true, 0
		return v.nextOfName(b)
	}
	return nil
}

// transferEncoding is the name of that field in lower case.
const transferEncoding = "transfer-encoding"

// nextOfName validates one byte of a field's name or the colon after it. A name is a token,
// with no white space before the colon.
func (v *Validator) nextOfName(b byte) error {
	switch {
	case b == ':':
		if v.legacy && v.position == len(transferEncoding) {
			return errFraming
		}
		v.state = inValue
	case !isTokenByte(b):
		return errFieldName
	case v.position >= 0 && v.position < len(transferEncoding) && b|0x20 == transferEncoding[v.position]:
		v.position++
	default:
		v.position = -1
	}
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

// isTokenByte reports whether b may stand in a token of RFC 9110, section 5.6.2.
func isTokenByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || isDigit(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
