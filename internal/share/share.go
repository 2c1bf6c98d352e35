// Package share lets gateways that have lost the store learn routes and targets from
// each other. Whoever lacks the store asks the seeds in turn, takes over what is
// newer there and hands over what is newer here; so one gateway that still knows is
// enough for all that start meanwhile. While cheap answers of the store may be seconds
// behind, the seeds alone pay for the newest ones and the others learn from them. At
// all other times nothing is sent.
package share

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/catalog"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/wait"
)

const (
	// startDelay is how long a gateway that starts asks the store alone. What peers
	// tell is a whole list then, so that they are asked only once a call has failed.
	startDelay = 150 * time.Millisecond
	// hungryPause is the time between two exchanges of a gateway that can't serve yet:
	// callers that it turned away come back within a second. calmPause is that of
	// one that has lost the store; what it knows may be as old as a watch, 1.6 s.
	hungryPause = 400 * time.Millisecond
	calmPause   = 1500 * time.Millisecond
	// bytesPerSecond bounds what an exchange costs a gateway that can serve: half of
	// the 2 KB a second that control may send. Above 375 targets the pause grows.
	bytesPerSecond = 1000
	// callTimeout bounds one exchange; a handshake and a call between regions take
	// some 75 ms.
	callTimeout = 500 * time.Millisecond
)

// Caller sends requests to peers; *peer.Transport implements it.
type Caller interface {
	CallAddr(ctx context.Context, addr string, op peer.Op, body, answer any) (model.InstanceID, error)
}

// Sharer exchanges what it knows with the seeds while it lacks the store. One
// goroutine runs it; its routes may be called from several.
type Sharer struct {
	Known *catalog.Known
	// Lacking reports whether the store is away, or cheap answers may be behind.
	Lacking func() bool
	// Adopted is called after something was taken over.
	Adopted func()
	Caller  Caller
	// Seeds are peer addresses, without the own one.
	Seeds []string
	Log   *zap.Logger

	// assured is when a peer last told that it accepts only the newest answers, by the
	// steady clock; nil if none has.
	assured atomic.Pointer[time.Time]
}

// relayLife is how long the word of an assured peer counts: two exchanges.
const relayLife = 2 * calmPause

// Relayed reports whether an assured peer tells this instance the news.
func (s *Sharer) Relayed() bool {
	at := s.assured.Load()
	return at != nil && time.Since(*at) < relayLife && s.CanRelay()
}

// CanRelay reports whether exchanges come often enough to replace newest answers. Of
// long lists they don't.
func (s *Sharer) CanRelay() bool { return s.pause() <= calmPause }

// Serve answers peer.OpFetchState.
func (s *Sharer) Serve(_ model.InstanceID, body []byte) (any, error) {
	var asker catalog.Versions
	if err := peer.Decode(body, &asker); err != nil {
		return nil, err
	}
	return s.Known.Beyond(asker), nil
}

// Take answers peer.OpPushState. While the store answers, it knows better.
func (s *Sharer) Take(from model.InstanceID, body []byte) (any, error) {
	var offer catalog.State
	if err := peer.Decode(body, &offer); err != nil {
		return nil, err
	}
	if s.Lacking() {
		s.adopt(from, offer)
	}
	return s.Known.Versions(), nil
}

// Run exchanges states until its context ends.
func (s *Sharer) Run(ctx context.Context) {
	wait.For(ctx, startDelay)
	for ctx.Err() == nil {
		if len(s.Seeds) > 0 && s.Lacking() {
			s.exchange(ctx, s.Seeds[rand.IntN(len(s.Seeds))])
		}
		pause := s.pause()
		wait.For(ctx, pause*3/4+rand.N(pause/2))
	}
}

func (s *Sharer) pause() time.Duration {
	if own := s.Known.Versions(); own.AsOf == 0 || own.Routes == 0 {
		return hungryPause
	}
	return max(calmPause, time.Duration(s.Known.Targets.MarkBytes())*time.Second/bytesPerSecond)
}

// exchange asks one seed, and offers what the seed lacks.
func (s *Sharer) exchange(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var theirs catalog.State
	from, err := s.Caller.CallAddr(ctx, seed, peer.OpFetchState, s.Known.Versions(), &theirs)
	if err != nil {
		s.Log.Info("peer not reached", zap.String("address", seed), zap.Error(err))
		return
	}
	if theirs.Versions.Assured {
		now := time.Now()
		s.assured.Store(&now)
	}
	s.adopt(from, theirs)
	offer := s.Known.Beyond(theirs.Versions)
	if offer.Routes == nil && offer.Present == nil {
		return
	}
	var after catalog.Versions
	if _, err := s.Caller.CallAddr(ctx, seed, peer.OpPushState, offer, &after); err != nil {
		s.Log.Info("offer not taken", zap.String("peer", string(from)), zap.Error(err))
	}
}

// adopt takes over what a peer has told.
func (s *Sharer) adopt(from model.InstanceID, state catalog.State) {
	if state.Routes == nil && state.Present == nil {
		return
	}
	s.Known.Adopt(state)
	s.Log.Info("learnt from peer", zap.String("peer", string(from)), zap.Uint64("routes", uint64(state.Versions.Routes)),
		zap.Uint64("as_of", state.Versions.AsOf), zap.Int("targets", len(state.Targets)))
	s.Adopted()
}
