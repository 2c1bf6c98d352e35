package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Op names a kind of request between peers.
type Op uint8

// Operations.
const (
	// OpObjects reads objects of the platform as a peer knows them.
	OpObjects Op = iota + 1
	// OpCommit carries an op of the ledger out on its shard.
	OpCommit
	// OpState asks a gateway for routes and targets that are newer than the asker's.
	OpState
	// OpOffer hands such routes and targets to a gateway that lacks them.
	OpOffer
)

// Route answers the requests of one Op. It is called from several goroutines.
type Route func(from model.InstanceID, body []byte) (any, error)

// callTimeout bounds the serving of one request.
const callTimeout = 10 * time.Second

// request is the first frame of a stream.
type request struct {
	Op   Op              `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// response is the answer to it.
type response struct {
	Body    cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	Refusal string          `cbor:"2,keyasint,omitempty"`
}

// Handle sets the route of an operation. It must be called before Start.
func (t *Transport) Handle(op Op, route Route) { t.routes[op] = route }

// CallAt is Call with a connection opened on demand. After a failure of the
// connection, also one that went silent, the next call opens a new one.
func (t *Transport) CallAt(ctx context.Context, peer model.InstanceID, addr string, op Op, body, answer any) error {
	c := t.conn(peer)
	if c == nil {
		_, err, _ := t.dials.Do(addr, func() (any, error) { return nil, t.dial(addr) })
		if err != nil {
			return &ConnectionError{Peer: peer, Cause: err}
		}
		if c = t.conn(peer); c == nil {
			return &NotLinkedError{Peer: peer}
		}
	}
	err := c.call(ctx, op, body, answer)
	var broken *ConnectionError
	if eris.As(err, &broken) {
		_ = c.CloseWithError(closeUnneeded, "")
	}
	return err
}

// CallAddr is CallAt for a peer of which only the address is known. It returns the
// peer that answered.
func (t *Transport) CallAddr(ctx context.Context, addr string, op Op, body, answer any) (model.InstanceID, error) {
	c := t.connAt(addr)
	if c == nil {
		_, err, _ := t.dials.Do(addr, func() (any, error) { return nil, t.dial(addr) })
		if err != nil {
			return "", &ConnectionError{Peer: model.InstanceID(addr), Cause: err}
		}
		if c = t.connAt(addr); c == nil {
			return "", &NotLinkedError{Peer: model.InstanceID(addr)}
		}
	}
	return c.link.Peer, t.CallAt(ctx, c.link.Peer, addr, op, body, answer)
}

// connAt returns the connection to an address, or nil.
func (t *Transport) connAt(addr string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.links {
		if c.link.Addr == addr && c.Context().Err() == nil {
			return c
		}
	}
	return nil
}

// Call sends a request to a peer and reads its answer. It returns
// *NotLinkedError, *ConnectionError, *RefusedError or *CodecError.
func (t *Transport) Call(ctx context.Context, peer model.InstanceID, op Op, body, answer any) error {
	c := t.conn(peer)
	if c == nil {
		return &NotLinkedError{Peer: peer}
	}
	return c.call(ctx, op, body, answer)
}

func (c *conn) call(ctx context.Context, op Op, body, answer any) error {
	raw, err := Encode(body)
	if err != nil {
		return err
	}
	stream, err := c.OpenStreamSync(ctx)
	if err != nil {
		return &ConnectionError{Peer: c.link.Peer, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	defer stop()
	if err := WriteFrame(stream, request{Op: op, Body: raw}); err != nil {
		return &ConnectionError{Peer: c.link.Peer, Cause: err}
	}
	_ = stream.Close()
	var r response
	if err := ReadFrame(stream, &r); err != nil {
		abort(stream)
		return &ConnectionError{Peer: c.link.Peer, Cause: err}
	}
	if r.Refusal != "" {
		return &RefusedError{Peer: c.link.Peer, Reason: r.Refusal}
	}
	return Decode(r.Body, answer)
}

func abort(s *quic.Stream) {
	s.CancelRead(0)
	s.CancelWrite(0)
}

// serve answers the requests of a peer until the connection ends.
func (t *Transport) serve(c *conn) {
	defer t.running.Done()
	for {
		stream, err := c.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		t.running.Add(1)
		go func() {
			defer t.running.Done()
			t.answer(c, stream)
		}()
	}
}

func (t *Transport) answer(c *conn, s *quic.Stream) {
	_ = s.SetDeadline(time.Now().Add(callTimeout))
	var r request
	if err := ReadFrame(s, &r); err != nil {
		abort(s)
		return
	}
	if err := WriteFrame(s, t.route(c.link.Peer, r)); err != nil {
		abort(s)
		return
	}
	_ = s.Close()
}

func (t *Transport) route(from model.InstanceID, r request) response {
	route := t.routes[r.Op]
	if route == nil {
		return response{Refusal: (&UnknownOpError{Op: r.Op}).Error()}
	}
	answer, err := route(from, r.Body)
	if err != nil {
		return response{Refusal: err.Error()}
	}
	raw, err := Encode(answer)
	if err != nil {
		return response{Refusal: err.Error()}
	}
	return response{Body: raw}
}
