package peer

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Op identifies the operation that a request between peers asks for.
type Op uint8

// Operations.
const (
	// OpReadObjects reads the platform's objects from the peer's replica.
	OpReadObjects Op = iota + 1
	// OpCommit executes a ledger operation on its shard.
	OpCommit
	// OpFetchState fetches from a gateway the routes and targets that are newer than the
	// requester's.
	OpFetchState
	// OpPushState pushes routes and targets to a gateway that has older ones.
	OpPushState
	// OpAwaitChange waits at a gateway that follows the store until its routes or targets
	// differ from the requester's.
	OpAwaitChange
	// OpExchangeMarks exchanges what two gateways know of requests under which targets
	// ended, and waits for news.
	OpExchangeMarks
	// OpAcquirePermit asks a gateway that grants requests to targets with a limit for one.
	OpAcquirePermit
	// OpAcquireColdPermit asks a gateway that grants requests to cold targets for one of them.
	OpAcquireColdPermit
	// OpAcquireQuota asks a gateway that grants a share of organisations' quotas for requests.
	OpAcquireQuota
	// OpQueryTenure asks a gateway which share of limits and quotas it grants now.
	OpQueryTenure
)

// opNames are the names of the operations in metrics.
var opNames = map[Op]string{
	OpReadObjects:   "read_objects",
	OpCommit:        "commit",
	OpFetchState:    "fetch_state",
	OpPushState:     "push_state",
	OpAwaitChange:   "await_change",
	OpExchangeMarks: "exchange_marks",
	OpAcquirePermit: "acquire_permit",
}

// String returns the name of the operation in metrics.
func (o Op) String() string {
	if name, ok := opNames[o]; ok {
		return name
	}
	return "op_" + strconv.Itoa(int(o))
}

// RequestHandler handles the requests of one Op. It is called concurrently. It returns the
// result to send to the peer; the text of an error is sent as the refusal.
type RequestHandler func(from model.InstanceID, body []byte) (any, error)

// serveTimeout limits the time to read, handle and answer one request.
const serveTimeout = 10 * time.Second

// ackTimeout is the time in which a peer acknowledges a request: a round trip to another
// region takes 24 ms, and QUIC delays acknowledgements by up to 25 ms.
const ackTimeout = 100 * time.Millisecond

