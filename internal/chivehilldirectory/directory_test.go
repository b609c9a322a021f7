package chivehilldirectory

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
)

func TestChoosePrefersTheNearestAllowedHosts(t *testing.T) {
	host := func(id chivehillid.HostID, domain chivehillid.DomainID, region chivehillid.RegionID) chivehillcatalog.Host {
		return chivehillcatalog.Host{ID: id, Domain: domain, Region: region}
	}
	a, b, c := host("a", "e1", "e"), host("b", "e2", "e"), host("c", "w1", "w")
	regional := []chivehillcatalog.Route{{Regions: chivehillregion.Only("e")}}
	unrestricted := []chivehillcatalog.Route{{Regions: chivehillregion.Everywhere()}}
	tests := []struct {
		rule   string
		live   []chivehillcatalog.Host
		routes []chivehillcatalog.Route
		want   []chivehillcatalog.Host
	}{
		{"hosts of the failure domain first", []chivehillcatalog.Host{c, b, a}, unrestricted, []chivehillcatalog.Host{a}},
		{"then hosts of the region", []chivehillcatalog.Host{c, b}, unrestricted, []chivehillcatalog.Host{b}},
		{"then hosts of an allowed region", []chivehillcatalog.Host{c}, unrestricted, []chivehillcatalog.Host{c}},
		{"no host of a region that a route forbids", []chivehillcatalog.Host{c}, regional, nil},
		{"no live hosts", nil, unrestricted, nil},
	}
	for _, tt := range tests {
		got := Choose(Query{Hostname: "h", Region: "e", Domain: "e1"}, tt.live, tt.routes)
		qt.Check(t, got, qt.DeepEquals, tt.want, qt.Commentf("%s", tt.rule))
	}
}

// TestCallersOfAllDomainsAreSentToTheSameHosts asks for callers of failure domains without
// hosts, in a region with more hosts than an answer names.
func TestCallersOfAllDomainsAreSentToTheSameHosts(t *testing.T) {
	const hosts, domains = 150, 20
	var live []chivehillcatalog.Host
	for i := range hosts {
		live = append(live, chivehillcatalog.Host{ID: chivehillid.HostID(fmt.Sprintf("h-%03d", i)), Domain: "e1", Region: "e"})
	}
	named := make(map[chivehillid.HostID]int)
	for i := range domains {
		q := Query{Hostname: "h", Region: "e", Domain: chivehillid.DomainID(fmt.Sprintf("lost-%d", i))}
		chosen := Choose(q, live, nil)
		qt.Assert(t, chosen, qt.HasLen, maxHosts)
		qt.Assert(t, chosen, qt.DeepEquals, Choose(q, live, nil), qt.Commentf("an answer does not change without need"))
		for _, h := range chosen {
			named[h.ID]++
		}
	}
	qt.Assert(t, named, qt.HasLen, hosts, qt.Commentf("each host is named to some callers"))
	for id, n := range named {
		qt.Check(t, n < domains, qt.IsTrue, qt.Commentf("host %s is named to all callers", id))
	}
}
