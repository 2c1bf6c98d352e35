package events

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// logLevels holds the kinds of events that are also logged, with their log levels:
// changes of state of the instance, its targets and its peers. Events of single requests
// are only in the timeline.
var logLevels = map[Kind]zapcore.Level{
	QuarantineAdded:  zap.WarnLevel,
	QuarantineLifted: zap.InfoLevel,
	TargetEjected:    zap.WarnLevel,
	TargetReadmitted: zap.InfoLevel,
	TargetDraining:   zap.InfoLevel,
	TargetAdded:      zap.InfoLevel,
	TargetRemoved:    zap.InfoLevel,
	RevisionAccepted: zap.InfoLevel,
	RevisionInForce:  zap.InfoLevel,
	RevisionStale:    zap.WarnLevel,
	ExceptionExpired: zap.InfoLevel,
	MemberJoined:     zap.InfoLevel,
	MemberLeaving:    zap.InfoLevel,
	MemberLeft:       zap.InfoLevel,
	MemberSuspected:  zap.WarnLevel,
	StoreDown:        zap.WarnLevel,
	StoreUp:          zap.InfoLevel,
	InstanceStarted:  zap.InfoLevel,
	InstanceDraining: zap.InfoLevel,
	InstanceStopped:  zap.InfoLevel,
	SettingsReloaded: zap.InfoLevel,
	PeerRefused:      zap.WarnLevel,
}

// LoggingRecorder is a Recorder that forwards events to another Recorder and logs those
// of the kinds in logLevels. It is safe for concurrent use.
type LoggingRecorder struct {
	next Recorder
	log  *zap.Logger
}

// NewLoggingRecorder returns a LoggingRecorder that forwards events to next and logs to
// log.
func NewLoggingRecorder(next Recorder, log *zap.Logger) *LoggingRecorder {
	return &LoggingRecorder{next: next, log: log}
}

// Record implements Recorder.
func (l *LoggingRecorder) Record(e Event) {
	l.next.Record(e)
	level, ok := logLevels[e.Kind]
	if !ok {
		return
	}
	if entry := l.log.Check(level, string(e.Kind)); entry != nil {
		entry.Write(e.fields()...)
	}
}

// fields returns the fields of the log line for an event. Their names are stable and the
// same as in the JSON encoding of the event.
func (e *Event) fields() []zap.Field {
	var out []zap.Field
	text := func(name, value string) {
		if value != "" {
			out = append(out, zap.String(name, value))
		}
	}
	text("request", string(e.Request))
	text("service", string(e.Service))
	text("target", string(e.Target))
	text("member", string(e.Member))
	if e.Revision != 0 {
		out = append(out, zap.Uint64("revision", uint64(e.Revision)))
	}
	text("detail", e.Detail)
	return out
}
