package peersync

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/wait"
)

const (
	// RelayWatchWait is how long the store may hold a watch of a relay. A relay notices a
	// watch that the store dropped after this and the timeout of the response.
	RelayWatchWait = 700 * time.Millisecond
	// AwaitWait is how long a relay holds a request without a change.
	AwaitWait = 600 * time.Millisecond
	// maxAwaitWait bounds the wait that a request may ask for.
	maxAwaitWait = 2 * time.Second
	// searchTimeout bounds the search for a relay. A handshake and a call across regions
	// take about 75 ms.
	searchTimeout = 250 * time.Millisecond
	// catchUpTimeout bounds the time in which a relay sends all parts of its changes. The first
	// part has what must not be used any longer.
	catchUpTimeout = 2 * time.Second
	// returnInterval is the mean time between two searches for a relay in the own region while
	// one in another region is followed.
	returnInterval = 5 * time.Second
	// startWait is how long a gateway that starts waits for the list of a relay. Without one it
	// lists the targets from the store, which takes about as long.
	startWait = 800 * time.Millisecond
	// maxStartWait is how long it waits while a relay of its region responds that isn't ready yet,
	// such as when the whole fleet starts: lists of all gateways would fill the store's link.
	maxStartWait = 2 * time.Second
	// nearStartWait is how long after its start a gateway follows only a relay of its region,
	// which may have started at the same time and lists the targets first.
	nearStartWait = 400 * time.Millisecond
	// startPatience is how long after its start a gateway waits for a relay of its region that
	// answers, but isn't ready: meanwhile the store is read.
	startPatience = 5 * time.Second
	// startPollInterval is the time between two looks at whether that list is complete.
	startPollInterval = 10 * time.Millisecond
	// lossTolerance is how long the changes may be missing after all relays said that they
	// have lost the store. A relay regains it about half a second after a lost history;
	// then it has listed the targets for all its peers.
	lossTolerance = time.Second
	// startTolerance is how long the evacuations may be missing after a start, until they are
	// listed: a relay that has started too is ready after about a second.
	startTolerance = 1500 * time.Millisecond
	// searchInterval is the time between two searches during lossTolerance, and
	// idleSearchInterval that without a relay.
	searchInterval     = 100 * time.Millisecond
	idleSearchInterval = time.Second
	// MaxRelayLag is the longest time for which a relay that lost the store first, and its
	// peer right after, delays a change: the watch and the request with their timeouts, and
	// the search for another relay.
	MaxRelayLag = RelayWatchWait + AwaitWait + 2*exchangeTimeout + searchTimeout
)

// awaitRequest is the request of peer.OpAwaitChange.
type awaitRequest struct {
	Versions replica.Versions `cbor:"1,keyasint"`
	// WaitMillis is how long the relay may hold the request without a change.
	WaitMillis uint32 `cbor:"2,keyasint,omitempty"`
	// Search is set if only the versions and the location of the relay are asked for.
	Search bool `cbor:"3,keyasint,omitempty"`
}

// RelayClient receives the store's changes from a relay, one of the seeds. Run must be
// called once; the other methods are safe for concurrent use.
type RelayClient struct {
	Replica *replica.Replica
	// OnMerge is called after all targets of a relay were merged.
	OnMerge   func()
	Transport Transport
	// Seeds are the instances that may relay. A seed itself follows none.
	Seeds *Seeds
	// Region is that of this instance; a relay in it is preferred.
	Region model.Region
	// Vicinity, if set, finds the seed in the own region, which is asked before the others.
	Vicinity *Vicinity
	Log      *zap.Logger
	// Demanded, if set, is closed when the first request of a caller arrives. Then a list of
	// one page is read from the store, which is there sooner than that of a relay that has just
	// started too.
	Demanded <-chan struct{}
	// HoldRequests is how long a relay may hold a request without a change; zero means
	// AwaitWait.
	HoldRequests time.Duration
	// MaxConfirmationAge is the age of the confirmation of the routes from which the store is
	// read although a relay answers; zero means never.
	MaxConfirmationAge time.Duration

	names nameComparison

	mu sync.Mutex
	// listed is set once all targets of a relay were received.
	listed bool
	// nearStartingAt is when a relay of the own region responded last that wasn't ready.
	nearStartingAt time.Time
	// current is set while a relay that follows the store answers, and also while its
	// replacement is looked for.
	current bool
	// ended is closed when current is reset or the routes fall behind; nil while no follower
	// waits for it.
	ended chan struct{}
	// relay is the address of the relay that is followed, or was last.
	relay string
	// latest is what the relay held at its last response.
	latest replica.Versions
	// routesAsOf is the store's latest position up to which the routes of this instance are
	// known to be in force.
	routesAsOf replica.Position
	// soughtRoutes is the revision of the relay's routes for which the store was read last.
	// absentRoutes is one that a strong read has looked for: if it isn't in force, it can't
	// be applied, and must not be read forever.
	// fetchedRoutes is one that was asked of the relay since then.
	soughtRoutes, absentRoutes, fetchedRoutes model.Revision
}

