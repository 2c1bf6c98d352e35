package replica

import (
	"context"
	"fmt"
	"time"
)

// TimeoutError reports a call to the store whose response, or the next part of it, did not
// arrive in time.
type TimeoutError struct {
	// Waited is the time since the call or since the latest part of its response.
	Waited time.Duration
	// Started is set if a part of the response had arrived.
	Started bool
}

func (e *TimeoutError) Error() string {
	if e.Started {
		return fmt.Sprintf("the store's response stalled for %v", e.Waited)
	}
	return fmt.Sprintf("no response from the store for %v", e.Waited)
}

// call is one call to the store. Its time limits are those of a transfer that goes on, so
// that a large response over a slow link isn't given up while it arrives.
type call struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// release is called at the end of the call.
	release context.CancelFunc
	timer   *time.Timer
	// transferEnd is the time at which the transfer of the response is given up.
	transferEnd time.Time
	started     bool
}

// newCall starts a call whose response must begin within the timeout.
func newCall(ctx context.Context, release context.CancelFunc, timeout time.Duration) *call {
	c := &call{release: release}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	c.giveUpAfter(timeout)
	return c
}

// giveUpAfter cancels the call unless the next part of its response arrives within the timeout.
// It must be called by the goroutine that makes the call.
func (c *call) giveUpAfter(timeout time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
	}
	started := c.started
	c.timer = time.AfterFunc(timeout, func() { c.cancel(&TimeoutError{Waited: timeout, Started: started}) })
}

// progress extends the call after a part of its response has arrived. It must be called by
// the goroutine that makes the call.
func (c *call) progress() {
	if !c.timer.Stop() {
		return
	}
	if !c.started {
		c.started, c.transferEnd = true, time.Now().Add(transferTimeout)
	}
	c.giveUpAfter(min(responseTimeout, time.Until(c.transferEnd)))
}

// cause returns the error of the call: why it was cancelled, if it was, or err.
func (c *call) cause(err error) error {
	if err == nil || c.ctx.Err() == nil {
		return err
	}
	return context.Cause(c.ctx)
}

// end releases the call.
func (c *call) end() {
	c.timer.Stop()
	c.cancel(nil)
	c.release()
}

// supersededBytes returns the size of the versions in a batch that later ones of the same
// object replace.
func supersededBytes(batch Batch) (size int) {
	latest := make(map[string]int, len(batch.Objects))
	for _, o := range batch.Objects {
		size += latest[o.Name]
		latest[o.Name] = len(o.Value)
	}
	return size
}
