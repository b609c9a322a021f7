// Package chivehilldirectory selects the hosts that a caller should use.
package chivehilldirectory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// maxHosts is the maximum number of hosts in one answer.
const maxHosts = 64

// Query is a lookup by a caller: the hostname that it wants to reach and where it runs.
type Query struct {
	Hostname string
	Region   chivehillid.RegionID
	Domain   chivehillid.DomainID
}

// Choose returns the hosts that a caller should use: the live hosts of its failure
// domain, or of its region if there are none, or else of the regions that all
// routes of the hostname allow.
func Choose(q Query, live []chivehillcatalog.Host, routes []chivehillcatalog.Route) []chivehillcatalog.Host {
	for _, matches := range []func(chivehillcatalog.Host) bool{
		func(h chivehillcatalog.Host) bool { return h.Domain == q.Domain },
		func(h chivehillcatalog.Host) bool { return h.Region == q.Region },
		func(h chivehillcatalog.Host) bool { return allowed(h.Region, routes) },
	} {
		var chosen []chivehillcatalog.Host
		for _, h := range live {
			if matches(h) {
				chosen = append(chosen, h)
			}
		}
		if len(chosen) > 0 {
			return limit(chosen, q.Domain)
		}
	}
	return nil
}

// limit returns at most maxHosts hosts, sorted by ID. Callers of different failure domains
// are given different ones, so that no host gets the callers of all of them.
func limit(hosts []chivehillcatalog.Host, callers chivehillid.DomainID) []chivehillcatalog.Host {
	if len(hosts) > maxHosts {
		slices.SortFunc(hosts, func(a, b chivehillcatalog.Host) int { return cmp.Compare(rank(a.ID, callers), rank(b.ID, callers)) })
		hosts = hosts[:maxHosts]
	}
	slices.SortFunc(hosts, func(a, b chivehillcatalog.Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

func rank(id chivehillid.HostID, callers chivehillid.DomainID) uint64 {
	return xxhash.Sum64String(string(callers) + "/" + string(id))
}

// allowed reports whether all routes may be served in a region.
func allowed(region chivehillid.RegionID, routes []chivehillcatalog.Route) bool {
	for _, r := range routes {
		if !r.Regions.Allows(region) {
			return false
		}
	}
	return true
}
