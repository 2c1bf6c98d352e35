package logsink

import (
	"bytes"
	"encoding/json"
	"log"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// blockingWriter is an output that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	s := New(out)
	log := s.Logger(zap.InfoLevel)
	for range 2 * bufferedLines {
		log.Warn("decision")
	}
	if s.Dropped() < bufferedLines-1 {
		t.Errorf("%d lines dropped, want at least %d", s.Dropped(), bufferedLines-1)
	}
	close(out.release)
	s.Close()
	<-s.done
	written := strings.Count(out.String(), "\n")
	if uint64(written)+s.Dropped() != 2*bufferedLines {
		t.Errorf("%d written and %d dropped of %d lines", written, s.Dropped(), 2*bufferedLines)
	}
}

func TestRateLimitsLinesBelowWarning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(bytes.Buffer)
		s := New(out)
		log := s.Logger(zap.InfoLevel).With(zap.String("instance", "a"))
		const seconds, rate = 4, 5000
		for i := range seconds * rate {
			log.Info("routine")
			if i%rate == 0 {
				log.Warn("warning")
			}
			time.Sleep(time.Second / rate)
		}
		s.Close()
		written := strings.Count(out.String(), "routine")
		if limit := seconds*linesPerSecond + burstLines; written > limit+1 || written < limit-10 {
			t.Errorf("%d routine lines in %d s, want %d", written, seconds, limit)
		}
		if warnings := strings.Count(out.String(), "warning"); warnings != seconds {
			t.Errorf("%d of %d warnings were written", warnings, seconds)
		}
		if s.Dropped() != uint64(seconds*rate-written) {
			t.Errorf("%d lines counted as dropped, want %d", s.Dropped(), seconds*rate-written)
		}
	})
}

// TestStdLogIsStructuredAndCut guards against messages of net/http that quote what a peer has
// sent.
func TestStdLogIsStructuredAndCut(t *testing.T) {
	out := new(bytes.Buffer)
	s := New(out)
	undo := RedirectStdLog(s.Logger(zap.InfoLevel))
	log.Printf("starting with %q", strings.Repeat("\x00\n", 5000))
	log.Printf("short")
	undo()
	s.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || len(lines[0]) > 2*maxStdLogMessage || !json.Valid([]byte(lines[0])) || !strings.Contains(lines[1], `"short"`) {
		t.Errorf("%d lines: %.600s", len(lines), out)
	}
}
