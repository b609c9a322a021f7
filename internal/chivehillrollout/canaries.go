package chivehillrollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Sample returns a part of the servers in each failure domain, one at least. All hosts choose
// the same ones.
func Sample(servers []chivehillcatalog.Server, part float64) map[chivehillid.ServerID]bool {
	byDomain := make(map[chivehillid.DomainID][]chivehillid.ServerID)
	for _, e := range servers {
		byDomain[e.Domain] = append(byDomain[e.Domain], e.ID)
	}
	sample := make(map[chivehillid.ServerID]bool)
	for _, ids := range byDomain {
		slices.SortFunc(ids, func(a, b chivehillid.ServerID) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
		})
		size := int(math.Ceil(part * float64(len(ids))))
		for _, id := range ids[:min(len(ids), max(1, size))] {
			sample[id] = true
		}
	}
	return sample
}
