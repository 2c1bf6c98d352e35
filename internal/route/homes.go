package route

import "redwingpoint.org/redwingpoint/internal/model"

// RequestHomes returns the homes of a request that matches a rule and is sent on behalf of
// an organisation, which may be nil. Those of both bind.
func RequestHomes(r *Rule, o *Organisation) model.Homes {
	homes := model.NewHomes(r.Homes)
	if o != nil {
		homes = homes.Intersect(model.NewHomes(o.Homes))
	}
	return homes
}

// Homes returns the homes of a request by host, path and the name of its organisation, which
// may be empty. What the table doesn't know doesn't bind.
func (t *Table) Homes(host, path string, organisation model.OrganisationName) (homes model.Homes) {
	if r := t.Match(host, path); r != nil {
		homes = model.NewHomes(r.Homes)
	}
	for i := range t.organisations {
		if o := &t.organisations[i]; o.Name == organisation && organisation != "" {
			homes = homes.Intersect(model.NewHomes(o.Homes))
		}
	}
	return homes
}

// HomeRegions returns each region that is a home of a rule or an organisation.
func (t *Table) HomeRegions() map[model.Region]bool {
	regions := make(map[model.Region]bool)
	for _, rules := range t.hosts {
		for _, r := range rules {
			addRegions(regions, r.Homes)
		}
	}
	for i := range t.organisations {
		addRegions(regions, t.organisations[i].Homes)
	}
	return regions
}

func addRegions(to map[model.Region]bool, list []model.Region) {
	for _, r := range list {
		to[r] = true
	}
}
