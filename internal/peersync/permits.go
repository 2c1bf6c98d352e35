package peersync

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/contain"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// permitTimeout bounds the question for one permit. A call to another region takes 24 ms.
	permitTimeout = 100 * time.Millisecond
)

// permitRequest is the request of peer.OpAcquirePermit.
type permitRequest struct {
	Target model.ProcessID `cbor:"1,keyasint"`
	// LimitPerSecond is the limit that the target stated AgeMillis ago.
	LimitPerSecond float64 `cbor:"2,keyasint,omitempty"`
	AgeMillis      int64   `cbor:"3,keyasint,omitempty"`
	// Withdrawn is set if the target has withdrawn its limit; no permit is asked for then.
	Withdrawn bool `cbor:"4,keyasint,omitempty"`
}

// permitResponse is the response of peer.OpAcquirePermit.
type permitResponse struct {
	Granted     bool  `cbor:"1,keyasint,omitempty"`
	RetryMillis int64 `cbor:"2,keyasint,omitempty"`
	Withdrawn   bool  `cbor:"3,keyasint,omitempty"`
}

// PermitServer grants requests to targets with a limit to other instances. It is safe for
// concurrent use.
type PermitServer struct{ Own *Share[*limit.Grantor] }

// HandleAcquire handles peer.OpAcquirePermit.
func (s *PermitServer) HandleAcquire(_ model.InstanceID, body []byte) (any, error) {
	var req permitRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	grantor, grants := s.Own.Grantor()
	if !grants {
		return nil, &NotHolderError{Role: "grant permits for targets"}
	}
	if req.Withdrawn {
		grantor.Withdraw(req.Target)
		return permitResponse{}, nil
	}
	g := grantor.Grant(req.Target, req.LimitPerSecond, time.Now().Add(-time.Duration(req.AgeMillis)*time.Millisecond))
	return permitResponse{Granted: g.Granted, RetryMillis: g.RetryAfter.Milliseconds(), Withdrawn: g.Withdrawn}, nil
}

// Permits implements routing.Permits: it asks the seeds, each of which grants a share of a
// target's limit. So the limit holds for all instances, whichever of them and of the seeds
// restart or are cut off; what a seed that isn't reached could have granted is not used. It
// is safe for concurrent use.
type Permits struct {
	// Own is the share that this instance grants.
	Own *Share[*limit.Grantor]
	// OwnCold is the same for requests to cold targets.
	OwnCold *Share[*limit.ColdGrantor]
	// OnCold, if set, is called with the result of each request for a permit for cold targets.
	OnCold    func(ColdResult)
	Transport Transport
	Seeds     *Seeds
	Log       *zap.Logger

	mu sync.Mutex
	// sources are the other seeds of a list, the nearest first.
	sources   []*permitSource
	sourcesOf *SeedList
}

// permitSource is what this instance knows of one seed that grants permits.
type permitSource struct {
	addr string
	// took is the duration of the latest call; zero before the first.
	took time.Duration
	availability
	// deniedUntil is until when the seed grants nothing for a target.
	deniedUntil map[model.ProcessID]time.Time
}

// Acquire implements routing.Permits.
func (p *Permits) Acquire(ctx context.Context, e *routing.Endpoint, extent routing.PermitExtent) (granted bool, retryAfter time.Duration) {
	stated, at := e.Load.Statement()
	if !stated.Limited {
		return true, 0
	}
	retryAfter = silentBackoff
	if own, grants := p.Own.Grantor(); grants {
		g := own.Grant(e.Target.Process(), stated.LimitPerSecond, time.Now().Add(at-routing.Monotonic()))
		if g.Granted || p.withdrawn(e, g.Withdrawn) {
			return true, 0
		}
		retryAfter = g.RetryAfter
		if extent == routing.NearestGrantor {
			return false, retryAfter
		}
	}
	for _, s := range p.askable(e.Target.Process(), extent) {
		g, responded := p.ask(ctx, s, e, stated, at)
		if g.Granted || p.withdrawn(e, g.Withdrawn) {
			return true, 0
		}
		if responded {
			retryAfter = min(retryAfter, g.RetryAfter)
		}
	}
	return false, retryAfter
}

