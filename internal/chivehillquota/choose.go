package chivehillquota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// maxCandidates is how many hosts of a region may be its owner at a time. A host that
// reaches none of them is its own, before it has tried all hosts of the region.
const maxCandidates = 4

// Choose returns the host of a region that should be its owner. Candidates are the hosts
// with the highest capacity, of equal ones those that a hash orders first; the first of
// them that usable accepts is chosen.
func Choose(hosts []chivehillcatalog.Host, region chivehillid.RegionID, usable func(chivehillid.HostID) bool) (owner chivehillcatalog.Host, found bool) {
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(h chivehillcatalog.Host) bool { return h.Region != region })
	slices.SortFunc(candidates, compareOwners)
	for _, h := range candidates[:min(maxCandidates, len(candidates))] {
		if usable(h.ID) {
			return h, true
		}
	}
	return chivehillcatalog.Host{}, false
}

func compareOwners(a, b chivehillcatalog.Host) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(ownerHash(a.ID), ownerHash(b.ID)), cmp.Compare(a.ID, b.ID))
}

// ownerHash differs from the hash by which the relay chooses leaders, so that one host
// does not get both tasks.
func ownerHash(id chivehillid.HostID) uint64 { return xxhash.Sum64String("quota/" + string(id)) }

// Share returns the part of each quota that a host may use or commit: equal parts of the
// registered hosts. A host that is not registered, or has not listed the hosts, has none.
func Share(self chivehillid.HostID, registered map[chivehillid.HostID]chivehillcatalog.Host) float64 {
	if _, found := registered[self]; !found {
		return 0
	}
	return 1 / float64(len(registered))
}
