// Package chivehillmember changes the membership: which entry hosts there are.
package chivehillmember

import (
	"cmp"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillowner"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Change computes a new membership. It reports false if nothing has to change.
type Change func(chivehillwire.Membership) (chivehillwire.Membership, bool)

// Find returns the member of a host.
func Find(m chivehillwire.Membership, host chivehillid.HostID) (chivehillwire.Member, bool) {
	at, found := search(m, host)
	if !found {
		return chivehillwire.Member{}, false
	}
	return m.Members[at], true
}

func search(m chivehillwire.Membership, host chivehillid.HostID) (int, bool) {
	return slices.BinarySearchFunc(m.Members, host, func(e chivehillwire.Member, h chivehillid.HostID) int {
		return cmp.Compare(e.Host, h)
	})
}

// Join adds a member or replaces the entry of an earlier incarnation.
func Join(member chivehillwire.Member) Change {
	return func(m chivehillwire.Membership) (chivehillwire.Membership, bool) {
		at, found := search(m, member.Host)
		if found && m.Members[at] == member {
			return m, false
		}
		next := bump(m)
		if found {
			next.Members[at] = member
			return next, true
		}
		next.Members = slices.Insert(next.Members, at, member)
		return next, true
	}
}

// Remove takes one incarnation of a host away.
func Remove(host chivehillid.HostID, incarnation chivehillid.Incarnation) Change {
	return func(m chivehillwire.Membership) (chivehillwire.Membership, bool) {
		at, found := search(m, host)
		if !found || m.Members[at].Incarnation != incarnation {
			return m, false
		}
		next := bump(m)
		next.Members = slices.Delete(next.Members, at, at+1)
		return next, true
	}
}

func bump(m chivehillwire.Membership) chivehillwire.Membership {
	return chivehillwire.Membership{Epoch: m.Epoch + 1, Members: slices.Clone(m.Members)}
}

// Owners returns the members that may own servers.
func Owners(m chivehillwire.Membership) []chivehillowner.Host {
	var hosts []chivehillowner.Host
	for _, e := range m.Members {
		if !e.Leaving {
			hosts = append(hosts, chivehillowner.Host{Host: e.Host, Region: e.Region, Domain: e.FailureDomain})
		}
	}
	return hosts
}
