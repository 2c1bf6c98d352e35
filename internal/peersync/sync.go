// Package peersync lets gateways learn routes and targets from each other.
//
// While the store is unavailable, a gateway without it polls the seeds in random order,
// merges state that is newer and offers its own where that is newer, so that one gateway
// with state is enough for all that start during the outage (Syncer).
//
// While the store is available, the seeds relay its changes, so that the other gateways
// need not watch it (RelayServer, RelayClient).
//
// What the gateways must know or keep together and the store doesn't tell goes through the
// seeds at all times: marks of requests under which targets ended (MarkExchange), and
// permits for requests to targets that state a limit (Permits, PermitServer).
package peersync

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/wait"
)

const (
	// startupDelay gives the store time to respond before a gateway that starts asks
	// its peers: without state of its own it would receive the complete list.
	startupDelay = 150 * time.Millisecond
	// initialInterval is the time between two exchanges of a gateway that isn't ready.
	// Rejected callers retry within a second.
	initialInterval = 400 * time.Millisecond
	// steadyInterval is the time between two exchanges of a ready gateway without the
	// store. Its state may be as old as one watch, 1.6 s.
	steadyInterval = 1500 * time.Millisecond
	// exchangeTimeout bounds one exchange. A handshake and a call across regions take
	// about 75 ms.
	exchangeTimeout = 500 * time.Millisecond
)

// Transport sends requests to peers; *peer.Transport implements it.
type Transport interface {
	CallAddr(ctx context.Context, addr string, op peer.Op, body, response any) (model.InstanceID, error)
}

// Syncer exchanges state with the seeds while the store is unavailable. Run must be
// called once; the other methods are safe for concurrent use.
type Syncer struct {
	Replica *replica.Replica
	// NeedsPeers reports whether the store is unavailable.
	NeedsPeers func() bool
	// OnMerge is called after state of a peer was merged.
	OnMerge   func()
	Transport Transport
	Seeds     *Seeds
	Log       *zap.Logger

	names nameComparison
}

// HandleFetchState handles peer.OpFetchState: it returns what the requester lacks.
func (s *Syncer) HandleFetchState(_ model.InstanceID, body []byte) (any, error) {
	var requester replica.Versions
	if err := peer.Decode(body, &requester); err != nil {
		return nil, err
	}
	delta := s.Replica.DeltaFor(requester)
	delta.PackFor(requester)
	return delta, nil
}

// HandlePushState handles peer.OpPushState: it merges the pushed state, unless this
// instance can read newer state from the store, and returns the versions held.
func (s *Syncer) HandlePushState(from model.InstanceID, body []byte) (any, error) {
	var delta replica.Delta
	if err := peer.Decode(body, &delta); err != nil {
		return nil, err
	}
	if s.NeedsPeers() {
		s.merge(from, delta)
	}
	return s.Replica.Versions(), nil
}

// Run exchanges state with the seeds until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	wait.For(ctx, startupDelay)
	for ctx.Err() == nil {
		if seeds := s.Seeds.Current().Others(); len(seeds) > 0 && s.NeedsPeers() {
			s.exchange(ctx, seeds[rand.IntN(len(seeds))])
		}
		interval := s.interval()
		wait.For(ctx, interval*3/4+rand.N(interval/2))
	}
}

// interval returns the mean time between two exchanges.
func (s *Syncer) interval() time.Duration {
	if local := s.Replica.Versions(); local.AsOf == 0 || local.Routes == 0 {
		return initialInterval
	}
	return steadyInterval
}

// exchange fetches the state of a seed and pushes what the seed lacks.
func (s *Syncer) exchange(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var remote replica.Delta
	from, err := s.Transport.CallAddr(ctx, seed, peer.OpFetchState, s.names.ownVersions(s.Replica), &remote)
	if err != nil {
		s.Log.Info("peer not reached", zap.String("address", seed), zap.Error(err))
		return
	}
	s.merge(from, remote)
	s.names.compare(s.Replica, remote.Versions)
	delta := s.Replica.DeltaFor(remote.Versions)
	if !delta.HasState() {
		return
	}
	delta.PackFor(remote.Versions)
	var after replica.Versions
	if _, err := s.Transport.CallAddr(ctx, seed, peer.OpPushState, delta, &after); err != nil {
		s.Log.Info("peer did not accept the offered state", zap.String("peer", string(from)), zap.Error(err))
	}
}

// merge merges the state of a peer, if there is any.
func (s *Syncer) merge(from model.InstanceID, state replica.Delta) {
	if own := s.Replica.Versions(); !state.HasState() && state.Versions.AsOf <= own.AsOf && state.Versions.Evacuations.AsOf <= own.Evacuations.AsOf {
		return
	}
	s.Replica.Merge(state)
	s.Log.Info("learnt from peer", zap.String("peer", string(from)), zap.Uint64("routes", uint64(state.Versions.Routes)),
		state.Versions.AsOf.Field("as_of"), zap.Int("targets", len(state.Entries())))
	s.OnMerge()
}
