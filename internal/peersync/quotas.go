package peersync

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/clock"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

const (
	// quotaTimeout bounds the question to one grantor. A call to another region takes 24 ms,
	// with a handshake some 75 ms.
	quotaTimeout = 150 * time.Millisecond
	// quotaBackoff is how long a grantor that didn't respond is not asked.
	quotaBackoff = time.Second
	// maxPrefetched bounds the permits that are asked for beyond the one that is needed.
	maxPrefetched = 32
	// maxDeniedFor bounds the time for which grantors that deny are not asked again: what
	// others have not used goes back to them meanwhile.
	maxDeniedFor = time.Second
	// useWindow is the time over which the recent use of an organisation is averaged.
	useWindow = time.Second
)

// quotaRequest is the request of peer.OpAcquireQuota.
type quotaRequest struct {
	Organisation model.OrganisationName `cbor:"1,keyasint"`
	Revision     model.Revision         `cbor:"2,keyasint,omitempty"`
	PerSecond    float64                `cbor:"3,keyasint,omitempty"`
	Burst        float64                `cbor:"4,keyasint,omitempty"`
	// Count is the number of requests asked for.
	Count int `cbor:"5,keyasint,omitempty"`
	// Unused are requests that were granted and will not be sent.
	Unused []unusedPermits `cbor:"6,keyasint,omitempty"`
}

// unusedPermits are permits of an organisation that go back to their grantor.
type unusedPermits struct {
	Organisation model.OrganisationName `cbor:"1,keyasint"`
	Count        int                    `cbor:"2,keyasint"`
	// Lot is the one in which they were granted.
	Lot limit.Lot `cbor:"3,keyasint"`
}

// quotaResponse is the response of peer.OpAcquireQuota.
type quotaResponse struct {
	Granted         int       `cbor:"1,keyasint,omitempty"`
	AvailableMillis int64     `cbor:"2,keyasint,omitempty"`
	RetryMillis     int64     `cbor:"3,keyasint,omitempty"`
	Lot             limit.Lot `cbor:"4,keyasint"`
}

// QuotaServer grants requests of organisations to other instances. It is safe for concurrent
// use.
type QuotaServer struct{ Grantor *limit.QuotaGrantor }

// HandleAcquire handles peer.OpAcquireQuota.
func (s *QuotaServer) HandleAcquire(_ model.InstanceID, body []byte) (any, error) {
	var req quotaRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	for _, u := range req.Unused {
		s.Grantor.Return(u.Organisation, u.Count, u.Lot)
	}
	g := s.Grantor.Grant(req.Organisation, limit.Quota{Revision: req.Revision, PerSecond: req.PerSecond, Burst: req.Burst}, req.Count)
	return quotaResponse{Granted: g.Granted, Lot: g.Lot, AvailableMillis: g.AvailableAfter.Milliseconds(), RetryMillis: g.RetryAfter.Milliseconds()}, nil
}

// Quotas obtains permits for requests of organisations from the seeds, each of which grants a
// share of each quota: the nearest first, the others when it grants nothing. So a quota holds
// for all instances, whichever of them and of the seeds restart or are cut off; what a seed that
// isn't reached could have granted is not used. Permits expire after a short time; unused ones
// go back with the next question, and count as used if they don't. It is safe for concurrent
// use.
type Quotas struct {
	// Tolerance is by how much quotas may be exceeded.
	Tolerance limit.Tolerance
	// Own grants a share if this instance is a seed, or everything without peers; otherwise
	// it is nil.
	Own *limit.QuotaGrantor
	// Transport and Seeds are those of the other seeds.
	Transport Transport
	Seeds     []string
	Log       *zap.Logger
	// OnAsked, if set, is called after each question to a grantor.
	OnAsked func(QuotaResult)

	mu sync.Mutex
	// sources are the grantors, the nearest first; nil before the first use.
	sources []*quotaSource
	// stocks are the permits held for organisations.
	stocks map[model.OrganisationName]*quotaStock
}

// QuotaResult is the result of a question to a grantor. Its values appear in metrics and don't
// change.
type QuotaResult string

// Results of questions to grantors.
const (
	QuotaGranted QuotaResult = "granted"
	QuotaDenied  QuotaResult = "denied"
	QuotaSilent  QuotaResult = "silent"
)

// quotaSource is what this instance knows of one grantor.
type quotaSource struct {
	// grantor is this instance's own; nil for that at addr.
	grantor *limit.QuotaGrantor
	addr    string
	// took is the duration of the latest call; zero before the first.
	took time.Duration
	// silentUntil is until when the grantor is not asked because it didn't respond.
	silentUntil time.Time
	// deniedUntil is until when the grantor grants nothing for an organisation.
	deniedUntil map[model.OrganisationName]time.Time
	// unused are the permits to return with the next question.
	unused map[unusedKey]int
}

