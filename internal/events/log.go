package events

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// noteworthy are the kinds that go into the log too, with their level. Kinds
// that single requests bring about are left to the time line.
var noteworthy = map[Kind]zapcore.Level{
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

// Logged is a Recorder that passes events on and logs the noteworthy ones.
type Logged struct {
	next Recorder
	log  *zap.Logger
}

// NewLogged returns a Recorder in front of next.
func NewLogged(next Recorder, log *zap.Logger) *Logged {
	return &Logged{next: next, log: log}
}

// Record implements Recorder.
func (l *Logged) Record(e Event) {
	l.next.Record(e)
	level, ok := noteworthy[e.Kind]
	if !ok {
		return
	}
	if entry := l.log.Check(level, string(e.Kind)); entry != nil {
		entry.Write(e.fields()...)
	}
}

// fields returns the fields of a log line. Their names are those of the event in
// JSON and are stable.
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
