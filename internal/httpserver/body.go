package httpserver

import (
	"io"
	"sync"
)

// body is the body of one request. If the caller waits for 100 Continue, the first read
// sends it.
type body struct {
	conn            *conn
	source          io.ReadCloser
	expectsContinue bool
	// done is closed when the body was read to its end.
	done chan struct{}

	mu        sync.Mutex
	readToEnd bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.expectsContinue {
		b.expectsContinue = false
		if _, err := io.WriteString(b.conn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.markDone()
	}
	return n, err
}

func (b *body) markDone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readToEnd {
		close(b.done)
	}
	b.readToEnd = true
}

// isRead reports whether the body was read to its end.
func (b *body) isRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readToEnd
}

// Close implements io.Closer. It does nothing: the connection discards what was not read.
func (b *body) Close() error { return nil }
