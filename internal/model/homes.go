package model

import "slices"

// Homes are the regions in which a request may be served. The zero value means all regions.
// Homes are immutable.
type Homes struct {
	restricted bool
	// regions are sorted and distinct.
	regions []Region
}

// NewHomes returns the homes that consist of the given regions; none means all regions.
func NewHomes(regions []Region) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	return Homes{restricted: true, regions: slices.Compact(slices.Sorted(slices.Values(regions)))}
}

// Allows reports whether requests may be served in a region.
func (h Homes) Allows(r Region) bool { return !h.restricted || slices.Contains(h.regions, r) }

// Empty reports whether no region is left.
func (h Homes) Empty() bool { return h.restricted && len(h.regions) == 0 }

// Restricted reports whether some regions are excluded.
func (h Homes) Restricted() bool { return h.restricted }

// Regions returns the allowed regions in order, or none if all are. They must not be changed.
func (h Homes) Regions() []Region { return h.regions }

// Intersect returns the regions that both allow.
func (h Homes) Intersect(other Homes) Homes {
	switch {
	case !h.restricted:
		return other
	case !other.restricted:
		return h
	}
	return Homes{restricted: true, regions: slices.DeleteFunc(slices.Clone(h.regions), func(r Region) bool { return !other.Allows(r) })}
}
