package chivehillnote

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillfield"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	maxSlots    chivehillid.Slots     = 1000
	maxDeadline chivehillclock.Millis = 60_000
	maxRamp                           = 10_000
	// maxItems is the maximum number of items in one note.
	maxItems = 5000
)

// CheckNote validates a note without the configuration that it applies to.
func CheckNote(n chivehillwire.Note) error {
	errs := []error{chivehillfield.Name("note", n.Note)}
	items := len(n.Added) + len(n.Changed) + len(n.Withdrawn)
	errs = append(errs, chivehillfield.Range("number of items", items, 1, maxItems))
	for i, item := range n.Added {
		errs = append(errs, checkItem(fmt.Sprintf("added[%d]", i), item, true))
	}
	for i, item := range n.Changed {
		errs = append(errs, checkItem(fmt.Sprintf("changed[%d]", i), item, false))
	}
	for i, w := range n.Withdrawn {
		field := fmt.Sprintf("withdrawn[%d].kind", i)
		errs = append(errs, chivehillfield.OneOf(field, w.Kind, KindService, KindRoute, KindPool, KindRegionRule, KindDomainOut))
	}
	return errors.Join(errs...)
}

func checkItem(field string, i chivehillwire.NoteItem, isNew bool) error {
	kinds := 0
	for _, present := range []bool{i.Service != nil, i.Route != nil, i.Pool != nil, i.RegionRule != nil, i.DomainOut != nil} {
		if present {
			kinds++
		}
	}
	if kinds != 1 {
		return chivehillfield.Error{Field: field, Value: fmt.Sprintf("%d kinds of item", kinds), Allowed: "exactly one of service, route, pool, region-rule, domain-out"}
	}
	if isNew && i.ExpectVersion != 0 {
		return chivehillfield.Error{Field: field + ".expect-version", Value: fmt.Sprint(i.ExpectVersion), Allowed: "absent for an added item"}
	}
	return nil
}

// CheckConfiguration validates each item and the references between items.
func CheckConfiguration(c chivehillwire.Configuration, topology []chivehillwire.TopologyRegion) error {
	k := checker{configuration: c, topology: topology, servers: make(map[chivehillid.ServerID]chivehillid.PoolID)}
	for _, e := range c.Services {
		k.addError(chivehillfield.Name("service", e.Spec.Service))
	}
	for _, e := range c.Pools {
		k.checkPool(e.Spec)
	}
	for _, e := range c.Routes {
		k.checkRoute(e.Spec)
	}
	for _, e := range c.RegionRules {
		k.checkRegionRule(e.Spec)
	}
	for _, e := range c.DomainsOut {
		k.checkDomain("domain-out", e.Spec.FailureDomain)
	}
	return errors.Join(k.errs...)
}

// checker collects the validation errors of one configuration.
type checker struct {
	configuration chivehillwire.Configuration
	topology      []chivehillwire.TopologyRegion
	// servers maps each server checked so far to its pool.
	servers map[chivehillid.ServerID]chivehillid.PoolID
	errs    []error
}

func (k *checker) addError(err error) {
	if err != nil {
		k.errs = append(k.errs, err)
	}
}

func (k *checker) checkPool(p chivehillwire.PoolSpec) {
	item := "pool " + string(p.Pool)
	k.addError(chivehillfield.Name(item+" name", p.Pool))
	k.addError(chivehillfield.Range(item+" cold-concurrency", p.ColdConcurrency, 0, int(maxSlots)))
	k.addError(chivehillfield.Range(item+" ramp-successes", p.RampSuccesses, 0, maxRamp))
	k.addError(chivehillfield.Range(item+" cold-concurrency-unconfirmed", p.ColdConcurrencyUnconfirmed, 0, int(maxSlots)))
	for _, s := range p.Servers {
		name := item + " server " + string(s.Server)
		k.addError(chivehillfield.Name(name+" name", s.Server))
		k.addError(chivehillfield.Address(name+" address", s.Address))
		k.addError(chivehillfield.Range(name+" slots", s.Slots, 1, maxSlots))
		k.checkDomain(name, s.FailureDomain)
		if other, found := k.servers[s.Server]; found {
			k.addError(chivehillfield.Error{Field: name, Value: string(s.Server), Allowed: "a name not used by a server of pool " + string(other)})
		}
		k.servers[s.Server] = p.Pool
	}
}

func (k *checker) checkRoute(r chivehillwire.RouteSpec) {
	item := "route " + string(r.Route)
	k.addError(chivehillfield.Name(item+" name", r.Route))
	if r.Tenant != "" {
		k.addError(chivehillfield.Name(item+" tenant", r.Tenant))
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || strings.HasPrefix(r.PathPrefix, "/.chivehill") {
		k.addError(chivehillfield.Error{Field: item + " path-prefix", Value: r.PathPrefix, Allowed: "a path that starts with / and not with /.chivehill"})
	}
	k.addError(chivehillfield.Range(item+" deadline-ms", r.DeadlineMs, 1, maxDeadline))
	if _, found := pools.find(k.configuration.Pools, string(r.Pool)); !found {
		k.addError(chivehillfield.Error{Field: item + " pool", Value: string(r.Pool), Allowed: "a pool of the configuration"})
	}
	if _, found := services.find(k.configuration.Services, string(r.Service)); !found {
		k.addError(chivehillfield.Error{Field: item + " service", Value: string(r.Service), Allowed: "a service of the configuration"})
	}
	for _, e := range k.configuration.Routes {
		o := e.Spec
		if o.Route < r.Route && o.PathPrefix == r.PathPrefix && o.Tenant == r.Tenant {
			k.addError(chivehillfield.Error{Field: item + " path-prefix", Value: r.PathPrefix, Allowed: "a prefix and tenant not used by route " + string(o.Route)})
		}
	}
}

func (k *checker) checkRegionRule(r chivehillwire.RegionRule) {
	item := "region-rule " + r.Rule
	k.addError(chivehillfield.Name(item+" name", r.Rule))
	if (r.Route == "") == (r.Tenant == "") {
		k.addError(chivehillfield.Error{Field: item, Value: fmt.Sprintf("route %q, tenant %q", r.Route, r.Tenant), Allowed: "exactly one of route and tenant"})
	}
	if r.Route != "" {
		if _, found := routes.find(k.configuration.Routes, string(r.Route)); !found {
			k.addError(chivehillfield.Error{Field: item + " route", Value: string(r.Route), Allowed: "a route of the configuration"})
		}
	}
	if len(r.Regions) == 0 {
		k.addError(chivehillfield.Error{Field: item + " regions", Value: "", Allowed: "at least one region"})
	}
	for _, region := range r.Regions {
		if !slices.ContainsFunc(k.topology, func(t chivehillwire.TopologyRegion) bool { return t.Region == region }) {
			k.addError(chivehillfield.Error{Field: item + " regions", Value: string(region), Allowed: "a region of the topology"})
		}
	}
}

func (k *checker) checkDomain(item string, d chivehillid.DomainID) {
	if _, found := RegionOf(k.topology, d); !found {
		k.addError(chivehillfield.Error{Field: item + " failure-domain", Value: string(d), Allowed: "a failure domain of the topology"})
	}
}

// RegionOf returns the region of a failure domain.
func RegionOf(topology []chivehillwire.TopologyRegion, d chivehillid.DomainID) (chivehillid.RegionID, bool) {
	for _, t := range topology {
		if slices.Contains(t.FailureDomains, d) {
			return t.Region, true
		}
	}
	return "", false
}
