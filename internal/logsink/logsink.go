// Package logsink provides a log output that never blocks the writers of log lines: lines
// are buffered and written in the background. If the output is too slow, or if there are
// too many routine lines, lines are dropped and counted.
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
	// bufferedLines is the capacity of the buffer in lines.
	bufferedLines = 2048
	// flushTimeout bounds the time that Close waits for the output.
	flushTimeout = 200 * time.Millisecond
	// linesPerSecond is the maximum rate of lines below warning level. A gateway writes
	// three to five of them per request.
	linesPerSecond = 500
	// burstLines is the number of lines below warning level that may be written at once
	// after a pause.
	burstLines = 2000
)

// Sink is a zapcore.WriteSyncer whose Write never blocks. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	// closing is closed by Close.
	closing chan struct{}
	// done is closed when the background goroutine has returned.
	done chan struct{}
	once sync.Once
}

// New returns a sink that writes to out from a background goroutine until Close.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Logger returns a logger that writes JSON lines of at least the given level to the sink.
// Its lines below warning level are rate-limited.
func (s *Sink) Logger(level zapcore.LevelEnabler) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), s, level)
	return zap.New(&rateLimitedCore{Core: core, sink: s, limiter: rate.NewLimiter(linesPerSecond, burstLines)})
}

// rateLimitedCore is a zapcore.Core that drops and counts lines below warning level that
// exceed a rate limit. Derived cores share the limit.
type rateLimitedCore struct {
	zapcore.Core
	sink    *Sink
	limiter *rate.Limiter
}

// With implements zapcore.Core.
func (c *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{Core: c.Core.With(fields), sink: c.sink, limiter: c.limiter}
}

// Check implements zapcore.Core.
func (c *rateLimitedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Level < zapcore.WarnLevel && !c.limiter.Allow() {
		c.sink.dropped.Add(1)
		return checked
	}
	return c.Core.Check(e, checked)
}

// maxStdLogMessage is the length in bytes of a message of the standard library's logger.
const maxStdLogMessage = 256

// RedirectStdLog makes the standard library's logger write to log, and returns a function that
// undoes it. Its messages are cut, since they may quote what peers send.
func RedirectStdLog(log *zap.Logger) (undo func()) {
	return zap.RedirectStdLog(log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return shortMessages{c} })))
}

// shortMessages is a zapcore.Core that cuts messages to maxStdLogMessage.
type shortMessages struct{ zapcore.Core }

// Check implements zapcore.Core.
func (c shortMessages) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	e.Message = e.Message[:min(len(e.Message), maxStdLogMessage)]
	return c.Core.Check(e, checked)
}

// Write implements io.Writer. It buffers a copy of the line, or drops the line if the
// buffer is full. The error is always nil.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the buffered lines and stops the background goroutine. If the output takes
// longer than flushTimeout, Close returns earlier. It may be called more than once; lines
// written afterwards are lost.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.closing) })
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

// run writes lines to the output until Close is called.
func (s *Sink) run(out io.Writer) {
	defer close(s.done)
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

// flush writes the buffered lines.
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

// write writes a line. A failed write is only counted as a dropped line, because there is
// nowhere to report it.
func (s *Sink) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}
