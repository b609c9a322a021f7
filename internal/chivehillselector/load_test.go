package chivehillselector

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	simHosts       = 8
	simServers     = 60
	simSlots       = 4
	simServiceTime = 160 * chivehillclock.Millisecond
	// simIdleTimeout is how long a server keeps an idle connection.
	simIdleTimeout = 9 * chivehillclock.Second
)

// loadSim simulates load on servers that several hosts share. For each request a host
// checks the first two candidates and sends to the one with the lower estimate.
type loadSim struct {
	now     chivehillclock.Millis
	random  *rand.Rand
	hosts   []*simHost
	running map[chivehillid.ServerID]int
	ends    map[chivehillclock.Millis][]func()

	// connections counts opened connections; waits counts requests sent to a full server.
	requests, connections, waits int
}

type simHost struct {
	*fixture
	// idle holds the time of last use of each idle connection, by server.
	idle map[chivehillid.ServerID][]chivehillclock.Millis
}

func newLoadSim() *loadSim {
	sim := &loadSim{
		random: rand.New(rand.NewPCG(1, 2)), running: make(map[chivehillid.ServerID]int), ends: make(map[chivehillclock.Millis][]func()),
	}
	servers := make([]chivehillcatalog.Server, simServers)
	for i := range servers {
		servers[i] = server(chivehillid.ServerID(fmt.Sprintf("i-%d", i)), "e1")
	}
	for range simHosts {
		h := &simHost{fixture: newFixture(servers...), idle: make(map[chivehillid.ServerID][]chivehillclock.Millis)}
		// Lets the responses that newFixture records expire: they opened no connections.
		h.clock.Advance(connectionKeptFor + 1)
		sim.hosts = append(sim.hosts, h)
	}
	return sim
}

// connect uses an idle connection to a server or opens one.
func (sim *loadSim) connect(h *simHost, id chivehillid.ServerID) {
	lastUsed := h.idle[id]
	for len(lastUsed) > 0 {
		at := lastUsed[len(lastUsed)-1]
		lastUsed = lastUsed[:len(lastUsed)-1]
		if sim.now-at < simIdleTimeout {
			h.idle[id] = lastUsed
			return
		}
	}
	h.idle[id] = lastUsed
	sim.connections++
}

func (sim *loadSim) release(h *simHost, id chivehillid.ServerID) {
	h.idle[id] = append(h.idle[id], sim.now)
}

func (sim *loadSim) load(id chivehillid.ServerID) chivehillupstream.Load {
	running := sim.running[id]
	return chivehillupstream.Load{Running: min(running, simSlots), Waiting: max(0, running-simSlots), Slots: simSlots, Pace: chivehillupstream.UsualPace}
}

func (sim *loadSim) send(h *simHost) {
	candidates := h.table.InRegion(anywhere, 2)
	var best Assessment
	for i, c := range candidates {
		sim.connect(h, c.ID())
		metadata := chivehillupstream.ResponseMetadata{Load: sim.load(c.ID()), HasLoad: true}
		h.table.RecordProbe(c.ID(), true, Served{Metadata: metadata})
		sim.release(h, c.ID())
		if assessment := h.table.Assess(c, metadata, simServiceTime); i == 0 || assessment.Estimate < best.Estimate {
			best = assessment
		}
	}
	id := best.Candidate.ID()
	sim.requests++
	if best.Load.Running >= simSlots {
		sim.waits++
	}
	sim.connect(h, id)
	h.table.Claim(best.Candidate)
	sim.running[id]++
	end := sim.now + simServiceTime
	sim.ends[end] = append(sim.ends[end], func() {
		sim.running[id]--
		h.table.Release(id, Served{Metadata: chivehillupstream.ResponseMetadata{Load: sim.load(id), HasLoad: true}})
		sim.release(h, id)
	})
}

// run simulates a rate of requests per second at each host for a length of time.
func (sim *loadSim) run(perSecond float64, length chivehillclock.Millis) {
	for end := sim.now + length; sim.now < end; sim.now++ {
		for _, f := range sim.ends[sim.now] {
			f()
		}
		delete(sim.ends, sim.now)
		for _, h := range sim.hosts {
			if sim.random.Float64() < perSecond/float64(chivehillclock.Second) {
				sim.send(h)
			}
			h.clock.Advance(1)
		}
	}
}

// TestConnectionsAreReused simulates load on far more servers than a host needs. Hosts
// have to prefer servers that they are connected to, without making more requests wait
// for a slot than before that preference.
func TestConnectionsAreReused(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		// connections and waits are upper bounds per request.
		connections float64
		waits       float64
	}{
		{"light load", 5, 0.25, 0.001},
		{"two thirds of the slots", 125, 0.02, 0.0175},
	}
	for _, tt := range tests {
		sim := newLoadSim()
		sim.run(tt.perSecond, 30*chivehillclock.Second)
		connections := float64(sim.connections) / float64(sim.requests)
		waits := float64(sim.waits) / float64(sim.requests)
		t.Logf("%s: %d requests, %.3f connections and %.4f waits per request", tt.name, sim.requests, connections, waits)
		qt.Check(t, connections <= tt.connections, qt.IsTrue, qt.Commentf("%s: %v connections per request", tt.name, connections))
		qt.Check(t, waits <= tt.waits, qt.IsTrue, qt.Commentf("%s: %v waits per request", tt.name, waits))
	}
}
