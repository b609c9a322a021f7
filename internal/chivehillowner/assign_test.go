package chivehillowner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

func hosts(n int) []Host {
	var hs []Host
	for i := range n {
		hs = append(hs, Host{Host: chivehillid.HostID(fmt.Sprintf("h%d", i)), Region: "r", Domain: chivehillid.DomainID(fmt.Sprintf("d%d", i%2))})
	}
	return hs
}

func servers(n int) []Server {
	var ss []Server
	for i := range n {
		ss = append(ss, Server{Server: chivehillid.ServerID(fmt.Sprintf("s%d", i)), Region: "r", Domain: chivehillid.DomainID(fmt.Sprintf("d%d", i%2))})
	}
	return ss
}

func TestAssignLimitsServersPerHost(t *testing.T) {
	tests := []struct {
		name    string
		hosts   []Host
		servers []Server
		most    int
	}{
		{"even share", hosts(4), servers(8), 2},
		{"more hosts than servers", hosts(8), servers(4), 1},
		{"one domain without hosts", []Host{{"h0", "r", "d0"}, {"h1", "r", "d0"}}, servers(8), 4},
		{"no host", nil, servers(2), 0},
		{"hosts of another region only", []Host{{"h0", "other", "d0"}}, servers(2), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			owners := Assign("pool", tt.hosts, tt.servers)
			owned := make(map[chivehillid.HostID]int)
			for _, h := range owners {
				owned[h]++
				c.Check(owned[h] <= tt.most, qt.IsTrue, qt.Commentf("%v", owners))
			}
			if tt.most > 0 {
				c.Check(owners, qt.HasLen, len(tt.servers))
			}
		})
	}
}

// TestAssignMovesFewServersWhenHostLeaves checks that at most half of the servers
// move when one of eight hosts leaves.
func TestAssignMovesFewServersWhenHostLeaves(t *testing.T) {
	c := qt.New(t)
	before := Assign("pool", hosts(8), servers(80))
	after := Assign("pool", hosts(8)[:7], servers(80))
	moved := 0
	for s, h := range before {
		if after[s] != h {
			moved++
		}
	}
	c.Assert(moved <= 40, qt.IsTrue, qt.Commentf("%d of 80 moved", moved))
}

func TestTrackerWaitsForPreviousOwners(t *testing.T) {
	c := qt.New(t)
	const wait = 100
	tr := NewTracker(0, wait)
	own := func(h chivehillid.HostID) map[chivehillid.ServerID]chivehillid.HostID {
		return map[chivehillid.ServerID]chivehillid.HostID{"s": h}
	}
	tr.Update(10, wait, own("a"))
	c.Check(tr.ConfirmedFrom("s"), qt.Equals, chivehillclock.Millis(100), qt.Commentf("an unknown owner from before the start may still act"))
	tr.Update(500, wait, own("b"))
	c.Check(tr.ConfirmedFrom("s"), qt.Equals, chivehillclock.Millis(600))
	tr.Update(550, wait, own("c"))
	c.Check(tr.ConfirmedFrom("s"), qt.Equals, chivehillclock.Millis(650))
	tr.Released("s", "b")
	c.Check(tr.ConfirmedFrom("s"), qt.Equals, chivehillclock.Millis(600), qt.Commentf("a may still act"))
	tr.Released("s", "a")
	c.Check(tr.ConfirmedFrom("s"), qt.Equals, chivehillclock.Millis(100))
}
