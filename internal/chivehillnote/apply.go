// Package chivehillnote applies release notes to the configuration.
package chivehillnote

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// maxAppliedNotes is the number of applied notes that the configuration
// records, so that a note that is sent again is recognized as applied.
const maxAppliedNotes = 2000

// ConflictError reports that an item is not in the state that the author of
// the note expected.
type ConflictError struct {
	Item     string
	Expected string
	Actual   string
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("%s: expected %s, but %s", e.Item, e.Expected, e.Actual)
}

// AppliedVersion returns the configuration version that a note produced, if it
// was applied before.
func AppliedVersion(c chivehillwire.Configuration, id chivehillid.NoteID) (chivehillid.Version, bool) {
	for _, a := range c.AppliedNotes {
		if a.Note == id {
			return a.Version, true
		}
	}
	return 0, false
}

// Apply returns the configuration with the note applied. The note is applied as
// a whole or not at all. The given configuration is not modified.
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

// itemKind gives generic access to the entries of one kind of item.
type itemKind[E, S any] struct {
	kind    string
	name    func(E) string
	version func(E) chivehillid.Version
	entry   func(S, chivehillid.Version) E
}

var (
	services = itemKind[chivehillwire.ServiceEntry, chivehillwire.ServiceSpec]{
		kind:    KindService,
		name:    func(e chivehillwire.ServiceEntry) string { return string(e.Spec.Service) },
		version: func(e chivehillwire.ServiceEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.ServiceSpec, v chivehillid.Version) chivehillwire.ServiceEntry {
			return chivehillwire.ServiceEntry{Spec: s, Version: v}
		},
	}
	routes = itemKind[chivehillwire.RouteEntry, chivehillwire.RouteSpec]{
		kind:    KindRoute,
		name:    func(e chivehillwire.RouteEntry) string { return string(e.Spec.Route) },
		version: func(e chivehillwire.RouteEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.RouteSpec, v chivehillid.Version) chivehillwire.RouteEntry {
			return chivehillwire.RouteEntry{Spec: s, Version: v}
		},
	}
	pools = itemKind[chivehillwire.PoolEntry, chivehillwire.PoolSpec]{
		kind:    KindPool,
		name:    func(e chivehillwire.PoolEntry) string { return string(e.Spec.Pool) },
		version: func(e chivehillwire.PoolEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.PoolSpec, v chivehillid.Version) chivehillwire.PoolEntry {
			return chivehillwire.PoolEntry{Spec: s, Version: v}
		},
	}
	rules = itemKind[chivehillwire.RuleEntry, chivehillwire.RegionRule]{
		kind:    KindRegionRule,
		name:    func(e chivehillwire.RuleEntry) string { return e.Spec.Rule },
		version: func(e chivehillwire.RuleEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.RegionRule, v chivehillid.Version) chivehillwire.RuleEntry {
			return chivehillwire.RuleEntry{Spec: s, Version: v}
		},
	}
	domainsOut = itemKind[chivehillwire.DomainEntry, chivehillwire.DomainOut]{
		kind:    KindDomainOut,
		name:    func(e chivehillwire.DomainEntry) string { return string(e.Spec.FailureDomain) },
		version: func(e chivehillwire.DomainEntry) chivehillid.Version { return e.Version },
		entry: func(s chivehillwire.DomainOut, v chivehillid.Version) chivehillwire.DomainEntry {
			return chivehillwire.DomainEntry{Spec: s, Version: v}
		},
	}
)

// find returns the index of a name in the sorted entries.
func (k itemKind[E, S]) find(entries []E, name string) (int, bool) {
	return slices.BinarySearchFunc(entries, name, func(e E, n string) int { return cmp.Compare(k.name(e), n) })
}

// put inserts an entry, or replaces one that is at the expected version.
func (k itemKind[E, S]) put(entries *[]E, spec S, version, expect chivehillid.Version, isNew bool) error {
	e := k.entry(spec, version)
	name := k.name(e)
	item := k.kind + " " + name
	index, found := k.find(*entries, name)
	switch {
	case isNew && found:
		return ConflictError{Item: item, Expected: "no such item", Actual: "it exists at version " + fmt.Sprint(k.version((*entries)[index]))}
	case isNew:
		*entries = slices.Insert(*entries, index, e)
		return nil
	case !found:
		return ConflictError{Item: item, Expected: "an item at version " + fmt.Sprint(expect), Actual: "it does not exist"}
	case k.version((*entries)[index]) != expect:
		return k.versionConflict(item, expect, (*entries)[index])
	}
	(*entries)[index] = e
	return nil
}

// remove deletes an entry that is at the expected version.
func (k itemKind[E, S]) remove(entries *[]E, w chivehillwire.Withdrawal) error {
	item := k.kind + " " + w.Name
	index, found := k.find(*entries, w.Name)
	if !found {
		return ConflictError{Item: item, Expected: "an item at version " + fmt.Sprint(w.ExpectVersion), Actual: "it does not exist"}
	}
	if k.version((*entries)[index]) != w.ExpectVersion {
		return k.versionConflict(item, w.ExpectVersion, (*entries)[index])
	}
	*entries = slices.Delete(*entries, index, index+1)
	return nil
}

func (k itemKind[E, S]) versionConflict(item string, expect chivehillid.Version, e E) error {
	return ConflictError{
		Item: item, Expected: "version " + fmt.Sprint(expect),
		Actual: "it changed at version " + fmt.Sprint(k.version(e)),
	}
}

func put(c *chivehillwire.Configuration, i chivehillwire.NoteItem, isNew bool) error {
	switch {
	case i.Service != nil:
		return services.put(&c.Services, *i.Service, c.Version, i.ExpectVersion, isNew)
	case i.Route != nil:
		return routes.put(&c.Routes, *i.Route, c.Version, i.ExpectVersion, isNew)
	case i.Pool != nil:
		return pools.put(&c.Pools, *i.Pool, c.Version, i.ExpectVersion, isNew)
	case i.RegionRule != nil:
		return rules.put(&c.RegionRules, *i.RegionRule, c.Version, i.ExpectVersion, isNew)
	}
	return domainsOut.put(&c.DomainsOut, *i.DomainOut, c.Version, i.ExpectVersion, isNew)
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
