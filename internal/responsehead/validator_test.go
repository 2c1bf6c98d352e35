package responsehead

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"
)

const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestStatusLines checks which status lines begin a response.
func TestStatusLines(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 200\r\n", "HTTP/1.1 200\n",
		"HTTP/1.1 200 \r\n", "HTTP/1.1 599 x\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 x\r\n", "HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 500 x\r\n",
	} {
		if err := new(Validator).Validate([]byte(line + "A: b\r\n\r\n\x00")); err != nil {
			t.Errorf("%q: %v", line, err)
		}
	}
	for _, line := range []string{
		"HTTP/1.1 000 x\r\n", "HTTP/1.1 001 x\r\n", "HTTP/1.1 099 x\r\n", "HTTP/1.1 +20 x\r\n", "HTTP/1.1 -20 x\r\n", "HTTP/1.1 600 x\r\n",
		"HTTP/1.1 999 x\r\n", "HTTP/1.1 20 x\r\n", "HTTP/1.1 2000 x\r\n", "HTTP/1.1 2 0 x\r\n", "HTTP/1.1  200 x\r\n", "HTTP/1.1 101 x\r\n",
		"HTTP/2.0 200 x\r\n", "HTTP/0.9 200 x\r\n", "HTTP/1. 200 x\r\n", "HTTP/1.1\r\n", "http/1.1 200 x\r\n", "\r\nHTTP/1.1 200 x\r\n",
		"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 x\r\n", "HTTP/1.1 100 x\r\n\r\n\x00",
	} {
		if err := new(Validator).Validate([]byte(line + "A: b\r\n\r\n")); err == nil {
			t.Errorf("%q was accepted", line)
		}
	}
}

// TestFields checks which lines may follow a status line.
func TestFields(t *testing.T) {
	for _, fields := range []string{
		"", "A: b\r\n", "A:\r\n", "!#$%&'*+-.^_`|~09azAZ: \x00\r\n", "A: b\r\n folded\r\n\tand again\r\nC: d\r\n", "A: b\n",
		"Transfer-Encoding: chunked\r\n", "Transfer-Encodings: a\r\n",
	} {
		if err := new(Validator).Validate([]byte("HTTP/1.1 200 OK\r\n" + fields + "\r\n")); err != nil {
			t.Errorf("%q: %v", fields, err)
		}
	}
	for _, fields := range []string{
		"A : b\r\n", "A b: c\r\n", "A\t: b\r\n", ": b\r\n", " A: b\r\n", "\tA: b\r\n", "A\x00: b\r\n", "A\x1f: b\r\n", "A\x7f: b\r\n", "\x80: b\r\n",
		"A\r\n", "A\n", "A: b\r\n\rC: d\r\n", "A(: b\r\n", "\"A\": b\r\n",
	} {
		if err := new(Validator).Validate([]byte("HTTP/1.1 200 OK\r\n" + fields + "\r\n")); err == nil {
			t.Errorf("%q was accepted", fields)
		}
	}
	for fields, valid := range map[string]bool{"TRANSFER-encoding: chunked\r\n": false, "Transfer-Encodin: a\r\n": true, "Transfer-Encodings: a\r\n": true} {
		if err := new(Validator).Validate([]byte("HTTP/1.0 200 OK\r\n" + fields + "\r\n")); (err == nil) != valid {
			t.Errorf("HTTP/1.0, %q: %v", fields, err)
		}
	}
}

// FuzzValidator checks that the division of a response into reads doesn't matter, that what
// the validator accepts net/http reads as a response in the allowed range, and that the
// validator finds the same end of the head.
func FuzzValidator(f *testing.F) {
	f.Add([]byte(head), 3)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"+head), 20)
	f.Add([]byte(strings.Replace(head, ":", " :", 1)), 30)
	f.Add([]byte(strings.Replace(head, "200", "000", 1)), 12)
	f.Fuzz(func(t *testing.T, response []byte, cut int) {
		whole := new(Validator)
		wholeErr := whole.Validate(response)
		cut = max(0, min(cut, len(response)))
		parts := new(Validator)
		partsErr := parts.Validate(response[:cut])
		if partsErr == nil {
			partsErr = parts.Validate(response[cut:])
		}
		if wholeErr != partsErr || (wholeErr == nil && *whole != *parts) {
			t.Fatalf("whole %v, cut at %d %v", wholeErr, cut, partsErr)
		}
		if wholeErr != nil || whole.state != inBody {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(response))
		for {
			parsed, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if parsed.StatusCode < 100 || parsed.StatusCode > 599 || parsed.StatusCode == http.StatusSwitchingProtocols || parsed.ProtoMajor != 1 {
				t.Fatalf("accepted %s %d", parsed.Proto, parsed.StatusCode)
			}
			for name := range parsed.Header {
				if !httpguts.ValidHeaderFieldName(name) {
					t.Fatalf("accepted field %q", name)
				}
			}
			if parsed.StatusCode >= 200 {
				return
			}
		}
	})
}
