package logsink

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// stuck is an output that blocks until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestABlockedOutputLosesLinesAndNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	s := New(out)
	log := s.Logger(zap.InfoLevel)
	for range 2 * bufferedLines {
		log.Info("decision")
	}
	if s.Dropped() < bufferedLines-1 {
		t.Errorf("%d lines dropped, want at least %d", s.Dropped(), bufferedLines-1)
	}
	close(out.release)
	s.Close()
	<-s.ended
	written := strings.Count(out.String(), "\n")
	if uint64(written)+s.Dropped() != 2*bufferedLines {
		t.Errorf("%d written and %d dropped of %d lines", written, s.Dropped(), 2*bufferedLines)
	}
}
