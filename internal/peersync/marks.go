package peersync

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/quarantine"
)

const (
	// marksWait is how long a seed holds an exchange of marks without news. It is shorter
	// than the idle timeout of the connection.
	marksWait = 2 * time.Second
	// marksBatchDelay is how long a seed collects further news before it responds.
	marksBatchDelay = 50 * time.Millisecond
	// minMarksBackoff and maxMarksBackoff bound the pause after a failed exchange, and before
	// another seed is sought in place of one that is alone.
	minMarksBackoff = 50 * time.Millisecond
	maxMarksBackoff = 5 * time.Second
	// isolationTimeout is how long after the latest exchange an instance counts as isolated:
	// an exchange without news, its timeout and the search for another seed.
	isolationTimeout = marksWait + exchangeTimeout + searchTimeout
)

// marksRequest is the request of peer.OpExchangeMarks.
type marksRequest struct {
	// Marks are what the requester has reported since the last exchange.
	Marks []quarantine.Mark `cbor:"1,keyasint,omitempty"`
	// Run and Change are those of the last response: the requester lacks what changed later.
	Run    uint64 `cbor:"2,keyasint,omitempty"`
	Change uint64 `cbor:"3,keyasint,omitempty"`
	// WaitMillis is how long the exchange may wait for news.
	WaitMillis uint32 `cbor:"4,keyasint,omitempty"`
}

// marksResponse is the response of peer.OpExchangeMarks.
type marksResponse struct {
	// Run identifies the process that responds; a restarted one has lost its marks.
	Run uint64 `cbor:"1,keyasint"`
	// Change is the latest change of the responder's marks that Marks reflect.
	Change uint64            `cbor:"2,keyasint,omitempty"`
	Marks  []quarantine.Mark `cbor:"3,keyasint,omitempty"`
	// Alone is set if the responder is a seed that reaches no other seed, and so may lack
	// reports.
	Alone bool `cbor:"4,keyasint,omitempty"`
	// Region is that of the responder, in responses to exchanges without a wait.
	Region model.Region `cbor:"5,keyasint,omitempty"`
}

// MarkExchange keeps the marks of an instance and of the seeds equal. An instance holds an
// exchange at the nearest seed, which responds when it has news, and sends its own reports
// to every seed at once. The seeds hold exchanges at each other. Run must be called once;
// the other methods are safe for concurrent use.
type MarkExchange struct {
	Registry  *quarantine.Registry
	Transport Transport
	Seeds     *Seeds
	// Region is that of this instance; a seed in it is preferred.
	Region model.Region
	// Vicinity, if set, finds the seed in the own region, which is asked before the others.
	Vicinity *Vicinity
	Log      *zap.Logger

	run       uint64
	startedAt time.Time
	// stopped is closed when Run ends.
	stopped chan struct{}
	// lastContact is the time of the latest exchange with any instance since startedAt in
	// nanoseconds, or 0; lastSeedContact that of the latest one at a seed.
	lastContact, lastSeedContact atomic.Int64
}

// NewMarkExchange returns an exchange of the marks in a registry with the given seeds.
func NewMarkExchange(registry *quarantine.Registry, transport Transport, seeds *Seeds, log *zap.Logger) *MarkExchange {
	return &MarkExchange{Registry: registry, Transport: transport, Seeds: seeds, Log: log, run: rand.Uint64(), startedAt: time.Now(), stopped: make(chan struct{})}
}

// Isolated reports whether there are other instances, but none has exchanged marks with
// this one for isolationTimeout.
func (e *MarkExchange) Isolated() bool { return e.hasOtherSeeds() && !e.isRecent(&e.lastContact) }

func (e *MarkExchange) hasOtherSeeds() bool { return len(e.Seeds.Current().Others()) > 0 }

// isAlone reports whether this instance is a seed that reaches no other one.
func (e *MarkExchange) isAlone() bool { return e.hasOtherSeeds() && !e.isRecent(&e.lastSeedContact) }

func (e *MarkExchange) isRecent(contact *atomic.Int64) bool {
	at := contact.Load()
	return at != 0 && time.Since(e.startedAt)-time.Duration(at) <= isolationTimeout
}

func (e *MarkExchange) recordContact(contact *atomic.Int64) {
	contact.Store(int64(time.Since(e.startedAt)))
}

