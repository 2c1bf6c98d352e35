package dispatch

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// logFields returns the fields of a log line about the request, followed by additional
// ones.
func (f *forwarder) logFields(additional ...zap.Field) []zap.Field {
	fields := make([]zap.Field, 0, 7+len(additional))
	fields = append(fields,
		zap.String("request", f.requestID),
		zap.String("rule", f.rule.Name),
		zap.String("service", string(f.service.Name)),
		zap.Uint64("revision", uint64(f.revision)),
		zap.Int("arrivals", f.deliveries))
	if f.organisation != nil {
		fields = append(fields, zap.String("organisation", string(f.organisation.Name)), zap.Int("priority", f.priority()))
	}
	return append(fields, additional...)
}

// candidateFields logs a candidate with the values on which its rank is based.
type candidateFields routing.Candidate

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c candidateFields) MarshalLogObject(o zapcore.ObjectEncoder) error {
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
	if c.ColdPermit != nil {
		o.AddBool("cold_permitted", true)
	}
	o.AddDuration("expected", c.Estimate.Duration)
	o.AddDuration("cost", c.Estimate.Cost)
	return nil
}
