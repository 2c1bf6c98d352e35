package peersync

import (
	"context"
	"time"

	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/wait"
)

// TargetsRelay returns the replica.Relay of the follower of the targets.
func (c *RelayClient) TargetsRelay() replica.Relay { return &relayWaiter{client: c} }

// EvacuationsRelay returns the replica.Relay of the follower of the evacuations.
func (c *RelayClient) EvacuationsRelay() replica.Relay {
	return &relayWaiter{client: c, evacuations: true}
}

// RoutesRelay returns the replica.Relay of the follower of the routes, which are behind if
// the relay has newer ones.
func (c *RelayClient) RoutesRelay() replica.Relay { return &relayWaiter{client: c, routes: true} }

// relayWaiter implements replica.Relay for one follower.
type relayWaiter struct {
	client *RelayClient
	// routes or evacuations is set if the follower is not that of the targets.
	routes, evacuations bool
}

// AwaitStart implements replica.Relay.
func (w *relayWaiter) AwaitStart(ctx context.Context, mayDemand bool) replica.StartState {
	if w.evacuations {
		if w.AwaitReturn(ctx) {
			return replica.StartRelayed
		}
		return replica.StartUnaided
	}
	var demanded <-chan struct{}
	if mayDemand {
		demanded = w.client.Demanded
	}
	startedAt := time.Now()
	for ctx.Err() == nil && len(w.client.relays()) > 0 {
		if w.client.hasListed() {
			return replica.StartRelayed
		}
		if up := time.Since(startedAt); up >= maxStartWait || (up >= startWait && !w.client.isNearStarting()) {
			return replica.StartUnaided
		}
		select {
		case <-demanded:
			return replica.StartDemanded
		case <-time.After(startPollInterval):
		}
	}
	return replica.StartUnaided
}

// AwaitReturn implements replica.Relay.
func (w *relayWaiter) AwaitReturn(ctx context.Context) bool {
	tolerance := lossTolerance
	if w.evacuations {
		tolerance = startTolerance
	}
	ctx, cancel := context.WithTimeout(ctx, tolerance)
	defer cancel()
	for ctx.Err() == nil && len(w.client.relays()) > 0 {
		if w.isRelayed() {
			return true
		}
		wait.For(ctx, searchInterval)
	}
	return false
}

// isRelayed reports whether a relay answers that knows what the follower is for.
func (w *relayWaiter) isRelayed() bool {
	c := w.client
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current && (!w.evacuations || c.relaysEvacuations())
}

// StrongReadFinished implements replica.Relay.
func (w *relayWaiter) StrongReadFinished() {
	w.client.mu.Lock()
	defer w.client.mu.Unlock()
	if w.routes {
		w.client.absentRoutes = w.client.soughtRoutes
	}
}

// Await implements replica.Relay.
func (w *relayWaiter) Await(ctx context.Context) replica.RelayState {
	var state replica.RelayState
	for {
		ended := w.check(&state)
		if ended == nil {
			return state
		}
		select {
		case <-ended:
		case <-w.untilUnconfirmed():
		case <-ctx.Done():
			return state
		}
	}
}

// untilUnconfirmed returns a channel that receives when the confirmation of the routes is too
// old, or nil if its age doesn't matter.
func (w *relayWaiter) untilUnconfirmed() <-chan time.Time {
	if !w.routes || w.client.MaxConfirmationAge == 0 {
		return nil
	}
	return time.After(w.client.MaxConfirmationAge - w.client.Replica.Routes.Holder.Confirmed().Age())
}

// isUnconfirmed reports whether the store must be read because the confirmation of the routes
// is too old.
func (w *relayWaiter) isUnconfirmed() bool {
	limit := w.client.MaxConfirmationAge
	return w.routes && limit > 0 && w.client.Replica.Routes.Holder.Confirmed().Age() >= limit
}

// check updates the state and returns the channel to wait for, or nil if the follower must
// go to the store.
func (w *relayWaiter) check(state *replica.RelayState) <-chan struct{} {
	c := w.client
	own := c.Replica.Versions()
	c.mu.Lock()
	defer c.mu.Unlock()
	state.AsOf = own.AsOf
	if w.routes {
		state.AsOf = c.routesAsOf
	}
	if w.evacuations {
		state.AsOf = own.Evacuations.AsOf
	}
	if !c.current || (w.evacuations && !c.relaysEvacuations()) {
		return nil
	}
	state.Relayed = true
	if w.routes && c.isBehind(own) {
		state.Behind = c.soughtRoutes != c.latest.Routes
		c.soughtRoutes = c.latest.Routes
		return nil
	}
	if w.isUnconfirmed() {
		return nil
	}
	if c.ended == nil {
		c.ended = make(chan struct{})
	}
	return c.ended
}
