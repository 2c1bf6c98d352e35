package peersync

import (
	"cmp"
	"context"
	"math"
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
	// maxQuotaRounds is how often the grantors are asked in turn: the first may have something
	// again when the last, in another region, has denied.
	maxQuotaRounds = 2
	// patientDenials is how often a grantor beyond the nearest may deny an organisation before
	// it is asked less often, from minDeniedBackoff on up to maxDeniedBackoff.
	patientDenials   = 4
	minDeniedBackoff = 250 * time.Millisecond
	maxDeniedBackoff = 2 * time.Second
	// maxPrefetched bounds the permits that are asked for beyond the one that is needed.
	maxPrefetched = 32
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
}

// quotaResponse is the response of peer.OpAcquireQuota.
type quotaResponse struct {
	Granted         int   `cbor:"1,keyasint,omitempty"`
	AvailableMillis int64 `cbor:"2,keyasint,omitempty"`
	RetryMillis     int64 `cbor:"3,keyasint,omitempty"`
}

// QuotaServer grants requests of organisations to other instances. It is safe for concurrent
// use.
type QuotaServer struct{ Own *Share[*limit.QuotaGrantor] }

// HandleAcquire handles peer.OpAcquireQuota.
func (s *QuotaServer) HandleAcquire(_ model.InstanceID, body []byte) (any, error) {
	var req quotaRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	grantor, grants := s.Own.Grantor()
	if !grants {
		return nil, &NotHolderError{Role: "grant quotas"}
	}
	g := grantor.Grant(req.Organisation, limit.Quota{Revision: req.Revision, PerSecond: req.PerSecond, Burst: req.Burst}, req.Count)
	return quotaResponse{Granted: g.Granted, AvailableMillis: g.AvailableAfter.Milliseconds(), RetryMillis: g.RetryAfter.Milliseconds()}, nil
}

// Quotas obtains permits for requests of organisations from the seeds, each of which grants a
// share of each quota: the nearest first, the others when it grants nothing. So a quota holds
// for all instances, whichever of them and of the seeds restart or are cut off; what a seed that
// isn't reached could have granted is not used. Permits expire after a short time; until then an
// unused one serves another request, afterwards it counts as used. It is safe for concurrent use.
type Quotas struct {
	// Tolerance is by how much quotas may be exceeded.
	Tolerance limit.Tolerance
	// Own is the share that this instance grants.
	Own       *Share[*limit.QuotaGrantor]
	Transport Transport
	Seeds     *Seeds
	Log       *zap.Logger
	// Nearest, if set, returns the address of the seed that is known as the nearest, or "".
	Nearest func() string
	// OnAsked, if set, is called after each question to a grantor.
	OnAsked func(QuotaResult)

	mu sync.Mutex
	// sources are the grantors by a list of seeds, the nearest first.
	sources   []*quotaSource
	sourcesOf *SeedList
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
	// own is set for that of this instance; otherwise it is at addr.
	own  bool
	addr string
	// took is the duration of the shortest call; zero before the first. Longer ones say more
	// about this machine than about the way.
	took time.Duration
	availability
	// denials are the latest denials by organisation.
	denials map[model.OrganisationName]quotaDenial
}

// quotaDenial is what a grantor said when it denied.
type quotaDenial struct {
	// until is when it can grant again, turn when this instance's turn is if all ask again.
	until, turn time.Time
	// repeated is how often the grantor has denied since it last granted, as of countedAt.
	// Questions that were asked before count as one.
	repeated  int
	countedAt time.Time
}

// backoff returns for how long a grantor that has denied again and again is not asked. The
// nearest always is, so that little passes between regions for an organisation that is far
// beyond its quota.
func (d *quotaDenial) backoff() time.Duration {
	if d.repeated < patientDenials {
		return 0
	}
	return min(minDeniedBackoff<<min(d.repeated-patientDenials, 8), maxDeniedBackoff)
}

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
	organisation model.OrganisationName
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

