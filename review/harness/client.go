package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns the id of one consumer attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// consumer is one consumer with one kept connection.
type consumer struct {
	record *record
	addr   string

	conn   net.Conn
	reader *bufio.Reader
	// served is the number of answers on the connection.
	served int
}

// answer is what a consumer got for one attempt.
type answer struct {
	id   string
	kept bool
	// status is 0 if there was no complete answer; err is why.
	status int
	header http.Header
	body   []byte
	err    error
	// late is set if the consumer gave up because its time was over.
	late bool
	// took is the time from the first byte sent to the answer, or to the end of the wait.
	took time.Duration
}

var errNotConnected = errors.New("no connection")

// do sends one attempt and waits for its answer for the budget.
func (c *consumer) do(method, host, path string, body []byte, budget time.Duration) answer {
	a := answer{id: newID()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			a.err = errNotConnected
			return a
		}
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	a.kept = c.served > 0
	_ = c.conn.SetDeadline(time.Now().Add(budget))
	c.record.add("consumer: %s %s%s sent as %s to %s (kept connection: %t)", method, host, path, a.id, c.addr, a.kept)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, a.id, budget.Milliseconds())
	if len(body) > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		return c.fail(a, err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return c.fail(a, err)
	}
	a.body, err = io.ReadAll(resp.Body)
	if err != nil {
		return c.fail(a, err)
	}
	a.status, a.header = resp.StatusCode, resp.Header
	c.record.add("consumer: %s answered %d, signature %q, %d bytes", a.id, a.status, a.header.Get("X-Server-Signature"), len(a.body))
	c.served++
	if resp.Close {
		c.close()
	}
	return a
}

func (c *consumer) fail(a answer, err error) answer {
	a.err, a.late = err, errors.Is(err, os.ErrDeadlineExceeded)
	c.record.add("consumer: %s without an answer: %v", a.id, err)
	c.close()
	return a
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// rows returns an address list, row by row, of at least n bytes.
func rows(n int) (list [][]byte) {
	for total, i := 0, 0; total < n; i++ {
		row := fmt.Appendf(nil, "%d;Dlouha %d;%05d\n", i, i%97, 60000+i%999)
		list, total = append(list, row), total+len(row)
	}
	return list
}

// chunked returns the rows in chunked transfer encoding, a chunk for each row.
func chunked(list [][]byte) (encoded []byte) {
	for _, row := range list {
		encoded = fmt.Appendf(encoded, "%x\r\n%s\r\n", len(row), row)
	}
	return append(encoded, "0\r\n\r\n"...)
}

// upload sends a chunked body on a fresh connection. If stallAt is not negative, no byte from
// there on is sent: the consumer's link has stalled. The consumer waits for an answer.
func upload(rec *record, addr, host, path string, encoded []byte, stallAt int, budget time.Duration) answer {
	a := answer{id: newID()}
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		a.err = errNotConnected
		return a
	}
	defer func() { _ = conn.Close() }()
	startedAt := time.Now()
	_ = conn.SetDeadline(startedAt.Add(budget))
	rec.add("consumer: POST %s%s sent as %s to %s, %d bytes in chunks, stalls at %d", host, path, a.id, addr, len(encoded), stallAt)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", path, host, a.id, budget.Milliseconds())
	sent := encoded
	if stallAt >= 0 {
		sent = encoded[:stallAt]
	}
	if _, err := conn.Write(append([]byte(head), sent...)); err != nil {
		rec.add("consumer: %s: %v", a.id, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	a.took = time.Since(startedAt)
	if err != nil {
		a.err = err
		rec.add("consumer: %s without an answer: %v", a.id, err)
		return a
	}
	a.body, _ = io.ReadAll(resp.Body)
	a.status = resp.StatusCode
	rec.add("consumer: %s answered %d", a.id, a.status)
	return a
}
