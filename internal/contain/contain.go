// Package contain keeps a panic in a request's path from ending the process, and with it all
// other requests.
package contain

import (
	"runtime/debug"
	"sync/atomic"
)

// Report describes a panic that was caught.
type Report struct {
	// Place names the code that panicked, Subject what it worked on, such as a request ID.
	Place, Subject string
	Cause          any
	Stack          []byte
}

// reporter is called for each panic that was caught.
var reporter atomic.Pointer[func(Report)]

// SetReporter sets the function that is called for each panic that was caught. It is called
// concurrently.
func SetReporter(f func(Report)) { reporter.Store(&f) }

// Panic, when deferred, catches a panic of the surrounding function, reports it and calls then,
// which may be nil.
func Panic(place, subject string, then func()) {
	cause := recover()
	if cause == nil {
		return
	}
	if f := reporter.Load(); f != nil {
		(*f)(Report{Place: place, Subject: subject, Cause: cause, Stack: debug.Stack()})
	}
	if then != nil {
		then()
	}
}
