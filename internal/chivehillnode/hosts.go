package chivehillnode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillconfig"
	"github.com/chivehill/chivehill/internal/chivehillentry"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// View returns the configuration in force, or nil.
func (n *Node) View() *chivehillconfig.View {
	return n.state.View()
}

// Hosts returns the entry hosts for a pool. Within this host's region the
// weight is the number of slots that a host owns; other regions get weight 0.
func (n *Node) Hosts(pool chivehillid.PoolID, regions chivehillregion.Set) []chivehillentry.HostWeight {
	leaving := n.leavingPeers()
	candidates := n.mesh.Reachable()
	if !n.leaving.Load() {
		candidates = append(candidates, n.self)
	}
	slots := n.slotsByOwner(pool)
	hosts := make([]chivehillentry.HostWeight, 0, len(candidates))
	local := 0
	for _, m := range candidates {
		if !regions.Allows(m.Region) || slices.Contains(leaving, m.Host) {
			continue
		}
		h := chivehillentry.HostWeight{Host: m.Host, Address: m.CallerAddress, Region: m.Region}
		if m.Region == n.self.Region {
			h.Weight = slots[m.Host]
			local += h.Weight
		}
		hosts = append(hosts, h)
	}
	if local == 0 {
		for i := range hosts {
			hosts[i].Weight = 1
		}
	}
	slices.SortFunc(hosts, func(a, b chivehillentry.HostWeight) int {
		if a.Weight != b.Weight {
			return b.Weight - a.Weight
		}
		return slices.Compare([]chivehillid.HostID{a.Host}, []chivehillid.HostID{b.Host})
	})
	return hosts
}

// slotsByOwner returns how many slots of a pool that are in service each host owns.
func (n *Node) slotsByOwner(pool chivehillid.PoolID) map[chivehillid.HostID]int {
	slots := make(map[chivehillid.HostID]int)
	view := n.state.View()
	p, found := view.Pool(pool)
	if !found {
		return slots
	}
	owners := n.plan.Owners(p, n.state.Membership())
	for _, s := range p.Servers {
		if !view.DomainOut(s.FailureDomain) {
			slots[owners[s.Server]] += int(s.Slots)
		}
	}
	return slots
}

const (
	hostListPeriod  = 2 * time.Second
	hostListTimeout = 2 * time.Second
	maxHostList     = 1 << 20
)

// followHostList reads the platform's host list while no membership is known.
func (n *Node) followHostList(ctx context.Context) {
	for ctx.Err() == nil {
		if n.state.Membership().Epoch == 0 {
			if err := n.readHostList(ctx); err != nil && ctx.Err() == nil {
				n.log.Warn().Str("step", "read").Str("peer", "host list").Err(err).Msg("member: host list failed.")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(hostListPeriod):
		}
	}
}

func (n *Node) readHostList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.HostListAddress+"/v1/hosts", nil)
	if err != nil {
		return fmt.Errorf("host list: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("host list: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var members []chivehillwire.Member
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxHostList)).Decode(&members); err != nil {
		return fmt.Errorf("host list: decode: %w", err)
	}
	n.mu.Lock()
	n.seeds = members
	n.mu.Unlock()
	n.signal()
	return nil
}
