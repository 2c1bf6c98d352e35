package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// crowdSize is the number of connections of a crowd.
const crowdSize = 80

// crowds are what the connections of a crowd send before they stop. None is a whole request on
// a route, so that no target runs any.
var crowds = []string{
	"",
	"POST /crowd HTTP/1.1\r\nHost: " + nonIdempotentHost + "\r\nX: " + strings.Repeat("x", 10_000),
	"POST /crowd HTTP/1.1\r\nHost: " + nonIdempotentHost + "\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("b", 299_999),
	"POST /crowd HTTP/1.1\r\nHost: " + nonIdempotentHost + "\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3e8\r\n"+strings.Repeat("c", 1000)+"\r\n", 700) + "3",
	"POST /crowd HTTP/1.1\r\nHost: " + idempotentHost + "\r\n" + strings.Repeat("a:\r\n", 2000) + "Content-Length: 2\r\n\r\n1",
	strings.Repeat("GET /crowd HTTP/1.1\r\nHost: none.example\r\n\r\n", 300),
}

// runCrowd opens the connections of one kind of crowd to a gateway and closes them after the
// given time.
func (g *gatewayProcess) runCrowd(kind int, duration time.Duration) {
	end := time.Now().Add(duration)
	var open []net.Conn
	for range crowdSize {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:8080", g.ip), time.Second)
		if err != nil {
			break
		}
		_ = c.SetDeadline(end)
		go func() { _, _ = io.WriteString(c, crowds[kind]) }()
		open = append(open, c)
	}
	time.Sleep(time.Until(end))
	for _, c := range open {
		_ = c.Close()
	}
}