// withdrawn applies the news that a target has withdrawn its limit.
func (p *Permits) withdrawn(e *routing.Endpoint, withdrawn bool) bool {
	if withdrawn {
		e.Load.RecordStatement(routing.Statement{}, true, routing.Monotonic())
	}
	return withdrawn
}

// askable returns the seeds that may grant a request to a target now, the nearest first. It
// marks them as denying until their response, so that concurrent requests don't ask the same.
func (p *Permits) askable(target model.ProcessID, extent routing.PermitExtent) []*permitSource {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var askable []*permitSource
	for _, s := range p.sortedSources() {
		if s.isSilent(now) {
			continue
		}
		if !now.Before(s.deniedUntil[target]) {
			s.deniedUntil[target] = now.Add(permitTimeout)
			askable = append(askable, s)
		}
		if extent == routing.NearestGrantor {
			break
		}
	}
	return askable
}

// sortedSources returns the other seeds, the nearest first. The caller must hold p.mu.
func (p *Permits) sortedSources() []*permitSource {
	if list := p.Seeds.Current(); p.sourcesOf != list {
		p.sources, p.sourcesOf = nil, list
		for _, addr := range list.Others() {
			p.sources = append(p.sources, &permitSource{addr: addr, deniedUntil: make(map[model.ProcessID]time.Time)})
		}
	}
	slices.SortStableFunc(p.sources, func(a, b *permitSource) int { return cmp.Compare(a.took, b.took) })
	return p.sources
}

// ask asks a seed for one request to a target.
func (p *Permits) ask(ctx context.Context, s *permitSource, e *routing.Endpoint, stated routing.Statement, at time.Duration) (g limit.Grant, responded bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), permitTimeout)
	defer cancel()
	startedAt := time.Now()
	req := permitRequest{Target: e.Target.Process(), LimitPerSecond: stated.LimitPerSecond, AgeMillis: (routing.Monotonic() - at).Milliseconds()}
	var resp permitResponse
	_, err := p.Transport.CallAddr(ctx, s.addr, peer.OpAcquirePermit, req, &resp)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.took = now.Sub(startedAt)
	if err != nil {
		s.recordFailure(now, err)
		p.Log.Info("peer not reached for a permit", zap.String("address", s.addr), zap.Error(err))
		return limit.Grant{}, false
	}
	s.recordAnswer()
	g = limit.Grant{Granted: resp.Granted, RetryAfter: time.Duration(resp.RetryMillis) * time.Millisecond, Withdrawn: resp.Withdrawn}
	s.recordDenial(req.Target, now, g.RetryAfter)
	return g, true
}

// recordDenial records for how long the seed grants nothing for a target; zero means that it
// may be asked again at once.
func (s *permitSource) recordDenial(target model.ProcessID, now time.Time, retryAfter time.Duration) {
	maps.DeleteFunc(s.deniedUntil, func(_ model.ProcessID, until time.Time) bool { return !now.Before(until) })
	delete(s.deniedUntil, target)
	if retryAfter > 0 {
		s.deniedUntil[target] = now.Add(retryAfter)
	}
}

// ReportWithdrawal tells all grantors that a target has withdrawn its limit.
func (p *Permits) ReportWithdrawal(e *routing.Endpoint) {
	target := e.Target.Process()
	if own, grants := p.Own.Grantor(); grants {
		own.Withdraw(target)
	}
	for _, addr := range p.Seeds.Current().Others() {
		go func() {
			defer contain.Panic("withdrawn limit", string(e.Target.ID), nil)
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			defer cancel()
			var resp permitResponse
			if _, err := p.Transport.CallAddr(ctx, addr, peer.OpAcquirePermit, permitRequest{Target: target, Withdrawn: true}, &resp); err != nil {
				p.Log.Info("peer not told of a withdrawn limit", zap.String("address", addr), zap.Error(err))
			}
		}()
	}
}
