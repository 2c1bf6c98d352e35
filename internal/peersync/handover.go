package peersync

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/clock"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/wait"
)

const (
	// takeoverSilence is how long a predecessor must not have responded until it counts as gone.
	// It is longer than the windows over which grants are counted.
	takeoverSilence = 6 * time.Second
	// seedStartWait is how long a seed of the own list that doesn't respond keeps an instance
	// that starts from granting.
	seedStartWait = 300 * time.Millisecond
	// takeoverInterval is the time between two questions to the predecessors, startInterval as
	// an instance starts.
	takeoverInterval = 400 * time.Millisecond
	startInterval    = 100 * time.Millisecond
	// noticeInterval is the time between two notices to instances that were passed over, and
	// yieldTime how long one holds: some may be lost.
	noticeInterval = 2 * time.Second
	yieldTime      = 5 * noticeInterval
	// standstill is the time without a run of Run after which others may have passed this
	// instance over. It is shorter than takeoverSilence.
	standstill = 3 * time.Second
	// resumeDelay is how long an instance grants nothing after it stood still, so that a notice
	// arrives before.
	resumeDelay = noticeInterval + exchangeTimeout
)

// tenureRequest is the request of peer.OpQueryTenure.
type tenureRequest struct {
	// PassedOver is set if the requester grants because the responder didn't respond.
	PassedOver bool `cbor:"1,keyasint,omitempty"`
}

// tenureResponse is the response of peer.OpQueryTenure: one of how many grantors the responder
// is, even if it grants nothing for a moment, or 0.
type tenureResponse struct {
	Shares int `cbor:"1,keyasint,omitempty"`
	// Known are the addresses of the seeds that the responder knows, and of earlier ones that
	// may still grant.
	Known []string `cbor:"2,keyasint,omitempty"`
}

// HandleQuery handles peer.OpQueryTenure. An instance that was passed over yields for yieldTime.
func (s *Seeds) HandleQuery(from model.InstanceID, body []byte) (any, error) {
	var req tenureRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.PassedOver {
		if time.Now().After(s.yieldsUntil) && s.tenure.Shares > 0 {
			s.log.Warn("another instance grants in place of this one", zap.String("peer", string(from)))
		}
		s.yieldsUntil = time.Now().Add(yieldTime)
	}
	return tenureResponse{Shares: s.tenure.Shares, Known: slices.Clone(s.known)}, nil
}

// Run takes over from the grantors of earlier lists and tells those that it passed over, until
// ctx ends.
func (s *Seeds) Run(ctx context.Context) {
	var noticedAt time.Time
	for ctx.Err() == nil {
		s.noteRun()
		s.askPredecessors(ctx)
		if time.Since(noticedAt) >= noticeInterval {
			noticedAt = time.Now()
			// A notice to an instance that is gone must not delay noteRun.
			go s.notifyPassedOver(ctx)
		}
		wait.For(ctx, s.interval())
	}
}

// interval returns the time until the next questions.
func (s *Seeds) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.starts {
		return startInterval
	}
	return takeoverInterval
}

// noteRun records that the process runs, and whether it stood still before.
func (s *Seeds) noteRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.checkedAt.IsZero() && s.checkedAt.Elapsed() > standstill {
		s.resumesAt = time.Now().Add(resumeDelay)
	}
	s.checkedAt = clock.Now()
}

// askPredecessors asks all predecessors at once whether they still grant.
func (s *Seeds) askPredecessors(ctx context.Context) {
	s.mu.Lock()
	list, asked, timeout := s.Current(), slices.Sorted(maps.Keys(s.predecessors)), exchangeTimeout
	if s.starts {
		timeout = seedStartWait
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var questions sync.WaitGroup
	for _, addr := range asked {
		questions.Go(func() {
			askedAt := time.Now()
			resp, err := s.query(ctx, addr, tenureRequest{})
			s.recordAnswer(list, addr, resp, err, askedAt)
		})
	}
	questions.Wait()
}

// recordAnswer records what a predecessor answered to a question asked under a list.
func (s *Seeds) recordAnswer(list *SeedList, addr string, resp tenureResponse, err error, askedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.predecessors[addr]
	if p == nil || s.Current() != list {
		return
	}
	isSeed := slices.Contains(list.others, addr)
	s.learn(resp.Known)
	switch {
	case err != nil:
		if p.silentSince.IsZero() {
			p.silentSince = askedAt
		}
		silent := time.Since(p.silentSince)
		if p.isStart && !p.isPassed && silent >= seedStartWait {
			p.isPassed = true
			s.updateTenure()
		}
		if silent < takeoverSilence {
			return
		}
		if !isSeed {
			s.passedOver[addr] = true
		}
		s.log.Warn("grantor of an earlier list doesn't respond", zap.String("address", addr), zap.Error(err))
	case resp.Shares > 0 && (!isSeed || resp.Shares < list.shares()):
		p.silentSince = time.Time{}
		return
	}
	s.recordEnded(addr)
	s.updateTenure()
}

// notifyPassedOver tells the instances that were passed over that this one grants.
func (s *Seeds) notifyPassedOver(ctx context.Context) {
	s.mu.Lock()
	var told []string
	if s.mayGrantNow() {
		told = slices.Sorted(maps.Keys(s.passedOver))
	}
	s.mu.Unlock()
	for _, addr := range told {
		go func() {
			if _, err := s.query(ctx, addr, tenureRequest{PassedOver: true}); err == nil {
				s.log.Info("told an instance that its role has passed", zap.String("address", addr))
			}
		}()
	}
}

func (s *Seeds) query(ctx context.Context, addr string, req tenureRequest) (resp tenureResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, err = s.transport.CallAddr(ctx, addr, peer.OpQueryTenure, req, &resp)
	return resp, err
}
