package contain

import "testing"

// TestPanicIsReported guards against a panic that ends the process, or is caught in silence.
func TestPanicIsReported(t *testing.T) {
	var reports []Report
	SetReporter(func(r Report) { reports = append(reports, r) })
	after := false
	func() {
		defer Panic("place", "subject", func() { after = true })
		panic("cause")
	}()
	func() { defer Panic("calm", "", nil) }()
	if len(reports) != 1 || reports[0].Place != "place" || reports[0].Subject != "subject" || reports[0].Cause != "cause" || len(reports[0].Stack) == 0 || !after {
		t.Errorf("reports %+v, called after: %t", reports, after)
	}
}
