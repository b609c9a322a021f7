package chivehillsim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillregion"
)

// Scenario is one load on one pool.
type Scenario struct {
	Name    string
	Servers int
	Slots   int
	Hosts   int
	// Load is the offered load as a share of the capacity.
	Load float64
	// Idempotent tells whether requests may run twice.
	Idempotent bool
	Calls      int
	Seed       uint64
	// FloodTenant is the share of calls that one tenant sends; the other two share the rest.
	FloodTenant float64
	// Straggler makes one server eight times slower than the others.
	Straggler bool
}

// floodTenant is the tenant that sends more than its share.
const floodTenant chivehillid.TenantID = "flood"

// Parameters of the model.
const (
	benchMeanMs                              = 5.0
	benchSigma                               = 1.0
	benchDeadline                            = 250 * chivehillclock.Millisecond
	benchSlowPeriodGap chivehillclock.Millis = 500
	// warmUp is the share of calls that are excluded from the results.
	warmUp = 0.1
)

// Result is what a scenario gave under one policy.
type Result struct {
	Scenario Scenario
	P50Ms    float64
	P99Ms    float64
	P999Ms   float64
	// Good is the share of calls answered within their deadline.
	Good float64
	// Late is the number of answers after the deadline.
	Late int
	// Goodput is answers within the deadline per second, as a share of capacity.
	Goodput float64
	// Remote is the share of calls that ran on a slot of another host.
	Remote float64
	// Extra is the share of sendings beyond one for each call.
	Extra float64
	// Shed is the share of sendings that a server refused.
	Shed float64
	// ByTenant is the share of calls of each tenant answered within the deadline.
	ByTenant map[chivehillid.TenantID]float64
}

// bench is one run of a scenario.
type bench struct {
	scenario          Scenario
	world             *world
	balancer          balancer
	random            *rand.Rand
	latencies         *hdrhistogram.Histogram
	result            Result
	measured          int
	good              int
	capacityPerSecond float64
	sent              map[chivehillid.TenantID]int
	done              map[chivehillid.TenantID]int
}

var benchLocations = []location{{"east", "east-a"}, {"east", "east-b"}, {"west", "west-a"}, {"west", "west-b"}}

// buildWorld creates hosts and servers spread over the locations.
func buildWorld(hosts, servers int, m serverModel, seed uint64) *world {
	e := newEngine(seed)
	w := &world{engine: e, network: newNetwork(e), servers: make(map[chivehillid.ServerID]*server), record: newRecord()}
	for i := range hosts {
		w.hosts = append(w.hosts, newHost(w, chivehillid.HostID(fmt.Sprintf("host-%02d", i)), benchLocations[i%len(benchLocations)]))
	}
	for i := range servers {
		id := chivehillid.ServerID(fmt.Sprintf("server-%02d", i))
		w.servers[id] = newServer(e, id, benchLocations[i%len(benchLocations)], m, seed*1000+uint64(i), w.record)
		w.serverIDs = append(w.serverIDs, id)
	}
	return w
}

// Run runs a scenario under a policy.
func Run(s Scenario, p Policy) Result {
	model := serverModel{slots: s.Slots, meanMs: benchMeanMs, sigma: benchSigma, slowPeriodGap: benchSlowPeriodGap}
	if _, own := p.(Chivehill); !own {
		model.unbounded = true
	}
	w := buildWorld(s.Hosts, s.Servers, model, s.Seed)
	if s.Straggler {
		const factor = 8
		w.servers[w.serverIDs[0]].slowdown = factor
	}
	const (
		stream            = 3
		highestMicros     = 100_000_000
		significantDigits = 3
	)
	b := &bench{
		scenario: s, world: w, random: rand.New(rand.NewPCG(s.Seed, stream)), latencies: hdrhistogram.New(1, highestMicros, significantDigits),
		sent: make(map[chivehillid.TenantID]int), done: make(map[chivehillid.TenantID]int),
	}
	b.balancer = newBalancer(p, w, "pool", s.Slots)
	capacity := float64(s.Servers*s.Slots) / benchMeanMs * model.capacityShare()
	b.capacityPerSecond = capacity * 1000
	b.arrive(0, capacity*s.Load)
	total := chivehillclock.Millis(float64(s.Calls) / (capacity * s.Load))
	w.engine.run(total + 2*benchDeadline)
	return b.finish(total)
}

