package chivehillnote

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

var topology = []chivehillwire.TopologyRegion{{Region: "east", FailureDomains: []chivehillid.DomainID{"east-a"}}}

func pool(address string) *chivehillwire.PoolSpec {
	return &chivehillwire.PoolSpec{Pool: "pool", Servers: []chivehillwire.ServerSpec{
		{Server: "s1", Address: address, FailureDomain: "east-a", Slots: 2},
	}}
}

func baseConfiguration(c *qt.C) chivehillwire.Configuration {
	next, err := Apply(chivehillwire.Configuration{}, chivehillwire.Note{Note: "base", Added: []chivehillwire.NoteItem{
		{Service: &chivehillwire.ServiceSpec{Service: "service"}},
		{Pool: pool("127.0.0.1:1")},
		{Route: &chivehillwire.RouteSpec{Route: "route", Service: "service", PathPrefix: "/a", Pool: "pool", DeadlineMs: 100}},
	}}, topology)
	c.Assert(err, qt.IsNil)
	return next
}

func TestApply(t *testing.T) {
	tests := []struct {
		name string
		note chivehillwire.Note
		want string
	}{
		{"pool changed", chivehillwire.Note{Note: "n", Changed: []chivehillwire.NoteItem{{Pool: pool("127.0.0.1:2"), ExpectVersion: 1}}}, ""},
		{"failure domain taken out of service", chivehillwire.Note{Note: "n", Added: []chivehillwire.NoteItem{{DomainOut: &chivehillwire.DomainOut{FailureDomain: "east-a"}}}}, ""},
		{"changed at a stale version", chivehillwire.Note{Note: "n", Changed: []chivehillwire.NoteItem{{Pool: pool("127.0.0.1:2"), ExpectVersion: 7}}}, "pool pool: expected version 7, but it changed at version 1"},
		{"added item that exists", chivehillwire.Note{Note: "n", Added: []chivehillwire.NoteItem{{Pool: pool("127.0.0.1:2")}}}, "pool pool: expected no such item, but it exists at version 1"},
		{"withdrawn pool that a route uses", chivehillwire.Note{Note: "n", Withdrawn: []chivehillwire.Withdrawal{{Kind: KindPool, Name: "pool", ExpectVersion: 1}}}, `route route pool is "pool"; allowed: a pool of the configuration`},
		{"withdrawn item that does not exist", chivehillwire.Note{Note: "n", Withdrawn: []chivehillwire.Withdrawal{{Kind: KindRoute, Name: "x"}}}, "route x: expected an item at version 0, but it does not exist"},
		{"unknown failure domain", chivehillwire.Note{Note: "n", Added: []chivehillwire.NoteItem{{DomainOut: &chivehillwire.DomainOut{FailureDomain: "x"}}}}, `domain-out failure-domain is "x"; allowed: a failure domain of the topology`},
		{"server address is a host name", chivehillwire.Note{Note: "n", Changed: []chivehillwire.NoteItem{{Pool: pool("server:1"), ExpectVersion: 1}}}, `pool pool server s1 address is "server:1"; allowed: an IP address`},
		{"item of two kinds", chivehillwire.Note{Note: "n", Added: []chivehillwire.NoteItem{{Pool: pool("127.0.0.1:2"), Service: &chivehillwire.ServiceSpec{}}}}, "exactly one of"},
		{"note without items", chivehillwire.Note{Note: "n"}, "number of items"},
		{"region rule without route and tenant", chivehillwire.Note{Note: "n", Added: []chivehillwire.NoteItem{{RegionRule: &chivehillwire.RegionRule{Rule: "r", Regions: []chivehillid.RegionID{"east"}}}}}, "exactly one of route and tenant"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			before := baseConfiguration(c)
			after, err := Apply(before, tt.note, topology)
			if tt.want == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(after.Version, qt.Equals, before.Version+1)
				version, applied := AppliedVersion(after, "n")
				c.Assert(applied, qt.IsTrue)
				c.Assert(version, qt.Equals, after.Version)
				return
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Error(), qt.Contains, tt.want)
			c.Assert(after, qt.DeepEquals, before, qt.Commentf("a rejected note changes nothing"))
		})
	}
}

func TestApplyReturnsConflictError(t *testing.T) {
	c := qt.New(t)
	_, err := Apply(baseConfiguration(c), chivehillwire.Note{Note: "n", Changed: []chivehillwire.NoteItem{{Pool: pool("127.0.0.1:2")}}}, topology)
	var conflict ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Item, qt.Equals, "pool pool")
}
