package chivehillplace

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
	playHosts   = 8
	playServers = 60
	playSlots   = 4
	playWork    = 160 * chivehillclock.Millisecond
	// playIdle is how long a server keeps an idle connection.
	playIdle = 9 * chivehillclock.Second
)

// play is a load on servers that several hosts share: each host asks the two
// first candidates and sends to the less loaded one.
type play struct {
	now     chivehillclock.Millis
	random  *rand.Rand
	hosts   []*playHost
	running map[chivehillid.ServerID]int
	ends    map[chivehillclock.Millis][]func()

	requests, connections, waited int
}

type playHost struct {
	*fixture
	// idle holds when each idle connection to a server was used last.
	idle map[chivehillid.ServerID][]chivehillclock.Millis
}

func newPlay() *play {
	p := &play{
		random: rand.New(rand.NewPCG(1, 2)), running: make(map[chivehillid.ServerID]int), ends: make(map[chivehillclock.Millis][]func()),
	}
	servers := make([]chivehillcatalog.Server, playServers)
	for i := range servers {
		servers[i] = server(chivehillid.ServerID(fmt.Sprintf("i-%d", i)), "e1")
	}
	for range playHosts {
		h := &playHost{fixture: newFixture(servers...), idle: make(map[chivehillid.ServerID][]chivehillclock.Millis)}
		// The answers that the fixture gives are no connections here.
		h.clock.Advance(keptFor + 1)
		p.hosts = append(p.hosts, h)
	}
	return p
}

// connect takes an idle connection or opens one.
func (p *play) connect(h *playHost, id chivehillid.ServerID) {
	kept := h.idle[id]
	for len(kept) > 0 {
		at := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		if p.now-at < playIdle {
			h.idle[id] = kept
			return
		}
	}
	h.idle[id] = kept
	p.connections++
}

func (p *play) release(h *playHost, id chivehillid.ServerID) { h.idle[id] = append(h.idle[id], p.now) }

func (p *play) load(id chivehillid.ServerID) chivehillupstream.Load {
	running := p.running[id]
	return chivehillupstream.Load{Running: min(running, playSlots), Waiting: max(0, running-playSlots), Slots: playSlots, Pace: chivehillupstream.UsualPace}
}

func (p *play) request(h *playHost) {
	candidates := h.table.Near(anywhere, 2)
	var best Opinion
	for i, c := range candidates {
		p.connect(h, c.ID())
		remarks := chivehillupstream.Remarks{Load: p.load(c.ID()), HasLoad: true}
		h.table.Checked(c.ID(), true, Served{Remarks: remarks})
		p.release(h, c.ID())
		if o := NewOpinion(c, remarks, playWork); i == 0 || o.Estimate < best.Estimate {
			best = o
		}
	}
	id := best.Candidate.ID()
	p.requests++
	if best.Load.Running >= playSlots {
		p.waited++
	}
	p.connect(h, id)
	h.table.Claim(best.Candidate)
	p.running[id]++
	end := p.now + playWork
	p.ends[end] = append(p.ends[end], func() {
		p.running[id]--
		h.table.Released(id, Served{Remarks: chivehillupstream.Remarks{Load: p.load(id), HasLoad: true}})
		p.release(h, id)
	})
}

// run plays a rate of requests a second at each host for some time.
func (p *play) run(perSecond float64, length chivehillclock.Millis) {
	for end := p.now + length; p.now < end; p.now++ {
		for _, f := range p.ends[p.now] {
			f()
		}
		delete(p.ends, p.now)
		for _, h := range p.hosts {
			if p.random.Float64() < perSecond/float64(chivehillclock.Second) {
				p.request(h)
			}
			h.clock.Advance(1)
		}
	}
}

// TestConnectionsAreKept plays load on far more servers than a host needs: it
// keeps to those that it is connected with, and callers wait no more than before.
func TestConnectionsAreKept(t *testing.T) {
	tests := []struct {
		about     string
		perSecond float64
		// connections and waited are bounds a request.
		connections float64
		waited      float64
	}{
		{"little load", 5, 0.25, 0.001},
		{"two thirds of the slots", 125, 0.02, 0.0175},
	}
	for _, tt := range tests {
		p := newPlay()
		p.run(tt.perSecond, 30*chivehillclock.Second)
		connections := float64(p.connections) / float64(p.requests)
		waited := float64(p.waited) / float64(p.requests)
		t.Logf("%s: %d requests, %.3f connections and %.4f waits a request", tt.about, p.requests, connections, waited)
		qt.Check(t, connections <= tt.connections, qt.IsTrue, qt.Commentf("%s: %v", tt.about, connections))
		qt.Check(t, waited <= tt.waited, qt.IsTrue, qt.Commentf("%s: %v", tt.about, waited))
	}
}
