package peer

import (
	"bytes"
	"context"
	"net"
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// locateBytes is the size of a question for the location and of its answer. They have the
	// same size, so that a forged sender address gains nothing.
	locateBytes = 96
	// locateRetry is the time after which a question is repeated: datagrams may be lost.
	locateRetry = 40 * time.Millisecond
)

// The first bytes of the datagrams. QUIC packets begin with a byte of 0x40 or above.
var (
	locateQuestion = []byte{0x01, 'r', 'w', 'p', 'L', '?'}
	locateAnswer   = []byte{0x01, 'r', 'w', 'p', 'L', '!'}
)

// Locate asks the instance at an address where it runs, by a datagram without a connection. It
// reports false if there is no answer before ctx ends. The answer is not authenticated: it
// may only decide whom to ask first.
func (t *Transport) Locate(ctx context.Context, addr string) (model.Location, bool) {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return model.Location{}, false
	}
	answer := make(chan model.Location, 1)
	t.setLocating(remote.String(), answer, true)
	defer t.setLocating(remote.String(), answer, false)
	for {
		// A datagram that can't be sent is as good as lost.
		_, _ = t.quic.WriteTo(padLocate(locateQuestion), remote)
		select {
		case at := <-answer:
			return at, true
		case <-time.After(locateRetry):
		case <-ctx.Done():
			return model.Location{}, false
		}
	}
}

// setLocating adds or removes a call that waits for an answer from an address.
func (t *Transport) setLocating(addr string, answer chan model.Location, waits bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := slices.DeleteFunc(t.locating[addr], func(c chan model.Location) bool { return c == answer })
	if waits {
		others = append(others, answer)
	}
	t.locating[addr] = others
}

func padLocate(message []byte) []byte {
	return append(bytes.Clone(message), make([]byte, max(locateBytes-len(message), 0))...)
}

// answerLocate answers questions for the location and passes on answers until the transport
// stops.
func (t *Transport) answerLocate() {
	defer t.goroutines.Done()
	own := bytes.Clone(locateAnswer)
	if raw, err := Encode(t.options.Location); err == nil {
		own = append(own, raw...)
	}
	buffer := make([]byte, locateBytes)
	for {
		n, from, err := t.quic.ReadNonQUICPacket(t.ctx, buffer)
		if err != nil {
			return
		}
		message := buffer[:n]
		switch {
		case n != locateBytes:
		case bytes.HasPrefix(message, locateQuestion) && len(own) <= locateBytes:
			_, _ = t.quic.WriteTo(padLocate(own), from)
		case bytes.HasPrefix(message, locateAnswer):
			t.deliverLocation(from.String(), message[len(locateAnswer):])
		}
	}
}

// deliverLocation passes a location to the calls of Locate that wait for it.
func (t *Transport) deliverLocation(from string, raw []byte) {
	var at model.Location
	if DecodeFirst(raw, &at) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, answer := range t.locating[from] {
		answer <- at
	}
	delete(t.locating, from)
}
