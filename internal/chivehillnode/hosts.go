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
	"github.com/chivehill/chivehill/internal/chivehillresponse"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// View returns the active configuration, or nil if there is none yet.
func (n *Node) View() *chivehillconfig.View {
	return n.state.View()
}

// Hosts returns the entry hosts for a pool, highest weight first. Within this
// host's region the weight is the number of slots that a host owns; hosts in
// other regions get weight 0. If no host in this region owns a slot, every host
// gets weight 1.
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

// slotsByOwner returns the number of in-service slots of a pool by owning host.
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
	hostListPollInterval = 2 * time.Second
	hostListTimeout      = 2 * time.Second
	maxHostListBytes     = 1 << 20
)

// pollHostList polls the platform's host list until a membership is known.
func (n *Node) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		if n.state.Membership().Epoch == 0 {
			if err := n.fetchHostList(ctx); err != nil && ctx.Err() == nil {
				n.log.Warn().Str("step", "read").Str("peer", "host list").Err(err).Msg("member: fetching the host list failed.")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(hostListPollInterval):
		}
	}
}

func (n *Node) fetchHostList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.HostListAddress+"/v1/hosts", nil)
	if err != nil {
		return fmt.Errorf("host list: build request: %w", err)
	}
	resp, err := chivehillresponse.NewClient(&http.Transport{DisableKeepAlives: true}).Do(req)
	if err != nil {
		return fmt.Errorf("host list: request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var members []chivehillwire.Member
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxHostListBytes)).Decode(&members); err != nil {
		return fmt.Errorf("host list: decode: %w", err)
	}
	n.mu.Lock()
	n.seeds = members
	n.mu.Unlock()
	n.signalReconfigure()
	return nil
}
