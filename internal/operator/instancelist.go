package operator

import (
	"context"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/store"
)

// instanceListTTL is how long a fetched instance list is reused, so that a polling
// command doesn't use up the platform's rate limit.
const instanceListTTL = 2 * time.Second

// instanceListCache caches the platform's instance list. It is safe for concurrent use.
type instanceListCache struct {
	mu        sync.Mutex
	fetchedAt time.Time
	instances []store.Instance
}

// get returns the cached list, or fetches it if it is older than instanceListTTL. The
// result is empty if lister is nil or the platform returned an error; an error is
// cached too.
func (c *instanceListCache) get(ctx context.Context, lister store.InstanceLister) []store.Instance {
	if lister == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.fetchedAt) < instanceListTTL {
		return c.instances
	}
	instances, err := lister.Instances(ctx)
	if err != nil {
		instances = nil
	}
	c.instances, c.fetchedAt = instances, time.Now()
	return instances
}

// countNonMembers adds to byRegion the number of instances that the platform lists as
// live but that are not members of the fleet. They have just started, can't reach the
// fleet, or are dead and still listed.
func (s *Server) countNonMembers(ctx context.Context, byRegion map[model.Region]*api.RegionRevision) {
	isMember := make(map[model.InstanceID]bool)
	for _, m := range s.Members.Live() {
		isMember[m.ID] = true
	}
	for _, i := range s.instanceList.get(ctx, s.InstanceLister) {
		if isMember[i.ID] || i.State != store.InstanceLive {
			continue
		}
		region := i.Location.Region
		if byRegion[region] == nil {
			byRegion[region] = &api.RegionRevision{Region: region}
		}
		byRegion[region].NonMembers++
	}
}
