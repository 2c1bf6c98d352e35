package peersync

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/replica"
)

// namesBytesPerSecond bounds the average cost of comparing the names of all targets, to half
// of the 2 KB/s allowed for control traffic.
const namesBytesPerSecond = 1000

// nameComparison decides when an instance compares the names of all targets with a peer,
// which is needed if their lists differ although they reflect the same revision. It is used
// by one goroutine.
type nameComparison struct {
	// diverged is set if the last exchange left lists of the same revision that differ.
	diverged bool
	// comparedAt is the time of the last request that asked for all names.
	comparedAt time.Time
}

// ownVersions returns the versions to send to a peer. If the lists have diverged, they ask
// for all names, as often as namesBytesPerSecond allows.
func (c *nameComparison) ownVersions(local *replica.Replica) replica.Versions {
	own := local.Versions()
	pause := time.Duration(local.Targets.NameHashBytes()) * time.Second / namesBytesPerSecond
	if c.diverged && time.Since(c.comparedAt) >= pause {
		own.AcceptsRemovals = false
		c.comparedAt = time.Now()
	}
	return own
}

// compare records whether the lists differ after an exchange with a peer.
func (c *nameComparison) compare(local *replica.Replica, remote replica.Versions) {
	own := local.Versions()
	c.diverged = own.AsOf == remote.AsOf && own.Digest != remote.Digest
}
