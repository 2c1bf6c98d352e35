package httpserver

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

// TestStatusOfConnections checks that the states in which a connection may be open at the end of a
// shutdown are told apart.
func TestStatusOfConnections(t *testing.T) {
	release, body := make(chan struct{}), make(chan struct{})
	s, c := startServer(t, route.Limits{}, func(_ context.Context, r *Request) *Response {
		if r.Path == "/streamed" {
			return &Response{Status: http.StatusOK, Remainder: &blockedBody{until: body}, ContentLength: -1}
		}
		<-release
		return plainResponse(http.StatusOK, r.Path)
	})
	expect := func(want ConnState, path string) {
		t.Helper()
		var got []ConnStatus
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			got = s.Connections()
			if len(got) == 1 && got[0].State == want && (got[0].Request == nil) == (path == "") && (path == "" || got[0].Request.Path == path) {
				return
			}
		}
		t.Fatalf("connections %+v, want one in state %s with request %q", got, want, path)
	}
	responses := bufio.NewReader(c)
	expect(StateIdle, "")
	send(t, c, "GET /1 HTTP/1.1\r\n")
	expect(StateHead, "")
	send(t, c, "Host: h\r\n\r\n")
	expect(StateHandler, "/1")
	close(release)
	receive(t, responses)
	expect(StateIdle, "")
	send(t, c, get("/streamed"))
	expect(StateStreaming, "/streamed")
	close(body)
	receive(t, responses)
	send(t, c, "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	receive(t, responses)
	expect(StateClosing, "")
}

// blockedBody is a body that ends once a channel is closed.
type blockedBody struct{ until <-chan struct{} }

func (b *blockedBody) Read([]byte) (int, error) {
	<-b.until
	return 0, io.EOF
}

func (*blockedBody) Close() error { return nil }
