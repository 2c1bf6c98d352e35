package peersync

import (
	"context"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// locateTimeout bounds the question where the seeds run. A datagram and its answer take
	// 24 ms across regions.
	locateTimeout = 60 * time.Millisecond
	// nearHeadStart is how long a seed in the own region may take to answer before the others
	// are asked too. A handshake and a call within a region take some milliseconds.
	nearHeadStart = 60 * time.Millisecond
)

// Locator tells where instances run, without a connection; *peer.Transport implements it.
type Locator interface {
	Locate(ctx context.Context, addr string) (model.Location, bool)
}

// Vicinity finds the seed in the own region, so that no others need be connected to while that
// one answers. It is safe for concurrent use.
type Vicinity struct {
	// Locator may be nil, in which case no seed is known to be near.
	Locator Locator
	Seeds   *Seeds
	Region  model.Region

	mu sync.Mutex
	// near is the seed of a list that answered.
	near   string
	nearOf *SeedList
}

// Near returns the address of a seed in the own region, or false if none has answered within
// locateTimeout. Only the first answer is waited for; it is kept.
func (v *Vicinity) Near(ctx context.Context) (addr string, known bool) {
	if v == nil || v.Locator == nil {
		return "", false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	list := v.Seeds.Current()
	if v.near != "" && v.nearOf == list {
		return v.near, true
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	found := make(chan string, len(list.Others()))
	var questions sync.WaitGroup
	for _, seed := range list.Others() {
		questions.Go(func() {
			if at, located := v.Locator.Locate(ctx, seed); located && at.Region == v.Region {
				found <- seed
			}
		})
	}
	go func() { questions.Wait(); close(found) }()
	v.near, v.nearOf = <-found, list
	return v.near, v.near != ""
}
