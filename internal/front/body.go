package front

import (
	"io"
	"sync"
)

// body is the body of one request. The first read asks for it where the caller
// waits to be asked.
type body struct {
	conn   *conn
	from   io.ReadCloser
	expect bool
	// done is closed at the body's end.
	done chan struct{}

	mu    sync.Mutex
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.expect {
		b.expect = false
		if _, err := io.WriteString(b.conn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.from.Read(p)
	if err == io.EOF {
		b.end()
	}
	return n, err
}

func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		close(b.done)
	}
	b.ended = true
}

// finished reports whether the whole body was read.
func (b *body) finished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// Close implements io.Closer. The connection drops what was not read.
func (b *body) Close() error { return nil }
