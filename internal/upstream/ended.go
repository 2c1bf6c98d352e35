package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// endedTimeout bounds the check whether a target has ended. A connection to another region
// takes 24 ms.
const endedTimeout = 100 * time.Millisecond

// HasEnded reports whether the process of a target has ended, which a refused connection
// shows. A target that accepts the connection or doesn't respond has not ended as far as
// this instance knows. The check doesn't end with ctx.
func (c *Client) HasEnded(ctx context.Context, e *routing.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endedTimeout)
	defer cancel()
	cn, err := c.open(ctx, e.Target.Addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.pools.get(c, e.Target.Addr).put(cn)
	return false
}
