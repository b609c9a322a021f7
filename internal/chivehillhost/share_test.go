package chivehillhost

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// TestExactlyOneHostIsResponsible evaluates responsibility for the same servers on
// all hosts, while hosts go down and come up again. Each server must have exactly
// one responsible host, in its failure domain if a host is live there, and must
// keep that host while it stays live.
func TestExactlyOneHostIsResponsible(t *testing.T) {
	domains := map[chivehillid.DomainID]chivehillid.RegionID{"e1": "east", "e2": "east", "w1": "west"}
	entries := make(map[chivehillid.HostID]chivehillcatalog.Host)
	for i := range 12 {
		domain := []chivehillid.DomainID{"e1", "e2", "w1"}[i%3]
		id := chivehillid.HostID(fmt.Sprintf("host-%d", i))
		entries[id] = chivehillcatalog.Host{ID: id, Domain: domain, Region: domains[domain]}
	}
	hosts := make(map[chivehillid.HostID]*Host)
	for id, e := range entries {
		settings := chivehillwire.GatewaySettings{Host: id, Region: e.Region, FailureDomain: e.Domain, Domains: domains}
		h := New(settings, Platform{Decoder: readyDecoder{}}, zerolog.Nop())
		for _, c := range []chivehillcatalog.Collection{chivehillcatalog.Servers, chivehillcatalog.Withdrawals} {
			h.catalog.Apply(c, chivehillcatalog.Update{Full: true, AsOf: 1})
		}
		h.catalog.Apply(chivehillcatalog.Configurations, chivehillcatalog.Update{Full: true, AsOf: 1, Records: []chivehillcatalog.Record{{Name: "main", Revision: 1}}})
		hosts[id] = h
	}
	steps := []struct {
		about string
		down  []chivehillid.HostID
		// elsewhere is set if hosts of other failure domains are responsible for the
		// servers of e2.
		elsewhere bool
	}{
		{"all", nil, false},
		{"one host down", []chivehillid.HostID{"host-0"}, false},
		{"one failure domain down", []chivehillid.HostID{"host-1", "host-4", "host-7", "host-10"}, true},
		{"all live again", nil, false},
	}
	before := make(map[chivehillid.ServerID]chivehillid.HostID)
	for i, tt := range steps {
		update := chivehillcatalog.Update{Full: true, AsOf: chivehillcatalog.Revision(10 * (i + 1))}
		for id, e := range entries {
			if !slices.Contains(tt.down, id) {
				data, _ := json.Marshal(e)
				update.Records = append(update.Records, chivehillcatalog.Record{Name: string(id), Revision: update.AsOf, Data: data})
			}
		}
		for _, h := range hosts {
			h.catalog.Apply(chivehillcatalog.Hosts, update)
		}
		for n := range 60 {
			s := chivehillcatalog.Server{ID: chivehillid.ServerID(fmt.Sprintf("i-%d", n)), Domain: []chivehillid.DomainID{"e1", "e2", "w1"}[n%3]}
			var chosen []chivehillid.HostID
			for id, h := range hosts {
				if !slices.Contains(tt.down, id) && h.share(s, 1) == 1 {
					chosen = append(chosen, id)
				}
			}
			qt.Assert(t, chosen, qt.HasLen, 1, qt.Commentf("%s: %s", tt.about, s.ID))
			for _, sharers := range []int{2, 3, 40} {
				sum := sumOfShares(hosts, tt.down, s, sharers)
				qt.Check(t, math.Abs(sum-1) < 1e-9, qt.IsTrue, qt.Commentf("%s: %s, %d sharers: the shares add up to %v", tt.about, s.ID, sharers, sum))
			}
			host := entries[chosen[0]]
			away := tt.elsewhere && s.Domain == "e2"
			qt.Check(t, host.Domain != s.Domain, qt.Equals, away, qt.Commentf("%s: %s", tt.about, s.ID))
			if old, known := before[s.ID]; known && !slices.Contains(tt.down, old) && tt.down != nil {
				qt.Check(t, chosen[0], qt.Equals, old, qt.Commentf("%s: %s", tt.about, s.ID))
			}
			if i == 0 {
				before[s.ID] = chosen[0]
			}
		}
	}
}

func TestHostWithoutTheListOfHostsTakesTheWholeRate(t *testing.T) {
	h := New(chivehillwire.GatewaySettings{Host: "a", Region: "east", FailureDomain: "e1"}, Platform{Decoder: readyDecoder{}}, zerolog.Nop())
	for _, c := range []chivehillcatalog.Collection{chivehillcatalog.Servers, chivehillcatalog.Withdrawals} {
		h.catalog.Apply(c, chivehillcatalog.Update{Full: true, AsOf: 1})
	}
	h.catalog.Apply(chivehillcatalog.Configurations, chivehillcatalog.Update{Full: true, AsOf: 1, Records: []chivehillcatalog.Record{{Name: "main", Revision: 1}}})
	s := chivehillcatalog.Server{ID: "i-1", Domain: "e1"}
	qt.Assert(t, h.ready(), qt.IsTrue)
	qt.Assert(t, h.share(s, 8), qt.Equals, 0.0)
	h.catalog.Apply(chivehillcatalog.Hosts, chivehillcatalog.Update{Full: true, AsOf: 1})
	qt.Assert(t, h.share(s, 8), qt.Equals, 1.0)
}

// sumOfShares returns the sum of the shares of a server's rate over all hosts that are up.
func sumOfShares(hosts map[chivehillid.HostID]*Host, down []chivehillid.HostID, s chivehillcatalog.Server, sharers int) float64 {
	sum := 0.0
	for id, h := range hosts {
		if !slices.Contains(down, id) {
			sum += h.share(s, sharers)
		}
	}
	return sum
}

// BenchmarkResponsible measures the decision for one server among 300 hosts.
func BenchmarkResponsible(b *testing.B) {
	h := New(chivehillwire.GatewaySettings{Host: "host-0", FailureDomain: "e1"}, Platform{Decoder: readyDecoder{}}, zerolog.Nop())
	update := chivehillcatalog.Update{Full: true, AsOf: 2}
	for i := range 300 {
		e := chivehillcatalog.Host{ID: chivehillid.HostID(fmt.Sprintf("host-%d", i)), Domain: chivehillid.DomainID(fmt.Sprintf("e%d", i%6))}
		data, _ := json.Marshal(e)
		update.Records = append(update.Records, chivehillcatalog.Record{Name: string(e.ID), Revision: 1, Data: data})
	}
	h.catalog.Apply(chivehillcatalog.Hosts, update)
	s := chivehillcatalog.Server{ID: "i-1", Domain: "e1"}
	b.Run("without cache", func(b *testing.B) {
		for b.Loop() {
			h.computeShare(s, h.live(), 1)
		}
	})
	b.Run("with cache", func(b *testing.B) {
		for b.Loop() {
			h.share(s, 1)
		}
	})
}

// readyDecoder decodes hosts, and any configuration as version 1.
type readyDecoder struct{ hostDecoder }

func (readyDecoder) Configuration(chivehillcatalog.Record) (chivehillcatalog.Configuration, error) {
	return chivehillcatalog.Configuration{Version: 1}, nil
}
