// Package chivehillregion defines the set of regions in which a request may be
// processed, transmitted and stored.
package chivehillregion

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Set is a set of allowed regions. The zero value allows no region, so a request
// whose region rules were not looked up is not sent anywhere.
type Set struct {
	all bool
	// regions is sorted and has no duplicates. It is empty when all is set.
	regions []chivehillid.RegionID
}

// Everywhere returns the set of all regions.
func Everywhere() Set {
	return Set{all: true}
}

// Only returns the set of the given regions.
func Only(regions ...chivehillid.RegionID) Set {
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Set{regions: slices.Compact(sorted)}
}

// Allows reports whether the request may be processed, transmitted or stored in
// region.
func (s Set) Allows(region chivehillid.RegionID) bool {
	if s.all {
		return true
	}
	_, found := slices.BinarySearch(s.regions, region)
	return found
}

// Restricted reports whether the set excludes any region.
func (s Set) Restricted() bool {
	return !s.all
}

// Intersect returns the set of regions that both sets allow.
func (s Set) Intersect(other Set) Set {
	if s.all {
		return other
	}
	if other.all {
		return s
	}
	var common []chivehillid.RegionID
	for _, r := range s.regions {
		if other.Allows(r) {
			common = append(common, r)
		}
	}
	return Set{regions: common}
}
