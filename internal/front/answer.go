// Package front is a gateway's side towards callers: HTTP/1.1 connections on which
// safe requests are served side by side and answered in the order of their arrival.
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
	// HTTP is the request as it was read. Its Body must not be read after Serve
	// has returned.
	HTTP *http.Request
	// Target is the request target as the caller wrote it.
	Target string
	// Path is the escaped path of Target, Query the raw query.
	Path, Query string
	ReceivedAt  time.Time
	// BodyDeadline sets when a read of the body fails; a zero time means never.
	BodyDeadline func(time.Time)
}

// Answer is what a caller gets.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest, if set, is the remaining body; it is closed after use. An error of it
	// breaks the connection off, so that the answer doesn't look complete.
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes if Rest is set; -1 if unknown.
	Length int64
	// Written, if set, is called once the answer was written or failed to be.
	Written func(err error)
}

// perConnection are the header fields that concern one connection only.
var perConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// hasNoBody reports whether the protocol gives an answer no body.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified || status < http.StatusOK
}

// write sends the answer to one request. The connection is to be closed after an
// error, or if last is set.
func (a *Answer) write(w *bufio.Writer, method string, last bool) error {
	if a.Rest != nil {
		defer func() { _ = a.Rest.Close() }()
	}
	chunked := a.Rest != nil && a.Length < 0
	a.writeHeader(w, method, chunked, last)
	if hasNoBody(method, a.Status) {
		return w.Flush()
	}
	if chunked {
		return a.writeChunks(w)
	}
	return a.writeBody(w)
}

func (a *Answer) writeHeader(w *bufio.Writer, method string, chunked, last bool) {
	// A bufio.Writer keeps its first error, which Flush reports.
	text := func(parts ...string) {
		for _, part := range parts {
			_, _ = w.WriteString(part)
		}
	}
	text("HTTP/1.1 ", strconv.Itoa(a.Status), " ", http.StatusText(a.Status), "\r\n")
	for name, values := range a.Header {
		if perConnection[textproto.CanonicalMIMEHeaderKey(name)] {
			continue
		}
		for _, value := range values {
			text(name, ": ", value, "\r\n")
		}
	}
	switch {
	case chunked:
		text("Transfer-Encoding: chunked\r\n")
	case a.Rest != nil:
		text("Content-Length: ", strconv.FormatInt(a.Length, 10), "\r\n")
	case method != http.MethodHead && !hasNoBody(method, a.Status):
		text("Content-Length: ", strconv.Itoa(len(a.Body)), "\r\n")
	}
	if last {
		text("Connection: close\r\n")
	}
	text("\r\n")
}

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

// relayBuffer is the size in bytes of one piece of an answer of unknown length.
const relayBuffer = 16 << 10

func (a *Answer) writeChunks(w *bufio.Writer) error {
	chunk := func(p []byte) {
		if len(p) > 0 {
			_, _ = w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
			_, _ = w.Write(p)
			_, _ = w.WriteString("\r\n")
		}
	}
	chunk(a.Body)
	buf := make([]byte, relayBuffer)
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
