// Package chivehillmember computes changes of the membership, the versioned list of
// entry hosts, and decides when a silent member is removed from it.
package chivehillmember

import (
	"cmp"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillowner"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Change computes a new membership from the current one. It reports false if
// nothing has to change.
type Change func(chivehillwire.Membership) (chivehillwire.Membership, bool)

// Find returns the member entry of a host.
func Find(m chivehillwire.Membership, host chivehillid.HostID) (chivehillwire.Member, bool) {
	i, found := findIndex(m, host)
	if !found {
		return chivehillwire.Member{}, false
	}
	return m.Members[i], true
}

func findIndex(m chivehillwire.Membership, host chivehillid.HostID) (int, bool) {
	return slices.BinarySearchFunc(m.Members, host, func(e chivehillwire.Member, h chivehillid.HostID) int {
		return cmp.Compare(e.Host, h)
	})
}

// Join returns a Change that adds a member, or replaces the entry of the same host
// if it differs.
func Join(member chivehillwire.Member) Change {
	return func(m chivehillwire.Membership) (chivehillwire.Membership, bool) {
		i, found := findIndex(m, member.Host)
		if found && m.Members[i] == member {
			return m, false
		}
		next := nextEpoch(m)
		if found {
			next.Members[i] = member
			return next, true
		}
		next.Members = slices.Insert(next.Members, i, member)
		return next, true
	}
}

// Remove returns a Change that removes a member, unless the host has another
// incarnation by then.
func Remove(host chivehillid.HostID, incarnation chivehillid.Incarnation) Change {
	return func(m chivehillwire.Membership) (chivehillwire.Membership, bool) {
		i, found := findIndex(m, host)
		if !found || m.Members[i].Incarnation != incarnation {
			return m, false
		}
		next := nextEpoch(m)
		next.Members = slices.Delete(next.Members, i, i+1)
		return next, true
	}
}

// nextEpoch returns a copy of a membership with the epoch that follows.
func nextEpoch(m chivehillwire.Membership) chivehillwire.Membership {
	return chivehillwire.Membership{Epoch: m.Epoch + 1, Members: slices.Clone(m.Members)}
}

// Owners returns the members that may own servers, which are those that are not
// leaving.
func Owners(m chivehillwire.Membership) []chivehillowner.Host {
	var hosts []chivehillowner.Host
	for _, e := range m.Members {
		if !e.Leaving {
			hosts = append(hosts, chivehillowner.Host{Host: e.Host, Region: e.Region, Domain: e.FailureDomain})
		}
	}
	return hosts
}