// Check returns *limit.QuotaExceededError if all grantors denied a short time ago, or nil. It asks
// nobody.
func (q *Quotas) Check(organisation model.OrganisationName) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	stock := q.stocks[organisation]
	if stock == nil {
		return nil
	}
	if deniedFor := time.Until(stock.exceededUntil); deniedFor > 0 {
		return &limit.QuotaExceededError{Organisation: organisation, RetryAfter: deniedFor}
	}
	return nil
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
	var answers quotaAnswers
	for range maxQuotaRounds {
		answers = quotaAnswers{retryAfter: q.Tolerance.Window}
		for i, s := range q.orderedSources() {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			if permit := q.askUnlessDenied(ctx, s, i == 0, organisation, quota, count, &answers); permit != nil {
				return permit, nil
			}
		}
		if held := q.takeReleased(organisation); held != nil {
			return held, nil
		}
	}
	if answers.silent {
		return nil, &limit.QuotaUnknownError{Organisation: organisation}
	}
	q.recordExceeded(organisation, answers.retryAfter)
	return nil, &limit.QuotaExceededError{Organisation: organisation, RetryAfter: answers.retryAfter}
}

// quotaAnswers sums up the grantors that gave no permit.
type quotaAnswers struct {
	// silent is set if one of them doesn't respond.
	silent bool
	// retryAfter is when to ask the others again.
	retryAfter time.Duration
}