// unusedKey tells which of the unused permits of a grantor are returned together.
type unusedKey struct {
	organisation model.OrganisationName
	lot          limit.Lot
}

// addUnused keeps an expired permit for its return.
func (s *quotaSource) addUnused(p *quotaPermit) { s.unused[unusedKey{p.organisation, p.lot}]++ }

// quotaStock is what an instance holds for one organisation.
type quotaStock struct {
	permits []*quotaPermit
	// recentUses is the number of requests within useWindow, averaged, as of usedAt.
	recentUses float64
	usedAt     time.Time
	// exceededUntil is until when no grantor is asked because all have denied.
	exceededUntil time.Time
}

// quotaPermit implements limit.QuotaPermit.
type quotaPermit struct {
	quotas       *Quotas
	source       *quotaSource
	organisation model.OrganisationName
	lot          limit.Lot
	// askedAt is when the permit was asked for.
	askedAt time.Time
}

// Expired implements limit.QuotaPermit.
func (p *quotaPermit) Expired() bool {
	return clock.Since(p.askedAt) >= p.quotas.Tolerance.PermitLifetime()
}

// Release implements limit.QuotaPermit.
func (p *quotaPermit) Release() {
	p.quotas.mu.Lock()
	defer p.quotas.mu.Unlock()
	p.quotas.putBack(p)
}

// Acquire takes a permit for one request of an organisation with the given quota. The error is
// *limit.QuotaExceededError, *limit.QuotaUnknownError or that of ctx.
func (q *Quotas) Acquire(ctx context.Context, organisation model.OrganisationName, quota limit.Quota) (limit.QuotaPermit, error) {
	held, count, deniedFor := q.takeHeld(organisation)
	switch {
	case held != nil:
		return held, nil
	case deniedFor > 0:
		return nil, &limit.QuotaExceededError{Organisation: organisation, RetryAfter: deniedFor}
	}
	silent, retryAfter := false, q.Tolerance.Window
	for _, s := range q.orderedSources() {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		switch state, wait := q.stateOf(s, organisation); state {
		case sourceSilent:
			silent = true
			continue
		case sourceDenies:
			retryAfter = min(retryAfter, wait)
			continue
		}
		permit, wait, err := q.ask(ctx, s, organisation, quota, count)
		switch {
		case err != nil:
			silent = true
			q.countAsked(QuotaSilent)
		case permit != nil:
			q.countAsked(QuotaGranted)
			return permit, nil
		default:
			retryAfter = min(retryAfter, wait)
			q.countAsked(QuotaDenied)
		}
	}
	if held := q.takeReleased(organisation); held != nil {
		return held, nil
	}
	if silent {
		return nil, &limit.QuotaUnknownError{Organisation: organisation}
	}
	q.recordExceeded(organisation, retryAfter)
	return nil, &limit.QuotaExceededError{Organisation: organisation, RetryAfter: retryAfter}
}

func (q *Quotas) countAsked(result QuotaResult) {
	if q.OnAsked != nil {
		q.OnAsked(result)
	}
}

// recordExceeded records that all grantors have denied, and when to ask again.
func (q *Quotas) recordExceeded(organisation model.OrganisationName, retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stocks[organisation].exceededUntil = time.Now().Add(min(retryAfter, maxDeniedFor))
}

// takeHeld counts a use of an organisation and takes a permit that is held for it. If there is
// none, it returns for how long all grantors deny, or else how many to ask for: one, and those
// for the uses expected in half of their lifetime.
func (q *Quotas) takeHeld(organisation model.OrganisationName) (permit *quotaPermit, count int, deniedFor time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stocks == nil {
		q.stocks = make(map[model.OrganisationName]*quotaStock)
	}
	stock := q.stocks[organisation]
	if stock == nil {
		stock = &quotaStock{}
		q.stocks[organisation] = stock
	}
	stock.countUse(time.Now())
	if permit = stock.take(); permit != nil {
		return permit, 0, 0
	}
	if deniedFor = time.Until(stock.exceededUntil); deniedFor > 0 {
		return nil, 0, deniedFor
	}
	expected := stock.recentUses * q.Tolerance.PermitLifetime().Seconds() / (2 * useWindow.Seconds())
	return nil, 1 + min(int(expected), maxPrefetched), 0
}

// takeReleased takes a permit that was put back meanwhile, or returns nil.
func (q *Quotas) takeReleased(organisation model.OrganisationName) *quotaPermit {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stocks[organisation].take()
}

// take takes a permit that may still be used, or returns nil. Expired ones go back.
func (s *quotaStock) take() *quotaPermit {
	for len(s.permits) > 0 {
		last := len(s.permits) - 1
		permit := s.permits[last]
		s.permits = s.permits[:last]
		if !permit.Expired() {
			return permit
		}
		permit.source.addUnused(permit)
	}
	return nil
}

