// Package chivehillsim is a discrete-event simulation of entry hosts: their
// decision packages run under a virtual clock against fakes of the network, the
// store and the servers. The same seed reproduces the same run.
//
// It is used to benchmark the balancing policy against baselines, and to check
// the invariants in randomised runs with injected faults.
package chivehillsim

import (
	"container/heap"
	"math/rand/v2"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// engine is a discrete event simulation.
type engine struct {
	now    chivehillclock.Millis
	events eventHeap
	seq    uint64
	random *rand.Rand
}

func newEngine(seed uint64) *engine {
	const stream = 7
	return &engine{random: rand.New(rand.NewPCG(seed, stream))}
}

// after schedules do to run after the delay d.
func (e *engine) after(d chivehillclock.Millis, do func()) {
	e.at(e.now+max(0, d), do)
}

// at schedules do at time t. Events with the same time run in the order in which
// they were scheduled.
func (e *engine) at(t chivehillclock.Millis, do func()) {
	e.seq++
	heap.Push(&e.events, event{at: max(t, e.now), seq: e.seq, do: do})
}

// every runs do once per period until it returns false.
func (e *engine) every(period chivehillclock.Millis, do func() bool) {
	e.after(period, func() {
		if do() {
			e.every(period, do)
		}
	})
}

// run processes all events up to and including a time.
func (e *engine) run(until chivehillclock.Millis) {
	for len(e.events) > 0 && e.events[0].at <= until {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.do()
	}
	e.now = until
}

// event is a callback scheduled at a virtual time.
type event struct {
	at  chivehillclock.Millis
	seq uint64
	do  func()
}

// eventHeap orders events by time, then by scheduling order.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// location is the region and failure domain of a host, server or caller.
type location struct {
	region chivehillid.RegionID
	domain chivehillid.DomainID
}

// One-way network delays, as specified for the platform.
const (
	delaySameDomain  chivehillclock.Millis = 0.1
	delayOtherDomain chivehillclock.Millis = 1
	delayOtherRegion chivehillclock.Millis = 12
	delayCaller      chivehillclock.Millis = 1
	// jitter is the largest random part of a delay, as a fraction.
	jitter = 0.2
)

// network delivers messages between endpoints, in order for each pair.
type network struct {
	engine *engine
	// lastArrival holds the latest arrival time for each pair of endpoints.
	lastArrival map[[2]string]chivehillclock.Millis
	// linkCut is set while the regions cannot reach each other.
	linkCut bool
	// isolated holds hosts that reach servers and callers, but neither peers nor the store.
	isolated map[string]bool
	// linkBytes counts bytes between hosts of different regions.
	linkBytes float64
}

func newNetwork(e *engine) *network {
	return &network{engine: e, lastArrival: make(map[[2]string]chivehillclock.Millis), isolated: make(map[string]bool)}
}

func (n *network) delay(from, to location) chivehillclock.Millis {
	d := delayOtherRegion
	switch {
	case from.domain == to.domain:
		d = delaySameDomain
	case from.region == to.region:
		d = delayOtherDomain
	}
	return d * chivehillclock.Millis(1+jitter*n.engine.random.Float64())
}

// connected reports whether messages pass between two endpoints.
func (n *network) connected(from, to endpoint) bool {
	if from.control && to.control && (n.isolated[from.name] || n.isolated[to.name]) {
		return false
	}
	return !n.linkCut || from.location.region == to.location.region
}

// endpoint is one end of a network path.
type endpoint struct {
	name     string
	location location
	// control is set for hosts and the store.
	control bool
}

// send delivers a message after the delay and reports whether the path is up.
func (n *network) send(from, to endpoint, bytes float64, deliver func()) bool {
	if !n.connected(from, to) {
		return false
	}
	if from.location.region != to.location.region {
		n.linkBytes += bytes
	}
	pair := [2]string{from.name, to.name}
	t := max(n.lastArrival[pair], n.engine.now+n.delay(from.location, to.location))
	n.lastArrival[pair] = t
	n.engine.at(t, deliver)
	return true
}
