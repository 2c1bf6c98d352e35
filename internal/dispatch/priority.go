package dispatch

// priority returns the request's priority; 0 is the highest. That of the organisation goes
// before the rule's.
func (f *forwarder) priority() int {
	if f.organisation != nil && f.organisation.Priority != nil {
		return *f.organisation.Priority
	}
	return f.rule.Priority
}
