package dispatch

import (
	"context"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// TestRequestOfAGoneCallerIsNotSent guards against requests that wait for a target with room and are
// sent after their caller has closed its connection, which nobody expects any more.
func TestRequestOfAGoneCallerIsNotSent(t *testing.T) {
	for _, class := range []model.Class{model.Idempotent, model.NonIdempotent, model.Upload} {
		t.Run(class.String(), func(t *testing.T) {
			f := newFixture(t, class, succeeds)
			picker := &fillingPicker{f.picker, 1}
			f.Picker = picker
			ctx, leave := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, leave)
			startedAt := time.Now()
			response := f.send(ctx, "/a/", "x")
			if took := time.Since(startedAt); response != nil || took > time.Second || f.deliveries() != "0" {
				t.Errorf("response %v after %v, deliveries %s", response, took, f.deliveries())
			}
		})
	}
}

// TestRequestOfACallerThatSendsNoMoreIsSent guards against a request that may run once at most and is
// dropped since its caller closed its side of the connection behind it.
func TestRequestOfACallerThatSendsNoMoreIsSent(t *testing.T) {
	f := newFixture(t, model.NonIdempotent, succeeds)
	ctx, leave := context.WithCancel(context.Background())
	leave()
	if f.send(ctx, "/a/", "x"); f.deliveries() != "1" {
		t.Errorf("deliveries %s", f.deliveries())
	}
}