// foundRelay is a seed that relays changes.
type foundRelay struct {
	addr string
	// near is set if it runs in the own region.
	near bool
}

// followEnd is why a relay is no longer followed.
type followEnd uint8

const (
	// relaySilent: it doesn't respond.
	relaySilent followEnd = iota
	// relayLostStore: it responds, but no longer follows the store.
	relayLostStore
	// relaySlow: it doesn't send its changes within catchUpTimeout. The store is read instead.
	relaySlow
	// relayReplaced: a nearer one was found, or it is no longer a seed.
	relayReplaced
)

// Run receives changes until ctx ends.
func (c *RelayClient) Run(ctx context.Context) {
	startedAt := time.Now()
	for ctx.Err() == nil {
		relay, found := c.nearestRelay(ctx, time.Since(startedAt))
		if time.Since(startedAt) < nearStartWait {
			found = found && relay.near
		}
		for found && ctx.Err() == nil {
			relay, found = c.replaceRelay(ctx, relay, c.follow(ctx, relay))
		}
		c.setLost()
		pause := c.idleInterval()
		if up := time.Since(startedAt); up < nearStartWait || (up < maxStartWait && c.isNearStarting()) {
			pause = searchInterval
		}
		wait.For(ctx, pause)
	}
}

// relays returns the instances that may relay changes to this one.
func (c *RelayClient) relays() []string { return c.Seeds.Current().relays() }

// idleInterval returns the time until the next search for a relay. An instance that waits for
// the evacuations searches as soon as its own state is known.
func (c *RelayClient) idleInterval() time.Duration {
	if own := c.Replica.Versions(); own.Evacuations.Followed && own.Evacuations.AsOf == 0 {
		return searchInterval
	}
	return idleSearchInterval
}

// replaceRelay returns the relay that follows one. The silent one may have been without the
// store before, so its return is not waited for.
func (c *RelayClient) replaceRelay(ctx context.Context, last foundRelay, end followEnd) (next foundRelay, found bool) {
	if end == relaySlow {
		return foundRelay{}, false
	}
	next, found = c.nearestRelay(ctx, startPatience)
	if found || end != relayLostStore {
		return next, found
	}
	for until := time.Now().Add(lossTolerance); time.Now().Before(until) && ctx.Err() == nil; {
		wait.For(ctx, searchInterval)
		if a := c.askRelay(ctx, last.addr); a.relaying {
			return a.foundRelay, true
		}
	}
	return c.nearestRelay(ctx, startPatience)
}

