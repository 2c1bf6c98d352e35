package upstream

import (
	"context"
	"io"
)

// responseBody is the body of a target's response. The connection returns to the pool
// only after the body was read to its end; Close before that closes the connection.
type responseBody struct {
	ctx      context.Context
	body     io.ReadCloser
	pool     *pool
	conn     *conn
	target   targetID
	reusable bool
	done     bool
	// end is the error that ended the body, or nil before its end.
	end error
}

// Read implements io.Reader. A body that ends early gives a *CallError. Reads after the end
// give the same error again: who reads a fixed number of bytes may not see one that comes
// together with the last of them.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.finish(true)
	case err != nil:
		b.finish(false)
		err = newCallError(b.ctx, b.target, b.conn, true, err)
	}
	b.end = err
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

func (b *responseBody) finish(complete bool) {
	if b.done {
		return
	}
	b.done = true
	_ = b.body.Close()
	if complete && b.reusable {
		b.pool.put(b.conn)
		return
	}
	b.conn.close()
}
