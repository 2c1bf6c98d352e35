package upstream

import (
	"context"
	"io"
)

// answer is the body of a target's answer. Its connection goes back to the pool
// only after the whole body was read; a body closed earlier closes it.
type answer struct {
	ctx    context.Context
	body   io.ReadCloser
	pool   *pool
	conn   *conn
	target targetID
	keep   bool
	done   bool
}

// Read implements io.Reader. An answer that ends early gives a *CallError.
func (a *answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == io.EOF:
		a.finish(true)
	case err != nil:
		a.finish(false)
		err = newCallError(a.ctx, a.target, a.conn, true, err)
	}
	return n, err
}

// Close implements io.Closer.
func (a *answer) Close() error {
	a.finish(false)
	return nil
}

func (a *answer) finish(whole bool) {
	if a.done {
		return
	}
	a.done = true
	_ = a.body.Close()
	if whole && a.keep {
		a.pool.put(a.conn)
		return
	}
	a.conn.close()
}
