package upstream

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// TestOnlySignedResponsesWithdrawStatements checks that a limit holds until the target
// responds to a request without it, and that an unsigned response, as to a probe, may state
// one too.
func TestOnlySignedResponsesWithdrawStatements(t *testing.T) {
	limits := []string{"", "Limit: 2\r\n", "", "Limit: 3\r\n", ""}
	target := newRawTarget(t, func(c net.Conn, _, request int) bool {
		signature := "Signed: 1\r\n"
		if request == 3 || request == 4 {
			signature = ""
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: r\r\n%s%sContent-Length: 0\r\n\r\n", signature, limits[request-1])
		return err == nil
	})
	client := NewClientWithProtocol(&Protocol{
		RequestID: "Id",
		Signature: "Signed",
		NotRun:    func(int, http.Header) bool { return false },
		ParseStatement: func(_ int, h http.Header) (s routing.Statement) {
			_, err := fmt.Sscan(h.Get("Limit"), &s.LimitPerSecond)
			s.Limited = err == nil
			return s
		},
	})
	var reported []float64
	client.OnStatement = func(_ *routing.Endpoint, _, now routing.Statement) { reported = append(reported, now.LimitPerSecond) }
	for n, probe := range []bool{false, false, true, true, false} {
		call := Call{Endpoint: target.endpoint, Method: http.MethodGet, Path: "/", Header: http.Header{}, MaxIdle: maxProbeIdle, KeepAlive: true}
		if !probe {
			call.Header.Set("Id", "r")
		}
		response, err := client.Do(t.Context(), call)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := response.Body.Read(make([]byte, 1)); err == nil {
			t.Fatal("unexpected body")
		}
		want := []float64{0, 2, 2, 3, 0}[n]
		if got, _ := target.endpoint.Load.Statement(); got.LimitPerSecond != want || got.Limited != (want > 0) {
			t.Errorf("call %d: %+v, want limit %v", n, got, want)
		}
	}
	if !slices.Equal(reported, []float64{2, 3, 0}) {
		t.Errorf("reported changes %v", reported)
	}
}
