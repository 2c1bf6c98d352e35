package events

import (
	"bytes"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func TestLogsStateChangesWithStableFields(t *testing.T) {
	var out bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg", LevelKey: "level", EncodeLevel: zapcore.LowercaseLevelEncoder})
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&out), zap.InfoLevel))
	ring := NewRing("a", NewClock(time.Now), 8)
	recorder := NewLoggingRecorder(ring, log)
	recorder.Record(Event{Kind: TargetPicked, Request: "r1", Service: "nahled", Target: "t1"})
	recorder.Record(Event{Kind: TargetEjected, Service: "nahled", Target: "t1", Detail: "5 of 5 failed"})
	recorder.Record(Event{Kind: RevisionInForce, Revision: 7})
	const want = `{"level":"warn","msg":"target-ejected","service":"nahled","target":"t1","detail":"5 of 5 failed"}
{"level":"info","msg":"revision-in-force","revision":7}
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
	if recorded := len(ring.Snapshot()); recorded != 3 {
		t.Errorf("ring has %d of 3 events", recorded)
	}
}
