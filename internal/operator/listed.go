package operator

import (
	"context"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/store"
)

// listedLife is how long an instance list is used again, so that a command that
// waits doesn't spend the platform's calls.
const listedLife = 2 * time.Second

// listed remembers the platform's instance list for a moment.
type listed struct {
	mu   sync.Mutex
	read time.Time
	list []store.Instance
}

// get returns the list; that of a platform that doesn't answer is empty.
func (l *listed) get(ctx context.Context, lister store.InstanceLister) []store.Instance {
	if lister == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.read) < listedLife {
		return l.list
	}
	list, err := lister.Instances(ctx)
	if err != nil {
		list = nil
	}
	l.list, l.read = list, time.Now()
	return list
}

// countUnheard adds the instances that the platform lists as live and that the
// fleet doesn't know as members: just started, cut off, or dead and still listed.
func (s *Server) countUnheard(ctx context.Context, byRegion map[model.Region]*api.RegionRevision) {
	members := make(map[model.InstanceID]bool)
	for _, m := range s.Members.Live() {
		members[m.ID] = true
	}
	for _, i := range s.listed.get(ctx, s.Lister) {
		if members[i.ID] || i.State != store.InstanceLive {
			continue
		}
		region := i.Location.Region
		if byRegion[region] == nil {
			byRegion[region] = &api.RegionRevision{Region: region}
		}
		byRegion[region].Unheard++
	}
}
