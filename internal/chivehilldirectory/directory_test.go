package chivehilldirectory

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
)

func TestChoose(t *testing.T) {
	host := func(id chivehillid.HostID, domain chivehillid.DomainID, region chivehillid.RegionID) chivehillcatalog.Host {
		return chivehillcatalog.Host{ID: id, Domain: domain, Region: region}
	}
	a, b, c := host("a", "e1", "e"), host("b", "e2", "e"), host("c", "w1", "w")
	bound := []chivehillcatalog.Route{{Regions: chivehillregion.Only("e")}}
	free := []chivehillcatalog.Route{{Regions: chivehillregion.Everywhere()}}
	tests := []struct {
		about  string
		live   []chivehillcatalog.Host
		routes []chivehillcatalog.Route
		want   []chivehillcatalog.Host
	}{
		{"of the failure domain", []chivehillcatalog.Host{c, b, a}, free, []chivehillcatalog.Host{a}},
		{"of the region", []chivehillcatalog.Host{c, b}, free, []chivehillcatalog.Host{b}},
		{"of another region", []chivehillcatalog.Host{c}, free, []chivehillcatalog.Host{c}},
		{"of no other region than the routes allow", []chivehillcatalog.Host{c}, bound, nil},
		{"none", nil, free, nil},
	}
	for _, tt := range tests {
		got := Choose(Query{Hostname: "h", Region: "e", Domain: "e1"}, tt.live, tt.routes)
		qt.Check(t, got, qt.DeepEquals, tt.want, qt.Commentf("%s", tt.about))
	}
}
