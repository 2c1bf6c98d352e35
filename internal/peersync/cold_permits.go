package peersync

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// coldPermitWait bounds the time for which a request waits for a permit. A call to another
	// region takes 24 ms.
	coldPermitWait = 60 * time.Millisecond
	// maxColdTargets bounds the targets in a request for a permit.
	maxColdTargets = 64
)

// coldPermitRequest is the request of peer.OpAcquireColdPermit: one request to one of the
// targets, each of which takes PerSecond requests a second.
type coldPermitRequest struct {
	Targets   []model.TargetID `cbor:"1,keyasint"`
	PerSecond float64          `cbor:"2,keyasint"`
}

// coldPermitResponse is the response of peer.OpAcquireColdPermit. Target is empty if nothing
// is granted before RetryMillis.
type coldPermitResponse struct {
	Target      model.TargetID `cbor:"1,keyasint,omitempty"`
	RetryMillis int64          `cbor:"2,keyasint,omitempty"`
}

// ColdPermitServer grants requests to cold targets to other instances. It is safe for
// concurrent use.
type ColdPermitServer struct{ Own *Share[*limit.ColdGrantor] }

// HandleAcquire handles peer.OpAcquireColdPermit.
func (s *ColdPermitServer) HandleAcquire(_ model.InstanceID, body []byte) (any, error) {
	var req coldPermitRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	grantor, grants := s.Own.Grantor()
	if !grants {
		return nil, &NotHolderError{Role: "grant permits for cold targets"}
	}
	target, retryAfter := grantor.Grant(req.Targets[:min(len(req.Targets), maxColdTargets)], req.PerSecond)
	return coldPermitResponse{Target: target, RetryMillis: retryAfter.Milliseconds()}, nil
}

// ColdResult is what became of a request for a permit. Its values appear in metrics and don't
// change.
type ColdResult string

// Results of requests for permits.
const (
	ColdGranted     ColdResult = "granted"
	ColdDenied      ColdResult = "denied"
	ColdUnreachable ColdResult = "unreachable"
)

// AcquireCold implements routing.Permits. Only the seeds grant, so that an instance that
// reaches none sends nothing to a cold target.
func (p *Permits) AcquireCold(ctx context.Context, targets []*routing.Endpoint, perSecond float64) (*routing.ColdPermit, time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), coldPermitWait)
	defer cancel()
	ids := make([]model.TargetID, 0, len(targets))
	for _, e := range targets {
		ids = append(ids, e.Target.ID)
	}
	retryAfter := silentBackoff
	if own, grants := p.OwnCold.Grantor(); grants {
		target, after := own.Grant(ids, perSecond)
		if target != "" {
			return p.coldPermit(target, time.Now()), 0
		}
		retryAfter = after
	}
	result := ColdDenied
	for _, s := range p.coldSources() {
		askable := p.coldAskable(s, ids)
		if len(askable) == 0 || ctx.Err() != nil {
			continue
		}
		askedAt := time.Now()
		target, after, responded := p.askCold(ctx, s, askable, perSecond)
		switch {
		case target != "":
			return p.coldPermit(target, askedAt), 0
		case responded:
			retryAfter = min(retryAfter, after)
		default:
			result = ColdUnreachable
		}
	}
	p.countCold(result)
	return nil, retryAfter
}

// coldPermit returns the permit for a target. It counts from the question: the grant is not
// older.
func (p *Permits) coldPermit(target model.TargetID, askedAt time.Time) *routing.ColdPermit {
	p.countCold(ColdGranted)
	return &routing.ColdPermit{Target: target, GrantedAt: askedAt}
}

func (p *Permits) countCold(result ColdResult) {
	if p.OnCold != nil {
		p.OnCold(result)
	}
}

// coldKey is the key of a cold target in permitSource.deniedUntil.
func coldKey(id model.TargetID) model.ProcessID { return "cold " + model.ProcessID(id) }

// coldSources returns the seeds that may respond, the nearest first.
func (p *Permits) coldSources() []*permitSource {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(p.sortedSources()), func(s *permitSource) bool { return s.isSilent(now) })
}

// coldAskable returns the targets for which a seed may grant a request now. It marks them as
// denied until the response, so that concurrent requests don't ask the same.
func (p *Permits) coldAskable(s *permitSource, ids []model.TargetID) (askable []model.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		if !now.Before(s.deniedUntil[coldKey(id)]) {
			s.deniedUntil[coldKey(id)] = now.Add(coldPermitWait)
			askable = append(askable, id)
		}
	}
	return askable
}

// askCold asks a seed for one request to one of some targets.
func (p *Permits) askCold(ctx context.Context, s *permitSource, ids []model.TargetID, perSecond float64) (target model.TargetID, retryAfter time.Duration, responded bool) {
	startedAt := time.Now()
	var resp coldPermitResponse
	_, err := p.Transport.CallAddr(ctx, s.addr, peer.OpAcquireColdPermit, coldPermitRequest{Targets: ids, PerSecond: perSecond}, &resp)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.took = now.Sub(startedAt)
	if err != nil {
		s.recordFailure(now, err)
		p.Log.Info("peer not reached for a permit", zap.String("address", s.addr), zap.Error(err))
		return "", 0, false
	}
	s.recordAnswer()
	retryAfter = time.Duration(resp.RetryMillis) * time.Millisecond
	for _, id := range ids {
		s.recordDenial(coldKey(id), now, retryAfter)
	}
	return resp.Target, retryAfter, true
}
