package peer

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
)

// TestOneLongRequestIsReadAtOnce guards against a peer whose streams each hold a part of a long
// request: short ones pass beside it, a second long one waits.
func TestOneLongRequestIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{}, 1)
		read := func(size int, source io.Reader) <-chan int {
			done := make(chan int, 1)
			go func() {
				g := &gatedReader{source: source, gate: gate}
				defer g.release()
				n, _ := io.ReadFull(g, make([]byte, size))
				done <- n
			}()
			return done
		}
		rest, writer := io.Pipe()
		stalled := read(10_000, io.MultiReader(bytes.NewReader(make([]byte, 9000)), rest))
		synctest.Wait()
		if n := <-read(shortRequestBytes, bytes.NewReader(make([]byte, shortRequestBytes))); n != shortRequestBytes {
			t.Errorf("%d bytes of a short request", n)
		}
		source := bytes.NewReader(make([]byte, 10_000))
		waiting := read(10_000, source)
		synctest.Wait()
		if source.Len() != 10_000-shortRequestBytes {
			t.Errorf("%d bytes of a second long request are read", 10_000-source.Len())
		}
		_ = writer.Close()
		if n := <-stalled; n != 9000 {
			t.Errorf("%d bytes of the stalled request", n)
		}
		if n := <-waiting; n != 10_000 {
			t.Errorf("%d bytes of the second long request", n)
		}
	})
}
