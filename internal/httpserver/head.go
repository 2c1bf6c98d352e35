package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
)

const (
	// headSlack is how many bytes a head may be longer than the limit, which need not count the
	// request line and the ends of lines.
	headSlack = 4 << 10
	// fieldBytes is what one line of a head takes beside its text: its entries in the maps of
	// the request and of the request to a target.
	fieldBytes = 224
	// requestBytes is what a request takes beside its head: its goroutine and its exchange.
	requestBytes = 6 << 10
)

// HeadTooLargeError reports a request head, or the trailers of a body, beyond the limit.
type HeadTooLargeError struct{}

func (HeadTooLargeError) Error() string { return "request head is too large" }

// NoMemoryError reports that the budget for callers has no memory for a request.
type NoMemoryError struct{}

func (NoMemoryError) Error() string { return "no memory for the request" }

// MalformedHeadError reports a request head that breaks the protocol.
type MalformedHeadError struct{ Cause error }

func (e *MalformedHeadError) Error() string { return "malformed request head: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedHeadError) Unwrap() error { return e.Cause }

// headRestError reports bytes behind the end of a head, as net/http reads it.
type headRestError struct{}

func (headRestError) Error() string { return "the head ends early" }

// parsers holds buffers for parsing heads.
var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// readHead reads the head of a request. A head that is not complete takes no more memory than
// its bytes. It returns the request, whose body reads from the connection, and the bytes that
// are reserved for it in the connection's account.
func (c *conn) readHead(limit int64) (*http.Request, int64, error) {
	limit += headSlack
	// long holds the beginning of a head that is larger than the read buffer.
	var long []byte
	defer func() { c.account.Release(int64(cap(long))) }()
	for scanned := 0; ; {
		window, _ := c.reader.Peek(c.reader.Buffered())
		text := window
		if long != nil {
			long = append(long, window...)
			text = long
		}
		end, next := headEnd(text, scanned)
		if int64(max(end, len(text))) > limit && (end == 0 || int64(end) > limit) {
			return nil, 0, HeadTooLargeError{}
		}
		if end > 0 {
			_, _ = c.reader.Discard(len(window) - (len(text) - end))
			return c.parseHead(text[:end], limit)
		}
		scanned = next
		if long == nil && len(window) == c.reader.Size() {
			size := limit + readBufferBytes
			if !c.account.Reserve(size) {
				return nil, 0, NoMemoryError{}
			}
			long = append(make([]byte, 0, size), window...)
		}
		if long != nil {
			_, _ = c.reader.Discard(len(window))
		}
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			return nil, 0, err
		}
	}
}

// headEnd returns the length of the head in text, with the empty line at its end, or 0 if it is
// not complete. The search starts at the line start scanned and returns that of the last line.
func headEnd(text []byte, scanned int) (end, next int) {
	for {
		n := bytes.IndexByte(text[scanned:], '\n')
		if n < 0 {
			return 0, scanned
		}
		line := text[scanned : scanned+n]
		scanned += n + 1
		if len(line) == 0 || (len(line) == 1 && line[0] == '\r') {
			return scanned, scanned
		}
	}
}

// parseHead returns the request with a complete head.
func (c *conn) parseHead(head []byte, limit int64) (*http.Request, int64, error) {
	held := requestBytes + 2*int64(len(head)) + fieldBytes*int64(bytes.Count(head, []byte{'\n'}))
	if !c.account.Reserve(held) {
		return nil, 0, NoMemoryError{}
	}
	source := bytes.NewReader(head)
	parser := parsers.Get().(*bufio.Reader)
	parser.Reset(source)
	req, err := http.ReadRequest(parser)
	if err == nil && parser.Buffered()+source.Len() > 0 {
		err = headRestError{}
	}
	parser.Reset(nil)
	parsers.Put(parser)
	if err != nil {
		c.account.Release(held)
		return nil, 0, &MalformedHeadError{Cause: err}
	}
	switch {
	case len(req.TransferEncoding) > 0:
		req.Body = io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(c.reader), input: c.reader, limit: limit})
	case req.ContentLength > 0:
		req.Body = io.NopCloser(&sizedBody{input: c.reader, remaining: req.ContentLength})
	default:
		req.Body = http.NoBody
	}
	return req, held, nil
}

// sizedBody is a request body with a length.
type sizedBody struct {
	input     io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.input.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	switch {
	case b.remaining == 0:
		return n, io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a request body in chunks. Its trailers are read and dropped.
type chunkedBody struct {
	chunks io.Reader
	input  *bufio.Reader
	// limit is how many bytes of trailers may follow.
	limit int64
	ended bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		b.ended = true
		err = b.skipTrailers()
	}
	return n, err
}

// skipTrailers reads the trailers and the empty line at their end. It returns io.EOF after
// them.
func (b *chunkedBody) skipTrailers() error {
	for {
		line, err := b.input.ReadSlice('\n')
		b.limit -= int64(len(line))
		switch {
		case err == bufio.ErrBufferFull || b.limit < 0:
			return HeadTooLargeError{}
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return io.EOF
		}
	}
}
