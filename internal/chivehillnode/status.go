package chivehillnode

import (
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillquery"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Ready reports whether this host may serve callers and is not shutting down.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.MayServe()
}

// Configuration returns the active configuration, and false if there is none yet.
func (n *Node) Configuration() (chivehillwire.Configuration, bool) {
	view := n.state.View()
	if view == nil {
		return chivehillwire.Configuration{}, false
	}
	return view.Configuration, true
}

// Status returns the state of the cluster as observed by this host.
func (n *Node) Status() chivehillquery.Status {
	s := chivehillquery.Status{
		Host: n.self.Host, Version: n.state.Version(), Epoch: n.state.Membership().Epoch,
		MayServe: n.MayServe(), Leaving: n.leaving.Load(),
	}
	reachable := map[chivehillid.HostID]bool{n.self.Host: true}
	for _, m := range n.mesh.Reachable() {
		reachable[m.Host] = true
	}
	for _, m := range n.state.Membership().Members {
		s.Hosts = append(s.Hosts, n.hostStatus(m, reachable[m.Host]))
	}
	for _, id := range n.slots.Pools() {
		s.Servers = append(s.Servers, chivehillquery.PoolServers(n.self.Host, n.slots.Status(id))...)
	}
	if view := n.state.View(); view != nil {
		for _, d := range view.Configuration.DomainsOut {
			s.DomainsOut = append(s.DomainsOut, d.Spec)
		}
	}
	return s
}

func (n *Node) hostStatus(m chivehillwire.Member, reachable bool) chivehillquery.HostStatus {
	h := chivehillquery.HostStatus{
		Host: m.Host, Region: m.Region, FailureDomain: m.FailureDomain, CallerAddress: m.CallerAddress,
		Reachable: reachable, Leaving: m.Leaving,
	}
	if m.Host == n.self.Host {
		h.Version = n.state.Version()
		h.Epoch = n.state.Membership().Epoch
		h.ConfigAgeMs = n.age(n.state.Freshness().ConfigConfirmedAt)
		return h
	}
	n.mu.Lock()
	b := n.heartbeats[m.Host]
	n.mu.Unlock()
	h.Version = b.heartbeat.Version
	h.Epoch = b.heartbeat.Epoch
	h.Leaving = h.Leaving || b.heartbeat.Leaving
	h.ConfigAgeMs = b.heartbeat.ConfigAgeMs + n.age(b.receivedAt)
	return h
}
