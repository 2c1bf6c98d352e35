package dispatch

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// fields returns the fields of a log line about a request.
func (j *job) fields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{
		zap.String("request", j.id),
		zap.String("rule", j.rule.Name),
		zap.String("service", string(j.service.Name)),
		zap.Uint64("revision", uint64(j.revision)),
		zap.Int("arrivals", j.arrivals),
	}, more...)
}

// pickedFields writes a candidate with the figures that decided.
type pickedFields routing.Candidate

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c pickedFields) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("id", string(c.Endpoint.Target.ID))
	o.AddString("domain", string(c.Endpoint.Target.Location.FailureDomain))
	if c.Err != nil {
		o.AddString("silent", c.Err.Error())
	} else {
		o.AddInt("running", c.Report.Running)
		o.AddInt("waiting", c.Report.Waiting)
		o.AddInt("pace", c.Report.Pace)
		o.AddBool("healthy", c.Report.Healthy)
	}
	o.AddFloat64("risk", c.Risk)
	o.AddDuration("expected", c.Estimate.Duration)
	o.AddDuration("cost", c.Estimate.Cost)
	return nil
}