// countUse counts a use in the average.
func (s *quotaStock) countUse(now time.Time) {
	passed := float64(now.Sub(s.usedAt)) / float64(useWindow)
	s.recentUses = s.recentUses*max(0, 1-passed) + 1
	s.usedAt = now
}

// putBack keeps a permit for the next request, or for its return if it has expired. The caller
// must hold q.mu.
func (q *Quotas) putBack(p *quotaPermit) {
	if p.Expired() {
		p.source.addUnused(p)
		return
	}
	stock := q.stocks[p.organisation]
	stock.permits = append(stock.permits, p)
}

// orderedSources returns the grantors, the own one and the nearest first.
func (q *Quotas) orderedSources() []*quotaSource {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.sources == nil {
		newSource := func(grantor *limit.QuotaGrantor, addr string) {
			q.sources = append(q.sources, &quotaSource{grantor: grantor, addr: addr,
				deniedUntil: make(map[model.OrganisationName]time.Time), unused: make(map[unusedKey]int)})
		}
		if q.Own != nil {
			newSource(q.Own, "")
		}
		for _, addr := range q.Seeds {
			newSource(nil, addr)
		}
	}
	ordered := slices.Clone(q.sources)
	slices.SortStableFunc(ordered, func(a, b *quotaSource) int { return cmp.Compare(a.took, b.took) })
	return ordered
}

// sourceState tells whether a grantor may be asked.
type sourceState uint8

const (
	sourceAsks sourceState = iota
	sourceSilent
	sourceDenies
)

// stateOf returns whether a grantor may be asked for an organisation, and if it denies, for how
// long.
func (q *Quotas) stateOf(s *quotaSource, organisation model.OrganisationName) (sourceState, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if now.Before(s.silentUntil) {
		return sourceSilent, 0
	}
	until, denied := s.deniedUntil[organisation]
	if denied && now.Before(until) {
		return sourceDenies, until.Sub(now)
	}
	delete(s.deniedUntil, organisation)
	return sourceAsks, 0
}

// ask asks a grantor for permits. It returns one of them and keeps the others, or records the
// denial and returns when to ask again.
func (q *Quotas) ask(ctx context.Context, s *quotaSource, organisation model.OrganisationName, quota limit.Quota, count int) (*quotaPermit, time.Duration, error) {
	askedAt := time.Now()
	g, err := q.call(ctx, s, organisation, quota, count)
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case err != nil:
		// The nearest grantor is tried first again after the backoff.
		s.silentUntil, s.took = now.Add(quotaBackoff), 0
		q.Log.Info("peer not reached for a quota", zap.String("address", s.addr), zap.Error(err))
		return nil, 0, err
	case g.Granted == 0:
		s.deniedUntil[organisation] = now.Add(min(g.AvailableAfter, maxDeniedFor))
		return nil, g.RetryAfter, nil
	}
	for range g.Granted - 1 {
		q.putBack(&quotaPermit{quotas: q, source: s, organisation: organisation, lot: g.Lot, askedAt: askedAt})
	}
	return &quotaPermit{quotas: q, source: s, organisation: organisation, lot: g.Lot, askedAt: askedAt}, 0, nil
}

// call makes the call of ask. The caller's disconnect doesn't cancel it, because what is granted
// then serves others.
func (q *Quotas) call(ctx context.Context, s *quotaSource, organisation model.OrganisationName, quota limit.Quota, count int) (g limit.QuotaGrant, err error) {
	unused := q.takeUnused(s)
	if s.grantor != nil {
		for _, u := range unused {
			s.grantor.Return(u.Organisation, u.Count, u.Lot)
		}
		return s.grantor.Grant(organisation, quota, count), nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), quotaTimeout)
	defer cancel()
	startedAt := time.Now()
	req := quotaRequest{Organisation: organisation, Revision: quota.Revision, PerSecond: quota.PerSecond, Burst: quota.Burst, Count: count, Unused: unused}
	var resp quotaResponse
	_, err = q.Transport.CallAddr(ctx, s.addr, peer.OpAcquireQuota, req, &resp)
	q.mu.Lock()
	defer q.mu.Unlock()
	s.took = time.Since(startedAt)
	return limit.QuotaGrant{
		Granted:        resp.Granted,
		Lot:            resp.Lot,
		AvailableAfter: time.Duration(resp.AvailableMillis) * time.Millisecond,
		RetryAfter:     time.Duration(resp.RetryMillis) * time.Millisecond,
	}, err
}

// takeUnused returns the permits that go back to a grantor and forgets them: if the message is
// lost, they count as used.
func (q *Quotas) takeUnused(s *quotaSource) []unusedPermits {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]unusedPermits, 0, len(s.unused))
	for key, count := range s.unused {
		list = append(list, unusedPermits{Organisation: key.organisation, Count: count, Lot: key.lot})
	}
	clear(s.unused)
	return list
}
