package config

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Change is one difference in the effective configuration of a service.
type Change struct {
	Service model.ServiceName `json:"service"`
	// Region is empty if the change applies to every region.
	Region model.Region `json:"region,omitempty"`
	Field  string       `json:"field"`
	// From and To are the old and the new value, formatted as text; empty means
	// that the service is not declared.
	From string `json:"from"`
	To   string `json:"to"`
}

// Changes returns the differences in effective configuration between old and next,
// sorted by service. For each service the changes that apply to every region come
// first, then the regional ones that differ from them.
func Changes(old, next *Document, now time.Time) []Change {
	var out []Change
	for _, service := range serviceUnion(old, next) {
		general := changesAt(service, "", old, next, now)
		out = append(out, general...)
		for _, region := range regionUnion(old, next) {
			for _, c := range changesAt(service, region, old, next, now) {
				if !isGeneral(general, c) {
					out = append(out, c)
				}
			}
		}
	}
	return out
}

func isGeneral(general []Change, c Change) bool {
	c.Region = ""
	return slices.Contains(general, c)
}

func changesAt(service model.ServiceName, region model.Region, old, next *Document, now time.Time) []Change {
	from := old.effectiveValues(service, region, now)
	to := next.effectiveValues(service, region, now)
	var out []Change
	for _, field := range effectiveFields {
		if from[field] != to[field] {
			out = append(out, Change{service, region, field, from[field], to[field]})
		}
	}
	return out
}

// effectiveFields are the fields of a policy in the order in which Changes reports them.
var effectiveFields = []string{
	"class", "deadline", "progressTimeout", "hedgeQuantile", "hedgeBudget", "retryBudget", "requireKey",
	"keyRetention", "queueLimit", "heldBody", "crossRegionBytes", "tailWeight",
}

// effectiveValues returns the formatted policy values by field, or nil if the
// service is not declared.
func (d *Document) effectiveValues(service model.ServiceName, region model.Region, now time.Time) map[string]string {
	p, ok := d.Resolve(service, model.Location{Region: region}, now)
	if !ok {
		return nil
	}
	return map[string]string{
		"class":            p.Class.String(),
		"deadline":         p.Deadline.String(),
		"progressTimeout":  p.ProgressTimeout.String(),
		"hedgeQuantile":    formatFloat(p.HedgeQuantile),
		"hedgeBudget":      formatFloat(p.HedgeBudget),
		"retryBudget":      formatFloat(p.RetryBudget),
		"requireKey":       strconv.FormatBool(p.RequireKey),
		"keyRetention":     p.KeyRetention.String(),
		"queueLimit":       strconv.Itoa(p.QueueLimit),
		"heldBody":         strconv.Itoa(p.HeldBody),
		"crossRegionBytes": strconv.Itoa(p.CrossRegionBytes),
		"tailWeight":       formatFloat(p.TailWeight),
	}
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func serviceUnion(a, b *Document) []model.ServiceName {
	union := maps.Clone(b.Services)
	if union == nil {
		union = make(map[model.ServiceName]Service)
	}
	maps.Copy(union, a.Services)
	return slices.Sorted(maps.Keys(union))
}

func regionUnion(a, b *Document) []model.Region {
	out := append(a.Regions(), b.Regions()...)
	slices.Sort(out)
	return slices.Compact(out)
}
