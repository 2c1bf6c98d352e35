// Package httpserver implements the HTTP/1.1 server for callers. It serves pipelined
// requests concurrently and sends the responses in the order of the requests.
package httpserver

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"redwingpoint.org/redwingpoint/internal/callers"
)

// Request is one request of a caller.
type Request struct {
	// HTTP is the request as read from the connection. Its Body may be read until it is
	// closed or the response was written. Closing it makes a pending read fail; a body that
	// was not read to its end closes the connection after the response.
	HTTP *http.Request
	// RequestTarget is the request target exactly as the caller sent it.
	RequestTarget string
	// Path is the escaped path of the request target, Query its raw query. ForceQuery is set if
	// the query is empty, but the question mark is there.
	Path, Query string
	ForceQuery  bool
	ReceivedAt  time.Time
	// BodyDeadline sets the time after which reads of the body fail; the zero time means
	// no limit. It does nothing once the body has ended.
	BodyDeadline func(time.Time)
	// Lifetime ends with the server, and not when the caller disconnects. Nil never ends.
	Lifetime context.Context
	// Account is what the connection holds for its caller, or nil. Serve releases what it
	// reserves, at the latest when Response.Remainder is closed.
	Account *callers.Account
}

// describe names the request in reports.
func (r *Request) describe() string { return r.HTTP.Method + " " + r.HTTP.Host + r.RequestTarget }

// Response is the response to a caller.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its beginning if Remainder is set.
	Body []byte
	// Remainder, if set, is the remaining body, which the server closes. If reading it
	// fails, the connection is closed so that the response can't be taken for complete.
	Remainder io.ReadCloser
	// ContentLength is the length of the complete body in bytes if Remainder is set; -1
	// if unknown.
	ContentLength int64
	// OnBroken, if set, returns the response that takes the place of this one if reading
	// Remainder fails before anything was sent.
	OnBroken func(err error) *Response
	// OnTooLong, if set, returns the response that takes the place of this one if it is too long
	// to be read whole while requests behind it on the connection are served, and has no
	// announced length by which it ends.
	OnTooLong func() *Response
	// OnWritten, if set, is called once the response was written or writing failed; err is
	// nil after success.
	OnWritten func(err error)
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
func (r *Response) write(w *bufio.Writer, method string, closeAfter bool) error {
	if r.Remainder != nil {
		defer func() { _ = r.Remainder.Close() }()
	}
	chunked := r.Remainder != nil && r.ContentLength < 0
	r.writeHeader(w, method, chunked, closeAfter)
	if hasNoBody(method, r.Status) {
		return w.Flush()
	}
	if chunked {
		return r.writeChunks(w)
	}
	return r.writeBody(w)
}

// writeHeader sends the status line and the header.
func (r *Response) writeHeader(w *bufio.Writer, method string, chunked, closeAfter bool) {
	// A bufio.Writer keeps its first error, which Flush returns.
	writeStrings := func(parts ...string) {
		for _, part := range parts {
			_, _ = w.WriteString(part)
		}
	}
	writeStrings("HTTP/1.1 ", strconv.Itoa(r.Status), " ", http.StatusText(r.Status), "\r\n")
	for name, values := range r.Header {
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
	case r.Remainder != nil:
		writeStrings("Content-Length: ", strconv.FormatInt(r.ContentLength, 10), "\r\n")
	case method != http.MethodHead && !hasNoBody(method, r.Status):
		writeStrings("Content-Length: ", strconv.Itoa(len(r.Body)), "\r\n")
	}
	if closeAfter {
		writeStrings("Connection: close\r\n")
	}
	writeStrings("\r\n")
}

// writeBody sends a body of known length. It fails if Remainder yields another length.
func (r *Response) writeBody(w *bufio.Writer) error {
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if r.Remainder != nil {
		n, err := io.Copy(w, r.Remainder)
		if err != nil {
			return err
		}
		if n+int64(len(r.Body)) != r.ContentLength {
			return io.ErrUnexpectedEOF
		}
	}
	return w.Flush()
}

// chunkBytes is the size in bytes of the buffer for a body of unknown length, and so the
// largest chunk after the first.
const chunkBytes = 16 << 10

// writeChunks sends a body of unknown length in chunked transfer encoding.
func (r *Response) writeChunks(w *bufio.Writer) error {
	chunk := func(p []byte) {
		if len(p) > 0 {
			_, _ = w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
			_, _ = w.Write(p)
			_, _ = w.WriteString("\r\n")
		}
	}
	chunk(r.Body)
	buf := make([]byte, chunkBytes)
	for {
		n, err := r.Remainder.Read(buf)
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
