package dispatch

import (
	"net/http"
	"slices"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// homes returns the homes of the request: those of its rule and its organisation as of its
// arrival, and those of the routes in force now if they have changed since. So a home that
// is taken away binds requests that wait, and one that is added later arrivals alone.
func (f *forwarder) homes() model.Homes {
	homes := route.RequestHomes(f.rule, f.organisation)
	now := f.d.Routes.Current()
	if now == nil || now.Revision == f.revision {
		return homes
	}
	var organisation model.OrganisationName
	if f.organisation != nil {
		organisation = f.organisation.Name
	}
	return homes.Intersect(now.Homes(f.inbound.HTTP.Host, f.inbound.Path, organisation))
}

// lacksHome reports whether no region that exists is one of the homes.
func (f *forwarder) lacksHome(homes model.Homes) bool {
	if !homes.Restricted() {
		return false
	}
	known := func(r model.Region) bool { return len(f.d.Regions) == 0 || f.d.Regions[r] }
	return !slices.ContainsFunc(homes.Regions(), known)
}

// noHomeReply returns the reply to a request that no region may serve: that of the last
// attempt, if any.
func (f *forwarder) noHomeReply(lastFailure localReply, homes model.Homes) *localReply {
	if lastFailure.cause != "" {
		return &lastFailure
	}
	var organisation []model.Region
	if f.organisation != nil {
		organisation = f.organisation.Homes
	}
	f.d.Log.Info("no home", f.logFields(zap.Any("rule_homes", f.rule.Homes), zap.Any("organisation_homes", organisation),
		zap.Any("homes", homes.Regions()))...)
	return &localReply{status: http.StatusServiceUnavailable, cause: CauseNoHome, retryAfter: noHomeRetryAfter}
}