// HandleExchange handles peer.OpExchangeMarks: it merges the requester's marks and returns
// those that it lacks, once there are any or after the wait asked for.
func (e *MarkExchange) HandleExchange(_ model.InstanceID, body []byte) (any, error) {
	var req marksRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	e.recordContact(&e.lastContact)
	e.Registry.Merge(req.Marks)
	var region model.Region
	if req.WaitMillis == 0 {
		region = e.Region
	}
	if req.Run != e.run {
		req.Change, req.WaitMillis = 0, 0
	}
	timeout := time.After(min(time.Duration(req.WaitMillis)*time.Millisecond, maxAwaitWait))
	for {
		changed := e.Registry.Changed()
		marks, change := e.Registry.ChangedSince(req.Change)
		if len(marks) > 0 || req.WaitMillis == 0 {
			return marksResponse{Run: e.run, Change: change, Marks: marks, Alone: e.isAlone(), Region: region}, nil
		}
		select {
		case <-changed:
			<-time.After(marksBatchDelay)
		case <-timeout:
			req.WaitMillis = 0
		case <-e.stopped:
			req.WaitMillis = 0
		}
	}
}

// Run exchanges marks with the seeds until ctx ends.
func (e *MarkExchange) Run(ctx context.Context) {
	defer close(e.stopped)
	for ctx.Err() == nil {
		list := e.Seeds.Current()
		listCtx, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			select {
			case <-list.Superseded():
			case <-ctx.Done():
			}
		}()
		e.exchangeWith(listCtx, list)
		<-listCtx.Done()
	}
}

// exchangeWith exchanges marks with the seeds of a list until ctx ends.
func (e *MarkExchange) exchangeWith(ctx context.Context, list *SeedList) {
	var seeds []*seedMarks
	var loops sync.WaitGroup
	for _, addr := range list.Others() {
		s := &seedMarks{exchange: e, addr: addr}
		seeds = append(seeds, s)
		loops.Go(func() { s.sendReports(ctx) })
		if list.IsSeed() {
			loops.Go(func() { e.followNearest(ctx, []*seedMarks{s}) })
		}
	}
	if !list.IsSeed() && len(seeds) > 0 {
		loops.Go(func() { e.followNearest(ctx, seeds) })
	}
	loops.Wait()
}

// followNearest holds exchanges at the nearest of some seeds until ctx ends.
func (e *MarkExchange) followNearest(ctx context.Context, seeds []*seedMarks) {
	for pause := newBackoff(); ctx.Err() == nil; {
		s, near := e.nearest(ctx, seeds)
		if s != nil && s.awaitNews(ctx, len(seeds) > 1, near) {
			pause = newBackoff()
		}
		pause.wait(ctx)
	}
}

// nearest returns the seed that responds first, preferably one that isn't alone and, if it
// responds within searchTimeout, one in the own region; nil if none responds.
func (e *MarkExchange) nearest(ctx context.Context, seeds []*seedMarks) (nearest *seedMarks, near bool) {
	if len(seeds) == 1 {
		return seeds[0], true
	}
	if addr, known := e.Vicinity.Near(ctx); known {
		if s := seedAt(seeds, addr); s != nil {
			if resp, err := s.call(ctx, 0); err == nil && !resp.Alone {
				return s, true
			}
		}
	}
	type answer struct {
		seed *seedMarks
		resp marksResponse
	}
	answers := make(chan answer, len(seeds))
	for _, s := range seeds {
		go func() {
			resp, err := s.call(ctx, 0)
			if err != nil {
				answers <- answer{}
				return
			}
			answers <- answer{seed: s, resp: resp}
		}()
	}
	var far, alone *seedMarks
	deadline := time.After(searchTimeout)
	for pending := len(seeds); pending > 0 && (far == nil || deadline != nil); {
		select {
		case a := <-answers:
			pending--
			switch {
			case a.seed == nil:
			case a.resp.Alone:
				alone = cmp.Or(alone, a.seed)
			case a.resp.Region == e.Region:
				return a.seed, true
			default:
				far = cmp.Or(far, a.seed)
			}
		case <-deadline:
			deadline = nil
		}
	}
	return cmp.Or(far, alone), false
}

// seedAt returns the seed at an address, or nil.
func seedAt(seeds []*seedMarks, addr string) *seedMarks {
	for _, s := range seeds {
		if s.addr == addr {
			return s
		}
	}
	return nil
}
