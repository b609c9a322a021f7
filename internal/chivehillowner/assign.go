// Package chivehillowner decides which entry host owns each server.
package chivehillowner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Host is one candidate owner.
type Host struct {
	Host   chivehillid.HostID
	Region chivehillid.RegionID
	Domain chivehillid.DomainID
}

// Server is one server to be owned.
type Server struct {
	Server chivehillid.ServerID
	Region chivehillid.RegionID
	Domain chivehillid.DomainID
}

// Assign returns the owner of each server of one pool. A server is owned by a
// host of its own region, of its own failure domain if there is one. Within a
// domain each host owns at most its even share, rounded up; if the
// first host by rendezvous hashing has its full share, the next one owns the server. The
// result depends only on the sets of hosts and servers, so that all hosts with
// the same membership agree. A server without a host in its region has no owner.
func Assign(pool chivehillid.PoolID, hosts []Host, servers []Server) map[chivehillid.ServerID]chivehillid.HostID {
	owners := make(map[chivehillid.ServerID]chivehillid.HostID, len(servers))
	groups := make(map[group][]Server)
	for _, s := range servers {
		g := groupOf(s, hosts)
		groups[g] = append(groups[g], s)
	}
	for g, members := range groups {
		assignGroup(pool, hostsOf(g, hosts), members, owners)
	}
	return owners
}

// group is a failure domain that has hosts, or a whole region for the servers
// of domains without hosts.
type group struct {
	region chivehillid.RegionID
	domain chivehillid.DomainID
}

func groupOf(s Server, hosts []Host) group {
	for _, h := range hosts {
		if h.Region == s.Region && h.Domain == s.Domain {
			return group{region: s.Region, domain: s.Domain}
		}
	}
	return group{region: s.Region}
}

func hostsOf(g group, hosts []Host) []Host {
	var found []Host
	for _, h := range hosts {
		if h.Region == g.region && (g.domain == "" || h.Domain == g.domain) {
			found = append(found, h)
		}
	}
	return found
}

func assignGroup(pool chivehillid.PoolID, hosts []Host, servers []Server, owners map[chivehillid.ServerID]chivehillid.HostID) {
	if len(hosts) == 0 {
		return
	}
	maxPerHost := (len(servers) + len(hosts) - 1) / len(hosts)
	owned := make(map[chivehillid.HostID]int, len(hosts))
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	for _, s := range sorted {
		for _, h := range rank(pool, hosts, s.Server) {
			if owned[h] >= maxPerHost {
				continue
			}
			owned[h]++
			owners[s.Server] = h
			break
		}
	}
}

// rank orders the hosts by rendezvous hashing, best first.
func rank(pool chivehillid.PoolID, hosts []Host, server chivehillid.ServerID) []chivehillid.HostID {
	type scored struct {
		host  chivehillid.HostID
		score uint64
	}
	ranked := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		score := xxhash.Sum64String(string(pool) + "/" + string(server) + "/" + string(h.Host))
		ranked = append(ranked, scored{host: h.Host, score: score})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	order := make([]chivehillid.HostID, len(ranked))
	for i, r := range ranked {
		order[i] = r.host
	}
	return order
}