// request is the only frame that the requester sends on a stream.
type request struct {
	Op   Op              `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// response is the frame sent in reply. Refusal is empty if the request succeeded.
type response struct {
	Body    cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	Refusal string          `cbor:"2,keyasint,omitempty"`
}

// Handle registers the handler of an operation. It must be called before Start.
func (t *Transport) Handle(op Op, handler RequestHandler) { t.handlers[op] = handler }

// DialAndCall is like Call, but dials addr if there is no connection to the peer. If
// the call fails on a connection that seems dead, the connection is closed, so that the next
// call opens a new one. Other calls on a connection that works are not affected.
func (t *Transport) DialAndCall(ctx context.Context, peer model.InstanceID, addr string, op Op, body, result any) error {
	c := t.conn(peer)
	if c == nil {
		if err := t.dialShared(ctx, addr); err != nil {
			return &ConnectionError{Peer: peer, Cause: err}
		}
		if c = t.conn(peer); c == nil {
			return &NotConnectedError{Peer: peer}
		}
	}
	startedAt, received := time.Now(), c.ConnectionStats().PacketsReceived
	err := c.call(ctx, op, body, result)
	var failed *ConnectionError
	if eris.As(err, &failed) && c.isSilent(ctx, startedAt, received) {
		_ = c.CloseWithError(closeNotNeeded, "")
	}
	return err
}

// isSilent reports whether a connection on which a call failed is to be given up: nothing was
// received during the call, although the peer had the time to acknowledge the request. A
// call that the caller cancelled says nothing about the connection.
func (c *conn) isSilent(ctx context.Context, startedAt time.Time, received uint64) bool {
	if ctx.Err() == nil {
		return true
	}
	return !errors.Is(ctx.Err(), context.Canceled) && time.Since(startedAt) >= ackTimeout && c.ConnectionStats().PacketsReceived == received
}

// dialShared opens a connection that concurrent calls of the same address share. If ctx ends
// first, it returns the cause; the attempt goes on for the other calls and the next ones.
func (t *Transport) dialShared(ctx context.Context, addr string) error {
	dialed := t.dials.DoChan(addr, func() (any, error) {
		if t.ctx.Err() != nil {
			return nil, context.Cause(t.ctx)
		}
		t.goroutines.Add(1)
		defer t.goroutines.Done()
		return nil, t.dial(addr)
	})
	select {
	case d := <-dialed:
		return d.Err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// CallAddr is like DialAndCall for a peer of which only the address is known. It
// returns the ID of the peer at that address, also if the call fails after connecting.
// If it can't connect, the errors contain the address in place of the ID.
func (t *Transport) CallAddr(ctx context.Context, addr string, op Op, body, result any) (model.InstanceID, error) {
	c := t.connByAddr(addr)
	if c == nil {
		if err := t.dialShared(ctx, addr); err != nil {
			return "", &ConnectionError{Peer: model.InstanceID(addr), Cause: err}
		}
		if c = t.connByAddr(addr); c == nil {
			return "", &NotConnectedError{Peer: model.InstanceID(addr)}
		}
	}
	return c.link.Peer, t.DialAndCall(ctx, c.link.Peer, addr, op, body, result)
}

// connByAddr returns an open connection to a UDP address, or nil if there is none.
func (t *Transport) connByAddr(addr string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.links {
		if c.link.Addr == addr && c.Context().Err() == nil {
			return c
		}
	}
	return nil
}

// Call sends a request over the existing connection to a peer and decodes its response
// into result. It returns *NotConnectedError, *ConnectionError, *RefusedError or
// *CodecError.
func (t *Transport) Call(ctx context.Context, peer model.InstanceID, op Op, body, result any) error {
	c := t.conn(peer)
	if c == nil {
		return &NotConnectedError{Peer: peer}
	}
	return c.call(ctx, op, body, result)
}

func (c *conn) call(ctx context.Context, op Op, body, result any) error {
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
	counted := &countingStream{ReadWriter: stream}
	defer c.report(op, false, counted)
	if err := WriteFrame(counted, request{Op: op, Body: raw}); err != nil {
		return &ConnectionError{Peer: c.link.Peer, Cause: err}
	}
	_ = stream.Close()
	var r response
	if err := ReadFrame(counted, &r); err != nil {
		abort(stream)
		return &ConnectionError{Peer: c.link.Peer, Cause: err}
	}
	if r.Refusal != "" {
		return &RefusedError{Peer: c.link.Peer, Reason: r.Refusal}
	}
	return Decode(r.Body, result)
}

// abort cancels both directions of a stream.
func abort(s *quic.Stream) {
	s.CancelRead(0)
	s.CancelWrite(0)
}

// serve accepts and handles the requests of a peer until the connection ends. Each
// request is handled in its own goroutine.
func (t *Transport) serve(c *conn) {
	defer t.goroutines.Done()
	for {
		stream, err := c.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		t.goroutines.Add(1)
		go func() {
			defer t.goroutines.Done()
			t.handleStream(c, stream)
		}()
	}
}

// handleStream reads one request and writes its response.
func (t *Transport) handleStream(c *conn, s *quic.Stream) {
	_ = s.SetDeadline(time.Now().Add(serveTimeout))
	counted := &countingStream{ReadWriter: s}
	gated := &gatedReader{source: counted, gate: c.longRequest}
	var r request
	err := ReadFrame(gated, &r)
	gated.release()
	if err != nil {
		abort(s)
		return
	}
	defer c.report(r.Op, true, counted)
	if err := WriteFrame(counted, t.handleRequest(c.link.Peer, r)); err != nil {
		abort(s)
		return
	}
	_ = s.Close()
}

// shortRequestBytes is the size of requests of which any number of a peer's are read at once.
const shortRequestBytes = 4 << 10

// gatedReader reads one request. It holds gate from shortRequestBytes on, so that a peer whose
// requests stop halfway takes memory for one.
type gatedReader struct {
	source io.Reader
	gate   chan struct{}
	read   int
	holds  bool
}

// Read implements io.Reader.
func (g *gatedReader) Read(p []byte) (int, error) {
	if !g.holds {
		if g.read >= shortRequestBytes {
			g.gate <- struct{}{}
			g.holds = true
		} else {
			p = p[:min(len(p), shortRequestBytes-g.read)]
		}
	}
	n, err := g.source.Read(p)
	g.read += n
	return n, err
}

// release ends the hold of the gate.
func (g *gatedReader) release() {
	if g.holds {
		<-g.gate
	}
}

// handleRequest calls the handler of a request. Every error becomes a refusal.
func (t *Transport) handleRequest(from model.InstanceID, r request) response {
	handler := t.handlers[r.Op]
	if handler == nil {
		return response{Refusal: (&UnknownOpError{Op: r.Op}).Error()}
	}
	result, err := handler(from, r.Body)
	if err != nil {
		return response{Refusal: err.Error()}
	}
	raw, err := Encode(result)
	if err != nil {
		return response{Refusal: err.Error()}
	}
	return response{Body: raw}
}