// askUnlessDenied asks a grantor for permits, unless it is known to deny or to be silent. It
// returns one, or adds the answer to answers.
func (q *Quotas) askUnlessDenied(ctx context.Context, s *quotaSource, isFirst bool, organisation model.OrganisationName, quota limit.Quota, count int, answers *quotaAnswers) limit.QuotaPermit {
	switch state, wait := q.stateOf(s, organisation); state {
	case sourceSilent:
		answers.silent = true
		return nil
	case sourceDenies:
		answers.retryAfter = min(answers.retryAfter, wait)
		return nil
	}
	permit, wait, err := q.ask(ctx, s, isFirst, organisation, quota, count)
	switch {
	case err != nil:
		answers.silent = true
		q.countAsked(QuotaSilent)
	case permit != nil:
		q.countAsked(QuotaGranted)
		return permit
	default:
		answers.retryAfter = min(answers.retryAfter, wait)
		q.countAsked(QuotaDenied)
	}
	return nil
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
	q.stocks[organisation].exceededUntil = time.Now().Add(retryAfter)
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

// take takes a permit that may still be used, or returns nil. Expired ones are dropped.
func (s *quotaStock) take() *quotaPermit {
	for len(s.permits) > 0 {
		last := len(s.permits) - 1
		permit := s.permits[last]
		s.permits = s.permits[:last]
		if !permit.Expired() {
			return permit
		}
	}
	return nil
}

// countUse counts a use in the average.
func (s *quotaStock) countUse(now time.Time) {
	passed := float64(now.Sub(s.usedAt)) / float64(useWindow)
	s.recentUses = s.recentUses*max(0, 1-passed) + 1
	s.usedAt = now
}

// putBack keeps a permit for the next request. The caller must hold q.mu.
func (q *Quotas) putBack(p *quotaPermit) {
	stock := q.stocks[p.organisation]
	stock.permits = append(stock.permits, p)
}

// orderedSources returns the grantors, the own one and the nearest first.
func (q *Quotas) orderedSources() []*quotaSource {
	q.mu.Lock()
	defer q.mu.Unlock()
	if list := q.Seeds.Current(); q.sourcesOf != list {
		q.sources, q.sourcesOf = nil, list
		newSource := func(own bool, addr string) {
			q.sources = append(q.sources, &quotaSource{own: own, addr: addr, denials: make(map[model.OrganisationName]quotaDenial)})
		}
		if list.mayGrant() {
			newSource(true, "")
		}
		for _, addr := range list.Others() {
			newSource(false, addr)
		}
	}
	ordered := slices.Clone(q.sources)
	nearest := ""
	if q.Nearest != nil {
		nearest = q.Nearest()
	}
	slices.SortStableFunc(ordered, func(a, b *quotaSource) int { return cmp.Compare(a.distance(nearest), b.distance(nearest)) })
	return ordered
}

// distance orders grantors: the own one, the nearest known, those that were asked by their
// shortest call, and the others. Quotas.mu must be held.
func (s *quotaSource) distance(nearest string) time.Duration {
	switch {
	case s.own:
		return -2
	case s.addr == nearest:
		return -1
	case s.took == 0:
		return math.MaxInt64
	}
	return s.took
}

// sourceState tells whether a grantor may be asked.
type sourceState uint8

const (
	sourceAsks sourceState = iota
	sourceSilent
	sourceDenies
)

// stateOf returns whether a grantor may be asked for an organisation, and if it denies, when
// this instance's turn is.
func (q *Quotas) stateOf(s *quotaSource, organisation model.OrganisationName) (sourceState, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if s.isSilent(now) {
		return sourceSilent, 0
	}
	if denial, denied := s.denials[organisation]; denied && now.Before(denial.until) {
		return sourceDenies, max(denial.turn.Sub(now), denial.until.Sub(now))
	}
	return sourceAsks, 0
}

// ask asks a grantor for permits. It returns one of them and keeps the others, or records the
// denial and returns when to ask again.
func (q *Quotas) ask(ctx context.Context, s *quotaSource, isFirst bool, organisation model.OrganisationName, quota limit.Quota, count int) (*quotaPermit, time.Duration, error) {
	askedAt := time.Now()
	g, err := q.call(ctx, s, organisation, quota, count)
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case err != nil:
		s.recordFailure(now, err)
		q.Log.Info("peer not reached for a quota", zap.String("address", s.addr), zap.Error(err))
		return nil, 0, err
	case g.Granted == 0:
		s.recordAnswer()
		denial := s.denials[organisation]
		if !askedAt.Before(denial.countedAt) {
			denial.repeated, denial.countedAt = denial.repeated+1, now
		}
		denial.until, denial.turn = now.Add(g.AvailableAfter), now.Add(g.RetryAfter)
		if !isFirst {
			denial.until = now.Add(max(g.AvailableAfter, denial.backoff()))
		}
		s.denials[organisation] = denial
		return nil, g.RetryAfter, nil
	}
	s.recordAnswer()
	delete(s.denials, organisation)
	for range g.Granted - 1 {
		q.putBack(&quotaPermit{quotas: q, organisation: organisation, askedAt: askedAt})
	}
	return &quotaPermit{quotas: q, organisation: organisation, askedAt: askedAt}, 0, nil
}

// call makes the call of ask. The caller's disconnect doesn't cancel it, because what is granted
// then serves others.
func (q *Quotas) call(ctx context.Context, s *quotaSource, organisation model.OrganisationName, quota limit.Quota, count int) (g limit.QuotaGrant, err error) {
	if s.own {
		grantor, grants := q.Own.Grantor()
		if !grants {
			return limit.QuotaGrant{}, &NotHolderError{Role: "grant quotas"}
		}
		return grantor.Grant(organisation, quota, count), nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), quotaTimeout)
	defer cancel()
	startedAt := time.Now()
	req := quotaRequest{Organisation: organisation, Revision: quota.Revision, PerSecond: quota.PerSecond, Burst: quota.Burst, Count: count}
	var resp quotaResponse
	_, err = q.Transport.CallAddr(ctx, s.addr, peer.OpAcquireQuota, req, &resp)
	q.mu.Lock()
	defer q.mu.Unlock()
	if took := time.Since(startedAt); err == nil && (s.took == 0 || took < s.took) {
		s.took = took
	}
	return limit.QuotaGrant{
		Granted:        resp.Granted,
		AvailableAfter: time.Duration(resp.AvailableMillis) * time.Millisecond,
		RetryAfter:     time.Duration(resp.RetryMillis) * time.Millisecond,
	}, err
}