// nearestRelay returns the seed that follows the store and responds first, one in the own
// region if any of them responds within searchTimeout. The instance has been up for the given
// time: soon after a start the others are not asked while the one in the region responds.
func (c *RelayClient) nearestRelay(ctx context.Context, up time.Duration) (nearest foundRelay, found bool) {
	seeds := c.relays()
	if len(seeds) == 0 {
		return foundRelay{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	answers := make(chan relayAnswer, len(seeds)+1)
	var calls sync.WaitGroup
	// The slower calls go on, so that their connections stay open for a later search.
	defer func() { go func() { calls.Wait(); cancel() }() }()
	ask := func(addr string) { calls.Go(func() { answers <- c.askRelay(ctx, addr) }) }
	asked, nearSeed := 0, ""
	if near, known := c.Vicinity.Near(ctx); known {
		nearSeed = near
		ask(near)
		select {
		case a := <-answers:
			if a.relaying || (a.responds && up < startPatience) {
				return a.foundRelay, a.relaying
			}
		case <-time.After(nearHeadStart):
			asked++
		}
	}
	if up < nearStartWait && nearSeed != "" {
		return foundRelay{}, false
	}
	for _, addr := range seeds {
		if addr != nearSeed {
			ask(addr)
			asked++
		}
	}
	for range asked {
		a := <-answers
		switch {
		case a.relaying && a.near:
			return a.foundRelay, true
		case a.relaying && !found:
			nearest, found = a.foundRelay, true
		}
	}
	return nearest, found
}

// relayAnswer is what a seed said to a search.
type relayAnswer struct {
	foundRelay
	// responds is set if it responded, relaying if it follows the store too.
	responds, relaying bool
}

// askRelay asks a seed whether it follows the store and where it runs.
func (c *RelayClient) askRelay(ctx context.Context, addr string) relayAnswer {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var remote replica.Delta
	_, err := c.Transport.CallAddr(ctx, addr, peer.OpAwaitChange, awaitRequest{Versions: c.Replica.Versions(), Search: true}, &remote)
	if err != nil {
		return relayAnswer{foundRelay: foundRelay{addr: addr}}
	}
	near := remote.Location != nil && remote.Location.Region == c.Region
	if near && !remote.Versions.Current {
		c.mu.Lock()
		c.nearStartingAt = time.Now()
		c.mu.Unlock()
	}
	return relayAnswer{foundRelay{addr, near}, true, remote.Versions.Current}
}

// searchNear searches for a relay in the own region at random intervals and passes the first
// one that it finds to found.
func (c *RelayClient) searchNear(ctx context.Context, found chan<- foundRelay) {
	for ctx.Err() == nil {
		wait.For(ctx, returnInterval*3/4+rand.N(returnInterval/2))
		if relay, _ := c.nearestRelay(ctx, startPatience); relay.near {
			found <- relay
			return
		}
	}
}

// follow receives the changes of a relay and returns why that ended.
func (c *RelayClient) follow(ctx context.Context, relay foundRelay) followEnd {
	c.setRelay(relay.addr)
	c.Log.Info("changes come from a relay", zap.String("address", relay.addr), zap.Bool("own_region", relay.near))
	nearer := make(chan foundRelay, 1)
	if !relay.near {
		searchCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go c.searchNear(searchCtx, nearer)
	}
	var behindSince time.Time
	for {
		remote, err := c.awaitChange(ctx, relay.addr)
		switch {
		case err != nil:
			c.Log.Info("relay doesn't respond", zap.String("address", relay.addr), zap.Error(err))
			return relaySilent
		case !remote.Versions.Current:
			c.Log.Info("relay has lost the store", zap.String("address", relay.addr), remote.Versions.AsOf.Field("as_of"))
			return relayLostStore
		case !remote.More:
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = time.Now()
		case time.Since(behindSince) > catchUpTimeout:
			c.Log.Warn("relay is too slow", zap.String("address", relay.addr), remote.Versions.AsOf.Field("as_of"))
			return relaySlow
		}
		c.accept(remote)
		c.fetchAbsentRoutes(ctx, relay.addr)
		if len(nearer) > 0 || !slices.Contains(c.relays(), relay.addr) {
			return relayReplaced
		}
	}
}

// awaitChange asks a relay for the next change and merges its targets.
func (c *RelayClient) awaitChange(ctx context.Context, relay string) (replica.Delta, error) {
	hold := cmp.Or(c.HoldRequests, AwaitWait)
	ctx, cancel := context.WithTimeout(ctx, hold+exchangeTimeout)
	defer cancel()
	var remote replica.Delta
	request := awaitRequest{Versions: c.names.ownVersions(c.Replica), WaitMillis: uint32(hold.Milliseconds())}
	// The relay need not tell again of routes that are being read from the store.
	request.Versions.Routes = max(request.Versions.Routes, c.toldRoutes())
	sentAt := time.Now()
	if _, err := c.Transport.CallAddr(ctx, relay, peer.OpAwaitChange, request, &remote); err != nil {
		return replica.Delta{}, err
	}
	c.confirm(remote, sentAt)
	c.Replica.Merge(remote)
	if !remote.More {
		c.names.compare(c.Replica, remote.Versions)
	}
	if !remote.More && (remote.HasTargets() || !c.hasListed()) {
		c.OnMerge()
	}
	return remote, nil
}

// fetchAbsentRoutes asks a relay, once for each revision, for routes that are newer than the own
// ones and that the store has lost: the relay says so, or a strong read that began after the
// relay told of them doesn't have them.
func (c *RelayClient) fetchAbsentRoutes(ctx context.Context, relay string) {
	own := c.Replica.Versions()
	c.mu.Lock()
	absent := c.latest.Routes
	lost := c.latest.RoutesUnwritten || absent == c.absentRoutes
	wanted := absent > own.Routes && lost && absent != c.fetchedRoutes
	if wanted {
		c.fetchedRoutes = absent
	}
	c.mu.Unlock()
	if !wanted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var remote replica.Delta
	if _, err := c.Transport.CallAddr(ctx, relay, peer.OpFetchState, own, &remote); err != nil {
		c.Log.Info("relay didn't send its routes", zap.String("address", relay), zap.Error(err))
		return
	}
	c.Replica.Merge(remote)
}

// confirm passes on the relay's confirmation of routes that are in force here or were before.
// The relay got the request after it was sent and held it, so that the confirmation is as old as
// it says at the end of that time; what the response needed is added to the age.
func (c *RelayClient) confirm(remote replica.Delta, sentAt time.Time) {
	age, confirmed := remote.Versions.ConfirmedAge()
	if !confirmed || !remote.Versions.Current || remote.Versions.Routes > c.Replica.Versions().Routes {
		return
	}
	held := time.Duration(remote.HeldMillis) * time.Millisecond
	c.Replica.Routes.Holder.Confirm(route.FromRelay, sentAt.Add(held-age))
}

// accept records a response of a relay that follows the store.
func (c *RelayClient) accept(remote replica.Delta) {
	own := c.Replica.Versions()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.latest = true, remote.Versions
	c.listed = c.listed || !remote.More
	if remote.Versions.Routes == own.Routes {
		c.routesAsOf = max(c.routesAsOf, remote.Versions.RoutesAsOf)
	}
	if c.Replica.Evacuations != nil && remote.Versions.Evacuations.Digest == own.Evacuations.Digest && remote.Versions.Evacuations.AsOf > 0 {
		c.Replica.Evacuations.Confirm()
	}
	if c.isBehind(own) || !c.relaysEvacuations() {
		c.end()
	}
}

// relaysEvacuations reports whether the relay knows the evacuations, if this instance follows
// them. c.mu must be held.
func (c *RelayClient) relaysEvacuations() bool {
	return c.Replica.Evacuations == nil || c.latest.Evacuations.AsOf > 0
}

func (c *RelayClient) setRelay(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay = addr
}

// LatestRelay returns the address of the relay that is followed, or was last, or "".
func (c *RelayClient) LatestRelay() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay
}

// setLost records that no relay follows the store for this instance.
func (c *RelayClient) setLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = false
	c.end()
}

// end wakes the followers. c.mu must be held.
func (c *RelayClient) end() {
	if c.ended != nil {
		close(c.ended)
		c.ended = nil
	}
}

// isBehind reports whether the relay has newer routes than this instance that may still be
// read from the store. c.mu must be held.
func (c *RelayClient) isBehind(own replica.Versions) bool {
	return c.latest.Routes > own.Routes && c.latest.Routes != c.absentRoutes
}

// toldRoutes returns the revision of the routes at the relay's last response.
func (c *RelayClient) toldRoutes() model.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest.Routes
}

// Relayed reports whether a relay that follows the store answers.
func (c *RelayClient) Relayed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// isNearStarting reports whether a relay of the own region responds, but isn't ready.
func (c *RelayClient) isNearStarting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.nearStartingAt.IsZero() && time.Since(c.nearStartingAt) < searchTimeout+searchInterval
}

// hasListed reports whether all targets of a relay were received.
func (c *RelayClient) hasListed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed
}
