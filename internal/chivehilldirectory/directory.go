// Package chivehilldirectory decides which hosts a caller is told to use.
package chivehilldirectory

import (
	"cmp"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// maxAddresses is the most hosts named in one answer.
const maxAddresses = 64

// Query is the question of a caller.
type Query struct {
	Hostname string
	Region   chivehillid.RegionID
	Domain   chivehillid.DomainID
}

// Choose returns the hosts that a caller should use: the live ones of its
// failure domain, else of its region, else of the regions that the routes of
// the name allow.
func Choose(q Query, live []chivehillcatalog.Host, routes []chivehillcatalog.Route) []chivehillcatalog.Host {
	for _, fits := range []func(chivehillcatalog.Host) bool{
		func(h chivehillcatalog.Host) bool { return h.Domain == q.Domain },
		func(h chivehillcatalog.Host) bool { return h.Region == q.Region },
		func(h chivehillcatalog.Host) bool { return allowed(h.Region, routes) },
	} {
		var chosen []chivehillcatalog.Host
		for _, h := range live {
			if fits(h) {
				chosen = append(chosen, h)
			}
		}
		if len(chosen) > 0 {
			slices.SortFunc(chosen, func(a, b chivehillcatalog.Host) int { return cmp.Compare(a.ID, b.ID) })
			return chosen[:min(len(chosen), maxAddresses)]
		}
	}
	return nil
}

// allowed reports whether every route of a name may be served in a region.
func allowed(region chivehillid.RegionID, routes []chivehillcatalog.Route) bool {
	for _, r := range routes {
		if !r.Regions.Allows(region) {
			return false
		}
	}
	return true
}
