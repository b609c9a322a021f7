// Package chivehillregion carries the regions in which a request may be
// served, sent and stored.
package chivehillregion

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Set is a set of allowed regions. The zero value allows no region, so that a
// request whose rules were never looked up goes nowhere.
type Set struct {
	everywhere bool
	// regions is sorted and free of duplicates. It is empty when everywhere is set.
	regions []chivehillid.RegionID
}

// Everywhere returns the set of all regions.
func Everywhere() Set {
	return Set{everywhere: true}
}

// Only returns the set of the given regions.
func Only(regions ...chivehillid.RegionID) Set {
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Set{regions: slices.Compact(sorted)}
}

// Allows reports whether the request may be served, sent or stored in region.
func (s Set) Allows(region chivehillid.RegionID) bool {
	if s.everywhere {
		return true
	}
	_, found := slices.BinarySearch(s.regions, region)
	return found
}

// Bound reports whether the set excludes any region.
func (s Set) Bound() bool {
	return !s.everywhere
}

// Intersect returns the regions that both sets allow.
func (s Set) Intersect(other Set) Set {
	if s.everywhere {
		return other
	}
	if other.everywhere {
		return s
	}
	var both []chivehillid.RegionID
	for _, r := range s.regions {
		if other.Allows(r) {
			both = append(both, r)
		}
	}
	return Set{regions: both}
}
