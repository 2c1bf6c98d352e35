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

func (s *Server) getInForce(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), readTimeout)
	defer cancel()
	answer := api.InForce{Instance: s.Instance, Regions: s.regions(ctx)}
	revision, err := s.Applier.StoredRevision(ctx)
	if err != nil {
		answer.StoreError = err.Error()
	}
	answer.Accepted = max(revision, s.Config.Revision())
	c.JSON(http.StatusOK, answer)
}

// regions returns what each instance reported. Instances that reported once and
// are not live any more are kept as such, so that a region that is cut off is shown.
func (s *Server) regions(ctx context.Context) []api.RegionRevision {
	reports := s.reports()
	byRegion := make(map[model.Region]*api.RegionRevision)
	add := func(region model.Region, r api.InstanceRevision) {
		if byRegion[region] == nil {
			byRegion[region] = &api.RegionRevision{Region: region}
		}
		byRegion[region].Instances = append(byRegion[region].Instances, r)
	}
	for _, m := range s.Members.Live() {
		add(m.Location.Region, api.InstanceRevision{Instance: m.ID, Revision: reports[m.ID].Revision, Live: true})
		delete(reports, m.ID)
	}
	for id, report := range reports {
		add(report.Location.Region, api.InstanceRevision{Instance: id, Revision: report.Revision})
	}
	s.countUnheard(ctx, byRegion)
	cut := s.cutOff()
	out := make([]api.RegionRevision, 0, len(byRegion))
	for _, r := range byRegion {
		summarize(r)
		r.CutOff = cut[r.Region]
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b api.RegionRevision) int { return cmp.Compare(a.Region, b.Region) })
	return out
}

// cutOff returns the regions that this instance's region can't reach.
func (s *Server) cutOff() map[model.Region]bool {
	out := make(map[model.Region]bool)
	s.Board.Each(fleet.FactPartition, func(f fleet.Fact) {
		if v, err := fleet.DecodePartition(f); err == nil && v.From == s.Location.Region {
			out[v.To] = v.Partitioned
		}
	})
	return out
}

func summarize(r *api.RegionRevision) {
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

// reports returns the newest report of each instance, this one included.
func (s *Server) reports() map[model.InstanceID]fleet.RevisionValue {
	out := make(map[model.InstanceID]fleet.RevisionValue)
	s.Board.Each(fleet.FactRevision, func(f fleet.Fact) {
		if v, err := fleet.DecodeRevision(f); err == nil {
			out[model.InstanceID(f.Key)] = v
		}
	})
	out[s.Instance] = fleet.RevisionValue{Revision: s.Config.Revision(), Location: s.Location}
	return out
}

func (s *Server) getStatus(c *gin.Context) {
	reports := s.reports()
	answer := api.Status{
		Instance:    s.Instance,
		Version:     s.Version,
		Ready:       s.Ready(),
		Revision:    s.Config.Revision(),
		Members:     []api.Member{},
		Services:    s.services(),
		Quarantined: len(s.quarantined()),
		Exceptions:  s.exceptions(),
	}
	for _, m := range s.Members.Live() {
		answer.Members = append(answer.Members, api.Member{
			Instance: m.ID, Location: m.Location, OperatorAddr: m.OperatorAddr, Leaving: m.Leaving,
			Revision: reports[m.ID].Revision,
		})
	}
	slices.SortFunc(answer.Members, func(a, b api.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	c.JSON(http.StatusOK, answer)
}

func (s *Server) services() []api.Service {
	out := []api.Service{}
	snapshot := s.Config.Current()
	if snapshot == nil {
		return out
	}
	table := s.Table.Snapshot()
	for name, service := range snapshot.Document.Services {
		row := api.Service{Service: name, Class: service.Class}
		if pool := table.Pool(name); pool != nil {
			count(&row, pool)
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b api.Service) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func count(row *api.Service, pool *routing.Pool) {
	for _, e := range pool.Endpoints {
		row.Targets++
		row.InFlight += e.Load.InFlight()
		switch e.State {
		case routing.Draining:
			row.Draining++
		case routing.Ejected:
			row.Ejected++
		default:
			row.Usable++
		}
	}
}

func (s *Server) exceptions() []api.Exception {
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
	filter, err := ParseFilter(c.Request.URL.Query().Get)
	if err != nil {
		fail(c, http.StatusBadRequest, api.CodeBadRequest, err.Error())
		return
	}
	c.JSON(http.StatusOK, api.Timeline{Instance: s.Instance, Events: filter.Select(s.Ring.Snapshot())})
}

// FilterError reports a filter value that can't be read.
type FilterError struct {
	Name  string
	Value string
	Want  string
}

func (e *FilterError) Error() string {
	return e.Name + ": " + strconv.Quote(e.Value) + " is not " + e.Want
}

// ParseFilter reads a filter from query parameters or flags of the same names.
// It returns *FilterError.
func ParseFilter(get func(name string) string) (events.Filter, error) {
	f := events.Filter{
		Request: model.RequestID(get("request")),
		Service: model.ServiceName(get("service")),
		Target:  model.TargetID(get("target")),
		Kind:    events.Kind(get("kind")),
	}
	if text := get("revision"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return f, &FilterError{Name: "revision", Value: text, Want: "a whole number"}
		}
		f.Revision = model.Revision(n)
	}
	if text := get("since"); text != "" {
		since, err := parseSince(text, time.Now())
		if err != nil {
			return f, &FilterError{Name: "since", Value: text, Want: "a duration such as 10m or a time such as 2026-12-24T18:00:00Z"}
		}
		f.Since = since
	}
	return f, nil
}

func parseSince(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	return time.Parse(time.RFC3339, text)
}
