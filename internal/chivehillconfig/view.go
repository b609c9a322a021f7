// Package chivehillconfig provides indexed lookups in the configuration in force.
package chivehillconfig

import (
	"cmp"
	"slices"
	"strings"

	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// View is an immutable index over one version of the configuration.
type View struct {
	// Configuration must not be modified after the view was created.
	Configuration chivehillwire.Configuration
	// routes is sorted by descending length of the path prefix; among routes with
	// the same prefix, those of a tenant come first.
	routes      []chivehillwire.RouteSpec
	pools       map[chivehillid.PoolID]chivehillwire.PoolSpec
	servers     map[chivehillid.ServerID]chivehillwire.ServerSpec
	routeRules  map[chivehillid.RouteID]chivehillregion.Set
	tenantRules map[chivehillid.TenantID]chivehillregion.Set
	domainsOut  map[chivehillid.DomainID]bool
}

// NewView returns a view of a configuration.
func NewView(c chivehillwire.Configuration) *View {
	v := &View{
		Configuration: c,
		pools:         make(map[chivehillid.PoolID]chivehillwire.PoolSpec),
		servers:       make(map[chivehillid.ServerID]chivehillwire.ServerSpec),
		routeRules:    make(map[chivehillid.RouteID]chivehillregion.Set),
		tenantRules:   make(map[chivehillid.TenantID]chivehillregion.Set),
		domainsOut:    make(map[chivehillid.DomainID]bool),
	}
	for _, r := range c.Routes {
		v.routes = append(v.routes, r.Spec)
	}
	slices.SortStableFunc(v.routes, func(a, b chivehillwire.RouteSpec) int {
		return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(len(b.Tenant), len(a.Tenant)))
	})
	for _, p := range c.Pools {
		v.pools[p.Spec.Pool] = p.Spec
		for _, s := range p.Spec.Servers {
			v.servers[s.Server] = s
		}
	}
	for _, r := range c.RegionRules {
		v.addRegionRule(r.Spec)
	}
	for _, d := range c.DomainsOut {
		v.domainsOut[d.Spec.FailureDomain] = true
	}
	return v
}

func (v *View) addRegionRule(r chivehillwire.RegionRule) {
	set := chivehillregion.Only(r.Regions...)
	if r.Route != "" {
		old, found := v.routeRules[r.Route]
		if found {
			set = set.Intersect(old)
		}
		v.routeRules[r.Route] = set
		return
	}
	old, found := v.tenantRules[r.Tenant]
	if found {
		set = set.Intersect(old)
	}
	v.tenantRules[r.Tenant] = set
}

// Version returns the version of the configuration.
func (v *View) Version() chivehillid.Version {
	return v.Configuration.Version
}

// Route returns the route for a path and tenant: the one with the longest
// matching prefix. At equal length a route of the tenant takes precedence.
func (v *View) Route(path string, tenant chivehillid.TenantID) (chivehillwire.RouteSpec, bool) {
	for _, r := range v.routes {
		if (r.Tenant == "" || r.Tenant == tenant) && hasPathPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return chivehillwire.RouteSpec{}, false
}

// hasPathPrefix reports whether prefix matches path at a segment boundary.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	if !found {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// Regions returns the regions to which the region rules restrict the requests
// of a route and tenant: where they may be served, sent and stored.
func (v *View) Regions(route chivehillid.RouteID, tenant chivehillid.TenantID) chivehillregion.Set {
	set := chivehillregion.Everywhere()
	if r, found := v.routeRules[route]; found {
		set = set.Intersect(r)
	}
	if t, found := v.tenantRules[tenant]; found {
		set = set.Intersect(t)
	}
	return set
}

// Pool returns the specification of a pool, if it is configured.
func (v *View) Pool(id chivehillid.PoolID) (chivehillwire.PoolSpec, bool) {
	p, found := v.pools[id]
	return p, found
}

// Server returns the specification of a server, if it is configured.
func (v *View) Server(id chivehillid.ServerID) (chivehillwire.ServerSpec, bool) {
	s, found := v.servers[id]
	return s, found
}

// DomainOut reports whether a failure domain is out of service.
func (v *View) DomainOut(id chivehillid.DomainID) bool {
	return v.domainsOut[id]
}

// LongestDeadline returns the longest deadline of the routes of a pool, in milliseconds.
func (v *View) LongestDeadline(id chivehillid.PoolID) (longest int) {
	for _, r := range v.routes {
		if r.Pool == id {
			longest = max(longest, int(r.DeadlineMs))
		}
	}
	return longest
}
