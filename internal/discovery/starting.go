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
	// peerGrace is how long an instance that has read the store waits to hear
	// from a peer: a replica of the store may be older than what peers hold.
	peerGrace = 3 * time.Second
	// startDomains is the number of failure domains that must have been heard
	// while the store is down.
	startDomains = 2
)

// starting is what an instance has learnt since it started.
type starting struct {
	mu    sync.Mutex
	began time.Time
	// stored holds the prefixes that were read from the store.
	stored []string
	ready  atomic.Bool
	// leaving is set once the instance is to receive no more requests.
	leaving atomic.Bool
}

func (s *starting) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = now
}

func (s *starting) read(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.stored, prefix) {
		s.stored = append(s.stored, prefix)
	}
}

func (s *starting) progress() (began time.Time, prefixes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began, len(s.stored)
}

// Ready reports whether the instance may serve: targets and a configuration are
// known, and are the newest that the store, or peers of several failure domains,
// hold. Once ready, an instance stays so until it leaves.
func (w *Watcher) Ready() bool { return w.caughtUp() && !w.start.leaving.Load() }

// caughtUp reports whether the instance has been complete at some time.
func (w *Watcher) caughtUp() bool {
	w.init()
	if !w.start.ready.Load() && w.complete(time.Now()) {
		w.start.ready.Store(true)
	}
	return w.start.ready.Load()
}

// Leave ends readiness for good.
func (w *Watcher) Leave() { w.start.leaving.Store(true) }

func (w *Watcher) complete(now time.Time) bool {
	_, _, targets := w.targets.state()
	if !targets || w.Config.Current() == nil {
		return false
	}
	began, stored := w.start.progress()
	fromStore := stored == 2
	if w.Peers == nil {
		return fromStore
	}
	if len(w.ahead(w.config)) > 0 || len(w.ahead(w.targets)) > 0 {
		return false
	}
	holders := w.Peers.PeerVersions()
	if fromStore {
		return len(holders) > 0 || len(w.Peers.OtherInstances()) == 0 || now.Sub(began) >= peerGrace
	}
	return len(holders) > 0 && heardDomains(holders) >= min(startDomains, domainsOf(w.Peers.OtherInstances()))
}

// heardDomains returns the number of failure domains whose instances hold a
// configuration.
func heardDomains(holders []fleet.PeerVersions) int {
	var heard []fleet.Member
	for _, h := range holders {
		if h.Versions.Config > 0 {
			heard = append(heard, h.Member)
		}
	}
	return domainsOf(heard)
}

func domainsOf(members []fleet.Member) int {
	var domains []model.FailureDomain
	for _, m := range members {
		if !slices.Contains(domains, m.Location.FailureDomain) {
			domains = append(domains, m.Location.FailureDomain)
		}
	}
	return len(domains)
}
