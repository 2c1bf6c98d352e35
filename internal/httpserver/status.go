package httpserver

import "time"

// ConnState is what a connection waits for.
type ConnState string

// States of a connection.
const (
	// StateIdle means that no byte of a request was read.
	StateIdle ConnState = "idle"
	// StateHead means that a part of a request's head was read.
	StateHead ConnState = "head"
	// StateHandler means that a request was read and has no response yet.
	StateHandler ConnState = "handler"
	// StateStreaming means that a response is sent whose body the server still reads.
	StateStreaming ConnState = "streaming"
	// StateWriting means that the caller doesn't take what is sent.
	StateWriting ConnState = "writing"
	// StateClosing means that no further request is read and none is open.
	StateClosing ConnState = "closing"
)

// ConnStatus describes an open connection.
type ConnStatus struct {
	Caller string
	State  ConnState
	// Request is the one to be answered next, or nil; Open is the number of requests that were
	// read and not yet answered.
	Request *Request
	Open    int
	// Age is the time since the connection was accepted.
	Age time.Duration
}

// Connections describes the open connections, in no order.
func (s *Server) Connections() []ConnStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ConnStatus
	for c := range s.conns {
		out = append(out, c.status())
	}
	return out
}

func (c *conn) status() ConnStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := ConnStatus{Caller: c.Caller(), State: StateHead, Request: c.answering.Load(), Open: c.openRequests, Age: time.Since(c.openedAt)}
	switch {
	case c.writeBlocked.Load():
		status.State = StateWriting
	case c.openRequests > 0 && c.streaming != nil:
		status.State = StateStreaming
	case c.openRequests > 0:
		status.State = StateHandler
	case c.awaitingRequest:
		status.State = StateIdle
	case c.inputEnded:
		status.State = StateClosing
	}
	return status
}
