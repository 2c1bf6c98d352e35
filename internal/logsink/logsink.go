// Package logsink writes log lines from a bounded buffer, so that nobody waits for
// an output that is slow or blocked. Lines that don't fit are dropped and counted.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// bufferedLines is the number of lines that may wait for the output.
	bufferedLines = 2048
	// flushTimeout bounds the wait for the output when the process ends.
	flushTimeout = 200 * time.Millisecond
	// linesPerSecond bounds the volume of routine lines, burstLines is what may be
	// written at once. A gateway writes three to five lines a request.
	linesPerSecond = 500
	burstLines     = 2000
)

// Sink is a zapcore.WriteSyncer that never blocks. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// New returns a sink in front of an output.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferedLines), closing: make(chan struct{}), ended: make(chan struct{})}
	go s.run(out)
	return s
}

// Logger returns a logger that writes JSON lines to the sink.
func (s *Sink) Logger(level zapcore.LevelEnabler) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), s, level)
	return zap.New(&bounded{Core: core, sink: s, budget: rate.NewLimiter(linesPerSecond, burstLines)})
}

// bounded is a core that drops routine lines beyond a budget. Warnings and errors
// are always written.
type bounded struct {
	zapcore.Core
	sink   *Sink
	budget *rate.Limiter
}

// With implements zapcore.Core.
func (b *bounded) With(fields []zapcore.Field) zapcore.Core {
	return &bounded{Core: b.Core.With(fields), sink: b.sink, budget: b.budget}
}

// Check implements zapcore.Core.
func (b *bounded) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Level < zapcore.WarnLevel && !b.budget.Allow() {
		b.sink.dropped.Add(1)
		return checked
	}
	return b.Core.Check(e, checked)
}

// Write implements io.Writer. It takes a copy of the line or drops it.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It doesn't wait.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits, unless the output takes it too slowly.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.closing) })
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-s.ended:
	case <-timer.C:
	}
}

func (s *Sink) run(out io.Writer) {
	defer close(s.ended)
	for {
		select {
		case line := <-s.lines:
			s.write(out, line)
		case <-s.closing:
			s.flush(out)
			return
		}
	}
}

func (s *Sink) flush(out io.Writer) {
	for {
		select {
		case line := <-s.lines:
			s.write(out, line)
		default:
			return
		}
	}
}

// write counts a line that the output refuses as dropped: there is no other place
// to report it.
func (s *Sink) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}
