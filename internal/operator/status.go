package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// getConfigStatus responds with the revision in force in each region. The accepted
// revision is the higher of the stored one and the one in force on this instance.
func (s *Server) getConfigStatus(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), readTimeout)
	defer cancel()
	response := api.ConfigStatus{Instance: s.Instance, Regions: s.regionRevisions(ctx)}
	revision, err := s.Applier.StoredRevision(ctx)
	if err != nil {
		response.StoreError = err.Error()
	}
	response.Accepted = max(revision, s.Config.Revision())
	c.JSON(http.StatusOK, response)
}

// regionRevisions returns the revisions that instances reported, sorted by region.
// Instances that reported earlier and are no longer live are included, so that a
// region that can't be reached is listed.
func (s *Server) regionRevisions(ctx context.Context) []api.RegionRevision {
	reportedRevisions := s.reportedRevisions()
	byRegion := make(map[model.Region]*api.RegionRevision)
	add := func(region model.Region, r api.InstanceRevision) {
		if byRegion[region] == nil {
			byRegion[region] = &api.RegionRevision{Region: region}
		}
		byRegion[region].Instances = append(byRegion[region].Instances, r)
	}
	for _, m := range s.Members.Live() {
		add(m.Location.Region, api.InstanceRevision{Instance: m.ID, Revision: reportedRevisions[m.ID].Revision, Live: true})
		delete(reportedRevisions, m.ID)
	}
	for id, report := range reportedRevisions {
		add(report.Location.Region, api.InstanceRevision{Instance: id, Revision: report.Revision})
	}
	s.countNonMembers(ctx, byRegion)
	unreachable := s.unreachableRegions()
	out := make([]api.RegionRevision, 0, len(byRegion))
	for _, r := range byRegion {
		summarizeRegion(r)
		r.Unreachable = unreachable[r.Region]
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b api.RegionRevision) int { return cmp.Compare(a.Region, b.Region) })
	return out
}

// unreachableRegions returns the regions that this instance's region can't reach.
func (s *Server) unreachableRegions() map[model.Region]bool {
	out := make(map[model.Region]bool)
	s.Facts.Each(fleet.FactPartition, func(f fleet.Fact) {
		if v, err := fleet.DecodePartition(f); err == nil && v.From == s.Location.Region {
			out[v.To] = v.Partitioned
		}
	})
	return out
}

// summarizeRegion sorts the instances of a region, counts the live ones and sets the
// region's revision to the lowest that a live instance reported.
func summarizeRegion(r *api.RegionRevision) {
	slices.SortFunc(r.Instances, func(a, b api.InstanceRevision) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, i := range r.Instances {
		if !i.Live {
			continue
		}
		if r.Live == 0 || i.Revision < r.Revision {
			r.Revision = i.Revision
		}
		r.Live++
	}
}

// reportedRevisions returns the latest reported revision of each instance, including
// this one.
func (s *Server) reportedRevisions() map[model.InstanceID]fleet.RevisionValue {
	out := make(map[model.InstanceID]fleet.RevisionValue)
	s.Facts.Each(fleet.FactRevision, func(f fleet.Fact) {
		if v, err := fleet.DecodeRevision(f); err == nil {
			out[model.InstanceID(f.Key)] = v
		}
	})
	out[s.Instance] = fleet.RevisionValue{Revision: s.Config.Revision(), Location: s.Location}
	return out
}

func (s *Server) getStatus(c *gin.Context) {
	reportedRevisions := s.reportedRevisions()
	response := api.Status{
		Instance:    s.Instance,
		Version:     s.Version,
		Ready:       s.Ready(),
		Revision:    s.Config.Revision(),
		Members:     []api.Member{},
		Services:    s.serviceStatus(),
		Quarantined: len(s.quarantinedRequests()),
		Exceptions:  s.activeExceptions(),
	}
	for _, m := range s.Members.Live() {
		response.Members = append(response.Members, api.Member{
			Instance: m.ID, Location: m.Location, OperatorAddr: m.OperatorAddr, Leaving: m.Leaving,
			Revision: reportedRevisions[m.ID].Revision,
		})
	}
	slices.SortFunc(response.Members, func(a, b api.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	c.JSON(http.StatusOK, response)
}

// serviceStatus returns the services of the configuration in force, sorted by name.
func (s *Server) serviceStatus() []api.Service {
	out := []api.Service{}
	snapshot := s.Config.Current()
	if snapshot == nil {
		return out
	}
	table := s.Table.Snapshot()
	for name, service := range snapshot.Document.Services {
		status := api.Service{Service: name, Class: service.Class}
		if pool := table.Pool(name); pool != nil {
			countTargets(&status, pool)
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b api.Service) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// countTargets adds up the targets of a pool by state and their requests in flight.
func countTargets(status *api.Service, pool *routing.Pool) {
	for _, e := range pool.Endpoints {
		status.Targets++
		status.InFlight += e.Load.InFlight()
		switch e.State {
		case routing.Draining:
			status.Draining++
		case routing.Ejected:
			status.Ejected++
		default:
			status.Usable++
		}
	}
}

// activeExceptions returns the exceptions in force that have not expired.
func (s *Server) activeExceptions() []api.Exception {
	out := []api.Exception{}
	snapshot := s.Config.Current()
	if snapshot == nil {
		return out
	}
	now := time.Now()
	for _, e := range snapshot.Document.Exceptions {
		if e.Expires == nil || now.Before(*e.Expires) {
			out = append(out, api.Exception{Scope: e.Scope.String(), Reason: e.Reason, Author: e.Author, Expires: e.Expires})
		}
	}
	return out
}

func (s *Server) getTimeline(c *gin.Context) {
	filter, err := ParseTimelineFilter(c.Request.URL.Query().Get)
	if err != nil {
		writeError(c, http.StatusBadRequest, api.CodeBadRequest, err.Error())
		return
	}
	c.JSON(http.StatusOK, api.Timeline{Instance: s.Instance, Events: filter.Select(s.Ring.Snapshot())})
}

// FilterError reports a filter value that can't be parsed.
type FilterError struct {
	Name     string
	Value    string
	Expected string
}

func (e *FilterError) Error() string {
	return e.Name + ": " + strconv.Quote(e.Value) + " is not " + e.Expected
}

// ParseTimelineFilter parses an event filter. get returns the value of a query
// parameter or flag by name, empty if it is not set. The error is *FilterError.
func ParseTimelineFilter(get func(name string) string) (events.Filter, error) {
	f := events.Filter{
		Request: model.RequestID(get("request")),
		Service: model.ServiceName(get("service")),
		Target:  model.TargetID(get("target")),
		Kind:    events.Kind(get("kind")),
	}
	if text := get("revision"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return f, &FilterError{Name: "revision", Value: text, Expected: "a whole number"}
		}
		f.Revision = model.Revision(n)
	}
	if text := get("since"); text != "" {
		since, err := parseSince(text, time.Now())
		if err != nil {
			return f, &FilterError{Name: "since", Value: text, Expected: "a duration such as 10m or a time such as 2026-12-24T18:00:00Z"}
		}
		f.Since = since
	}
	return f, nil
}

// parseSince parses a duration before now or a time in RFC 3339 format.
func parseSince(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	return time.Parse(time.RFC3339, text)
}
