// Package chivehillnote applies release notes to the configuration.
package chivehillnote

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// maxAppliedNotes is the number of accepted notes that the configuration
// remembers, so that a note applied again finds itself.
const maxAppliedNotes = 2000

// ConflictError is a refusal because an item is not at the state that the
// author of the note expected.
type ConflictError struct {
	Item     string
	Expected string
	Actual   string
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("%s: expected %s, but %s", e.Item, e.Expected, e.Actual)
}

// AppliedVersion returns the version that a note made, if it was accepted before.
func AppliedVersion(c chivehillwire.Configuration, id chivehillid.NoteID) (chivehillid.Version, bool) {
	for _, a := range c.AppliedNotes {
		if a.Note == id {
			return a.Version, true
		}
	}
	return 0, false
}

// Apply returns the configuration with the note applied. Either all items
// take effect or none. The argument is not changed.
func Apply(c chivehillwire.Configuration, n chivehillwire.Note, topology []chivehillwire.TopologyRegion) (chivehillwire.Configuration, error) {
	if err := CheckNote(n); err != nil {
		return c, err
	}
	next := clone(c)
	next.Version++
	for _, w := range n.Withdrawn {
		if err := withdraw(&next, w); err != nil {
			return c, err
		}
	}
	for _, i := range n.Changed {
		if err := put(&next, i, false); err != nil {
			return c, err
		}
	}
	for _, i := range n.Added {
		if err := put(&next, i, true); err != nil {
			return c, err
		}
	}
	if err := CheckConfiguration(next, topology); err != nil {
		return c, err
	}
	next.AppliedNotes = append(next.AppliedNotes, chivehillwire.AppliedNote{Note: n.Note, Version: next.Version})
	if extra := len(next.AppliedNotes) - maxAppliedNotes; extra > 0 {
		next.AppliedNotes = slices.Clone(next.AppliedNotes[extra:])
	}
	return next, nil
}

func clone(c chivehillwire.Configuration) chivehillwire.Configuration {
	c.Services = slices.Clone(c.Services)
	c.Routes = slices.Clone(c.Routes)
	c.Pools = slices.Clone(c.Pools)
	c.RegionRules = slices.Clone(c.RegionRules)
	c.DomainsOut = slices.Clone(c.DomainsOut)
	c.AppliedNotes = slices.Clone(c.AppliedNotes)
	return c
}

// Kinds of items.
const (
	KindService    = "service"
	KindRoute      = "route"
	KindPool       = "pool"
	KindRegionRule = "region-rule"
	KindDomainOut  = "domain-out"
)

// accessor reads and makes the entries of one kind of item.
type accessor[E, S any] struct {
	kind    string
	name    func(E) string
	version func(E) chivehillid.Version
	entry   func(S, chivehillid.Version) E
}

var (
	services = accessor[chivehillwire.ServiceEntry, chivehillwire.ServiceSpec]{
		kind:    KindService,
		name:    func(e chivehillwire.ServiceEntry) string { return string(e.Spec.Service) },
		version: func(e chivehillwire.ServiceEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.ServiceSpec, v chivehillid.Version) chivehillwire.ServiceEntry {
			return chivehillwire.ServiceEntry{Spec: s, Version: v}
		},
	}
	routes = accessor[chivehillwire.RouteEntry, chivehillwire.RouteSpec]{
		kind:    KindRoute,
		name:    func(e chivehillwire.RouteEntry) string { return string(e.Spec.Route) },
		version: func(e chivehillwire.RouteEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.RouteSpec, v chivehillid.Version) chivehillwire.RouteEntry {
			return chivehillwire.RouteEntry{Spec: s, Version: v}
		},
	}
	pools = accessor[chivehillwire.PoolEntry, chivehillwire.PoolSpec]{
		kind:    KindPool,
		name:    func(e chivehillwire.PoolEntry) string { return string(e.Spec.Pool) },
		version: func(e chivehillwire.PoolEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.PoolSpec, v chivehillid.Version) chivehillwire.PoolEntry {
			return chivehillwire.PoolEntry{Spec: s, Version: v}
		},
	}
	rules = accessor[chivehillwire.RuleEntry, chivehillwire.RegionRule]{
		kind:    KindRegionRule,
		name:    func(e chivehillwire.RuleEntry) string { return e.Spec.Rule },
		version: func(e chivehillwire.RuleEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.RegionRule, v chivehillid.Version) chivehillwire.RuleEntry {
			return chivehillwire.RuleEntry{Spec: s, Version: v}
		},
	}
	domainsOut = accessor[chivehillwire.DomainEntry, chivehillwire.DomainOut]{
		kind:    KindDomainOut,
		name:    func(e chivehillwire.DomainEntry) string { return string(e.Spec.FailureDomain) },
		version: func(e chivehillwire.DomainEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.DomainOut, v chivehillid.Version) chivehillwire.DomainEntry {
			return chivehillwire.DomainEntry{Spec: s, Version: v}
		},
	}
)

