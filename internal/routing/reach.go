package routing

import (
	"slices"
	"strings"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// reach identifies the targets that requests may use: those of a service in their homes.
type reach struct {
	service model.ServiceName
	// homes are the regions, joined by commas, or empty for all.
	homes string
}

func reachOf(service model.ServiceName, homes model.Homes) reach {
	if !homes.Restricted() {
		return reach{service: service}
	}
	names := make([]string, 0, len(homes.Regions()))
	for _, r := range homes.Regions() {
		names = append(names, string(r))
	}
	return reach{service: service, homes: strings.Join(names, ",")}
}

// isHome reports whether this instance's region is one of the homes.
func (p *ProbingPicker) isHome(homes model.Homes) bool { return homes.Allows(p.table.self.Region) }

// roundKey returns the key of the round of preferred targets. Requests at home in this
// region share one, because it probes targets of the region alone.
func (p *ProbingPicker) roundKey(req ProbingRequest) reach {
	if p.isHome(req.Homes) {
		return reach{service: req.Service}
	}
	return reachOf(req.Service, req.Homes)
}

// preferredWait returns how long the responses of the preferred targets are awaited.
func (p *ProbingPicker) preferredWait(homes model.Homes) time.Duration {
	if p.isHome(homes) {
		return localProbeWait
	}
	return remoteProbeWait
}

// admits reports whether the request may be sent to a target by its homes and by what it
// has tried.
func (r *ProbingRequest) admits(e *Endpoint) bool {
	return r.Homes.Allows(e.Target.Location.Region) && !slices.Contains(r.Exclude, e.Target.ID)
}