// arrive sends call i and schedules the next one. rate is in calls per millisecond.
func (b *bench) arrive(i int, rate float64) {
	if i >= b.scenario.Calls {
		return
	}
	c := b.newCall(i)
	measured := float64(i) >= warmUp*float64(b.scenario.Calls)
	h := b.chooseHost(c)
	e := b.world.engine
	if measured {
		b.measured++
		b.sent[c.tenant]++
	}
	e.after(delayCaller, func() {
		b.balancer.dispatch(h, c, func(a answer) {
			e.after(delayCaller, func() { b.answered(c, a, measured) })
		})
	})
	gap := chivehillclock.Millis(b.random.ExpFloat64() / rate)
	e.after(gap, func() { b.arrive(i+1, rate) })
}

// newCall draws a call. The draws depend on the seed only, not on the policy.
func (b *bench) newCall(i int) *call {
	draw := func() float64 {
		return benchMeanMs * math.Exp(benchSigma*b.random.NormFloat64()-benchSigma*benchSigma/2)
	}
	c := &call{
		id: i, origin: benchLocations[b.random.IntN(len(benchLocations))], regions: chivehillregion.Everywhere(),
		idempotent: b.scenario.Idempotent, work: draw(), hedge: draw(), sentAt: b.world.engine.now,
	}
	c.deadline = c.sentAt + benchDeadline
	u := b.random.Float64()
	switch {
	case u < b.scenario.FloodTenant:
		c.tenant = floodTenant
	case u < b.scenario.FloodTenant+(1-b.scenario.FloodTenant)/2:
		c.tenant = "one"
	default:
		c.tenant = "two"
	}
	return c
}

// chooseHost draws a host of the caller's region by weight.
func (b *bench) chooseHost(c *call) *host {
	var hosts []*host
	total := 0
	for _, h := range b.world.hosts {
		if h.endpoint.location.region == c.origin.region {
			hosts = append(hosts, h)
			total += h.weight
		}
	}
	u := b.random.Float64()
	if total == 0 {
		return hosts[int(u*float64(len(hosts)))]
	}
	draw := u * float64(total)
	for _, h := range hosts {
		draw -= float64(h.weight)
		if draw < 0 {
			return h
		}
	}
	return hosts[len(hosts)-1]
}

func (b *bench) answered(c *call, a answer, measured bool) {
	if !measured || a.outcome != chivehillreason.Done {
		return
	}
	took := b.world.engine.now - c.sentAt
	_ = b.latencies.RecordValue(int64(took * 1000))
	if took > benchDeadline+2*delayCaller {
		b.result.Late++
		return
	}
	b.good++
	b.done[c.tenant]++
}

func (b *bench) finish(total chivehillclock.Millis) Result {
	const micros = 1000
	r := b.result
	r.Scenario = b.scenario
	r.P50Ms = float64(b.latencies.ValueAtQuantile(50)) / micros
	r.P99Ms = float64(b.latencies.ValueAtQuantile(99)) / micros
	r.P999Ms = float64(b.latencies.ValueAtQuantile(99.9)) / micros
	r.Good = float64(b.good) / float64(b.measured)
	seconds := float64(total/chivehillclock.Second) * (1 - warmUp)
	r.Goodput = float64(b.good) / seconds / b.capacityPerSecond
	requests, remoteSlots := 0, 0
	for _, h := range b.world.hosts {
		requests += h.requests
		remoteSlots += h.remoteSlots
	}
	if requests > 0 {
		r.Remote = float64(remoteSlots) / float64(requests)
	}
	r.Extra = float64(b.world.record.Started)/float64(b.scenario.Calls) - 1
	r.Shed = float64(b.world.record.Shed) / float64(b.scenario.Calls)
	r.ByTenant = make(map[chivehillid.TenantID]float64)
	for t, n := range b.sent {
		r.ByTenant[t] = float64(b.done[t]) / float64(n)
	}
	return r
}