// find returns the position of a name in the sorted entries.
func (a accessor[E, S]) find(entries []E, name string) (int, bool) {
	return slices.BinarySearchFunc(entries, name, func(e E, n string) int { return cmp.Compare(a.name(e), n) })
}

// put adds or replaces one entry.
func (a accessor[E, S]) put(entries *[]E, spec S, version, expect chivehillid.Version, adds bool) error {
	e := a.entry(spec, version)
	name := a.name(e)
	item := a.kind + " " + name
	at, found := a.find(*entries, name)
	switch {
	case adds && found:
		return ConflictError{Item: item, Expected: "no such item", Actual: "it exists at version " + fmt.Sprint(a.version((*entries)[at]))}
	case adds:
		*entries = slices.Insert(*entries, at, e)
		return nil
	case !found:
		return ConflictError{Item: item, Expected: "an item at version " + fmt.Sprint(expect), Actual: "it does not exist"}
	case a.version((*entries)[at]) != expect:
		return a.versionConflict(item, expect, (*entries)[at])
	}
	(*entries)[at] = e
	return nil
}

// remove takes one entry away.
func (a accessor[E, S]) remove(entries *[]E, w chivehillwire.Withdrawal) error {
	item := a.kind + " " + w.Name
	at, found := a.find(*entries, w.Name)
	if !found {
		return ConflictError{Item: item, Expected: "an item at version " + fmt.Sprint(w.ExpectVersion), Actual: "it does not exist"}
	}
	if a.version((*entries)[at]) != w.ExpectVersion {
		return a.versionConflict(item, w.ExpectVersion, (*entries)[at])
	}
	*entries = slices.Delete(*entries, at, at+1)
	return nil
}

func (a accessor[E, S]) versionConflict(item string, expect chivehillid.Version, e E) error {
	return ConflictError{
		Item: item, Expected: "version " + fmt.Sprint(expect),
		Actual: "it changed at version " + fmt.Sprint(a.version(e)),
	}
}

func put(c *chivehillwire.Configuration, i chivehillwire.NoteItem, adds bool) error {
	switch {
	case i.Service != nil:
		return services.put(&c.Services, *i.Service, c.Version, i.ExpectVersion, adds)
	case i.Route != nil:
		return routes.put(&c.Routes, *i.Route, c.Version, i.ExpectVersion, adds)
	case i.Pool != nil:
		return pools.put(&c.Pools, *i.Pool, c.Version, i.ExpectVersion, adds)
	case i.RegionRule != nil:
		return rules.put(&c.RegionRules, *i.RegionRule, c.Version, i.ExpectVersion, adds)
	}
	return domainsOut.put(&c.DomainsOut, *i.DomainOut, c.Version, i.ExpectVersion, adds)
}

func withdraw(c *chivehillwire.Configuration, w chivehillwire.Withdrawal) error {
	switch w.Kind {
	case KindService:
		return services.remove(&c.Services, w)
	case KindRoute:
		return routes.remove(&c.Routes, w)
	case KindPool:
		return pools.remove(&c.Pools, w)
	case KindRegionRule:
		return rules.remove(&c.RegionRules, w)
	}
	return domainsOut.remove(&c.DomainsOut, w)
}
