package discovery

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// peerGrace is how long an instance that has read the store waits for a connected
	// peer: the store may have answered from a replica older than the peers' state.
	peerGrace = 3 * time.Second
	// minDomains is the number of failure domains that must hold a configuration before
	// an instance becomes ready without the store.
	minDomains = 2
)

// readiness records what determines whether an instance is ready.
type readiness struct {
	mu      sync.Mutex
	started time.Time
	// listed holds the prefixes that were listed in the store.
	listed []string
	ready  atomic.Bool
	// leaving is set once the instance must receive no more requests.
	leaving atomic.Bool
}

func (r *readiness) setStarted(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = now
}

func (r *readiness) addListed(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.listed, prefix) {
		r.listed = append(r.listed, prefix)
	}
}

func (r *readiness) progress() (started time.Time, prefixes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started, len(r.listed)
}

// Ready reports whether the instance may serve: it has targets and a configuration,
// in the latest versions held by the store or by peers of several failure domains.
// Once ready, it stays ready until SetLeaving.
func (w *Watcher) Ready() bool { return w.caughtUp() && !w.readiness.leaving.Load() }

// caughtUp reports whether the instance is complete or has been before.
func (w *Watcher) caughtUp() bool {
	w.init()
	if !w.readiness.ready.Load() && w.complete(time.Now()) {
		w.readiness.ready.Store(true)
	}
	return w.readiness.ready.Load()
}

// SetLeaving ends readiness for good.
func (w *Watcher) SetLeaving() { w.readiness.leaving.Store(true) }

// complete reports whether the instance holds targets and a configuration, no connected
// peer holds newer ones, and they come from the store or from peers of several failure
// domains.
func (w *Watcher) complete(now time.Time) bool {
	_, _, targets := w.targets.state()
	if !targets || w.Config.Current() == nil {
		return false
	}
	started, listed := w.readiness.progress()
	listedAll := listed == 2
	if w.Peers == nil {
		return listedAll
	}
	if len(w.newerHolders(w.config)) > 0 || len(w.newerHolders(w.targets)) > 0 {
		return false
	}
	holders := w.Peers.PeerVersions()
	if listedAll {
		return len(holders) > 0 || len(w.Peers.OtherInstances()) == 0 || now.Sub(started) >= peerGrace
	}
	return len(holders) > 0 && configuredDomains(holders) >= min(minDomains, countDomains(w.Peers.OtherInstances()))
}

// configuredDomains returns the number of failure domains with an instance that holds
// a configuration.
func configuredDomains(holders []fleet.PeerVersions) int {
	var configured []fleet.Member
	for _, h := range holders {
		if h.Versions.Config > 0 {
			configured = append(configured, h.Member)
		}
	}
	return countDomains(configured)
}

func countDomains(members []fleet.Member) int {
	var domains []model.FailureDomain
	for _, m := range members {
		if !slices.Contains(domains, m.Location.FailureDomain) {
			domains = append(domains, m.Location.FailureDomain)
		}
	}
	return len(domains)
}
