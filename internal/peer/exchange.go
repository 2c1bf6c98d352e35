package peer

import "io"

// Exchange describes a request and its response, for accounting.
type Exchange struct {
	Op   Op
	Link Link
	// Served is set if the peer made the request.
	Served bool
	// Sent and Received are the bytes written to and read from the stream, without the
	// headers of packets.
	Sent, Received int
}

// countingStream counts the bytes that pass over a stream. It must be used by one goroutine.
type countingStream struct {
	io.ReadWriter
	sent, received int
}

func (s *countingStream) Read(p []byte) (int, error) {
	n, err := s.ReadWriter.Read(p)
	s.received += n
	return n, err
}

func (s *countingStream) Write(p []byte) (int, error) {
	n, err := s.ReadWriter.Write(p)
	s.sent += n
	return n, err
}

// report passes the exchange on the stream to the observer, if there is one.
func (c *conn) report(op Op, served bool, s *countingStream) {
	if c.onExchange != nil {
		c.onExchange(Exchange{Op: op, Link: c.link, Served: served, Sent: s.sent, Received: s.received})
	}
}
