// Package front implements the HTTP/1.1 server for callers. It serves pipelined requests
// concurrently and sends the responses in the order of the requests.
package front

import (
	"bufio"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"time"
)

// Request is one request of a caller.
type Request struct {
	// HTTP is the request as read from the connection. Its Body must not be read after
	// Serve has returned.
	HTTP *http.Request
	// Target is the request target exactly as the caller sent it.
	Target string
	// Path is the escaped path of the request target, Query its raw query.
	Path, Query string
	ReceivedAt  time.Time
	// BodyDeadline sets the time after which reads of the body fail; the zero time means
	// no limit.
	BodyDeadline func(time.Time)
}

// Answer is the response to a caller.
type Answer struct {
	Status int
	Header http.Header
	// Body is the complete body, or its beginning if Rest is set.
	Body []byte
	// Rest, if set, is the remaining body, which the server closes. If reading it fails,
	// the connection is closed so that the response can't be taken for complete.
	Rest io.ReadCloser
	// Length is the length of the complete body in bytes if Rest is set; -1 if unknown.
	Length int64
	// Written, if set, is called once the response was written or writing failed; err is
	// nil after success.
	Written func(err error)
}

// hopByHop are the header fields that concern one connection only or that the server sets
// itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// hasNoBody reports whether HTTP forbids a body in a response.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified || status < http.StatusOK
}

// write sends the response to one request. If closeAfter is set, it announces that the
// connection closes. After an error the connection must be closed.
func (a *Answer) write(w *bufio.Writer, method string, closeAfter bool) error {
	if a.Rest != nil {
		defer func() { _ = a.Rest.Close() }()
	}
	chunked := a.Rest != nil && a.Length < 0
	a.writeHeader(w, method, chunked, closeAfter)
	if hasNoBody(method, a.Status) {
		return w.Flush()
	}
	if chunked {
		return a.writeChunks(w)
	}
	return a.writeBody(w)
}

// writeHeader sends the status line and the header.
func (a *Answer) writeHeader(w *bufio.Writer, method string, chunked, closeAfter bool) {
	// A bufio.Writer keeps its first error, which Flush returns.
	writeStrings := func(parts ...string) {
		for _, part := range parts {
			_, _ = w.WriteString(part)
		}
	}
	writeStrings("HTTP/1.1 ", strconv.Itoa(a.Status), " ", http.StatusText(a.Status), "\r\n")
	for name, values := range a.Header {
		if hopByHop[textproto.CanonicalMIMEHeaderKey(name)] {
			continue
		}
		for _, value := range values {
			writeStrings(name, ": ", value, "\r\n")
		}
	}
	switch {
	case chunked:
		writeStrings("Transfer-Encoding: chunked\r\n")
	case a.Rest != nil:
		writeStrings("Content-Length: ", strconv.FormatInt(a.Length, 10), "\r\n")
	case method != http.MethodHead && !hasNoBody(method, a.Status):
		writeStrings("Content-Length: ", strconv.Itoa(len(a.Body)), "\r\n")
	}
	if closeAfter {
		writeStrings("Connection: close\r\n")
	}
	writeStrings("\r\n")
}

// writeBody sends a body of known length. It fails if Rest yields another length.
func (a *Answer) writeBody(w *bufio.Writer) error {
	if _, err := w.Write(a.Body); err != nil {
		return err
	}
	if a.Rest != nil {
		n, err := io.Copy(w, a.Rest)
		if err != nil {
			return err
		}
		if n+int64(len(a.Body)) != a.Length {
			return io.ErrUnexpectedEOF
		}
	}
	return w.Flush()
}

// chunkBytes is the size in bytes of the buffer for a body of unknown length, and so the
// largest chunk after the first.
const chunkBytes = 16 << 10

// writeChunks sends a body of unknown length in chunked transfer encoding.
func (a *Answer) writeChunks(w *bufio.Writer) error {
	chunk := func(p []byte) {
		if len(p) > 0 {
			_, _ = w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
			_, _ = w.Write(p)
			_, _ = w.WriteString("\r\n")
		}
	}
	chunk(a.Body)
	buf := make([]byte, chunkBytes)
	for {
		n, err := a.Rest.Read(buf)
		chunk(buf[:n])
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	_, _ = w.WriteString("0\r\n\r\n")
	return w.Flush()
}
