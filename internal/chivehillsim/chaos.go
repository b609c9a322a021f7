package chivehillsim

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// ChaosOptions describe a randomised run.
type ChaosOptions struct {
	Seed uint64
	// Faults are injected one after another, each several times.
	Faults []Fault
	// Servers and Slots are the size of the pool.
	Servers int
	Slots   int
	Hosts   int
	// Seconds is the time in which calls arrive.
	Seconds float64
	// Load is the offered load as a share of the capacity.
	Load float64
	// Off switches one mechanism off, to show that the checks notice.
	Off Mechanism
}

// Mechanism names a mechanism that a run can go without.
type Mechanism string

// The mechanisms that can be switched off.
const (
	KeyOwnership      Mechanism = "key-ownership"
	ColdRamp          Mechanism = "cold-ramp"
	OwnerConfirmation Mechanism = "owner-confirmation"
	DomainCheck       Mechanism = "domain-check"
	StalenessFence    Mechanism = "staleness-fence"
	DrainMark         Mechanism = "drain-mark"
	SuspectTable      Mechanism = "suspect-table"
	RegionCheck       Mechanism = "region-check"
	PeerVersions      Mechanism = "peer-versions"
	RetryJudgement    Mechanism = "retry-judgement"
	GracefulStop      Mechanism = "graceful-stop"
)

// ChaosReport is the result of a randomised run.
type ChaosReport struct {
	Options    ChaosOptions
	Violations []Violation
	Calls      int
	Outcomes   map[chivehillreason.Outcome]int
	Started    int
	P99Ms      float64
	// Probes is the number of health probes sent.
	Probes int
	// StoreCalls is the number of reads and writes of the store.
	StoreCalls int
	LinkBytes  float64
}

const (
	chaosMeanMs = 5.0
	// settleTime is the quiet time at the end, for everything to heal.
	settleTime = 25 * chivehillclock.Second
	// warmTime is the time before the first fault.
	warmTime = 8 * chivehillclock.Second
	// keyedShare is the share of non-idempotent calls.
	keyedShare = 0.4
	boundShare = 0.2
	// domainGrace is the time after the acceptance of a note by which it is in force.
	domainGrace = 3500 * chivehillclock.Millisecond
	// drainGrace is the time after a drain signal by which no new work arrives.
	drainGrace = 3 * chivehillclock.Second
)

// chaos is one randomised run.
type chaos struct {
	options ChaosOptions
	world   *world
	driver  *driver
	end     chivehillclock.Millis
	next    int
	notes   int
	out     map[chivehillid.DomainID]bool
	// outSince holds since when a domain is out of service by an accepted note.
	outSince map[chivehillid.DomainID]chivehillclock.Millis
	// cutFrom and cutUntil bound the newest cut of the link between regions.
	cutFrom, cutUntil chivehillclock.Millis
}

// newChaos prepares a run.
func newChaos(o ChaosOptions) (*chaos, serverModel) {
	model := serverModel{
		slots: o.Slots, meanMs: chaosMeanMs, sigma: 0.7, slowGap: benchSlowGap, coldConcurrency: 1, coldSuccesses: 4, coldFactor: 2,
	}
	w := buildWorld(o.Hosts, o.Servers, model, o.Seed)
	w.hedging = true
	w.off = o.Off
	w.store = &store{
		world: w, end: end{name: "store", place: benchPlaces[0], control: true}, configuration: chaosConfiguration(w),
	}
	return &chaos{
		options: o, world: w, out: make(map[chivehillid.DomainID]bool), outSince: make(map[chivehillid.DomainID]chivehillclock.Millis),
		cutFrom: never, cutUntil: never,
		driver: &driver{
			world: w, answers: make(map[string]*outcomes), calls: make(map[chivehillreason.Outcome]int), crashes: make(map[int]int),
		},
	}, model
}

// RunChaos runs calls under faults and checks the invariants.
func RunChaos(o ChaosOptions) (report ChaosReport) {
	r, model := newChaos(o)
	defer func() {
		if p := recover(); p != nil {
			r.world.violate("panic", fmt.Sprint(p))
			report.Options = o
			report.Violations = r.world.violations
		}
	}()
	r.run(model)
	return r.report()
}

func chaosConfiguration(w *world) chivehillwire.Configuration {
	pool := chivehillwire.PoolSpec{Pool: simPool, ColdConcurrency: 1, RampSuccesses: 4}
	for i, id := range w.order {
		s := w.servers[id]
		pool.Servers = append(pool.Servers, chivehillwire.ServerSpec{
			Server: id, Address: fmt.Sprintf("127.0.0.1:%d", 30000+i), FailureDomain: s.end.place.domain, Slots: chivehillid.Slots(s.model.slots),
		})
	}
	return chivehillwire.Configuration{
		Version:  1,
		Services: []chivehillwire.ServiceEntry{{Spec: chivehillwire.ServiceSpec{Service: "service"}, Version: 1}},
		Pools:    []chivehillwire.PoolEntry{{Spec: pool, Version: 1}},
		Routes: []chivehillwire.RouteEntry{{Spec: chivehillwire.RouteSpec{
			Route: "run", Service: "service", PathPrefix: "/", Pool: simPool, DeadlineMs: callDeadline,
		}, Version: 1}},
		RegionRules: []chivehillwire.RuleEntry{{Spec: chivehillwire.RegionRule{
			Rule: "bound", Tenant: boundTenant, Regions: []chivehillid.RegionID{boundRegion},
		}, Version: 1}},
	}
}

func (r *chaos) run(model serverModel) {
	w := r.world
	w.record.onArrive = r.checkArrival
	w.record.onStart = r.checkStart
	for _, id := range w.order {
		w.servers[id].coldStart(true)
	}
	for _, h := range w.hosts {
		h.boot()
	}
	r.end = warmTime + chivehillclock.Millis(r.options.Seconds)*chivehillclock.Second
	rate := float64(r.options.Servers*r.options.Slots) / chaosMeanMs * model.capacityShare() * r.options.Load
	w.engine.after(warmTime/2, func() { r.arrive(rate) })
	r.schedule()
	w.engine.run(r.end + settleTime)
	r.checkEnd()
}

// schedule injects the faults at random times, each twice.
func (r *chaos) schedule() {
	const times = 2
	span := r.end - warmTime
	for _, f := range r.options.Faults {
		for range times {
			at := warmTime + span*chivehillclock.Millis(0.8*r.world.engine.random.Float64())
			r.world.engine.at(at, func() { r.inject(f) })
		}
	}
}

func (r *chaos) arrive(rate float64) {
	if r.world.engine.now >= r.end {
		return
	}
	r.driver.start(r.newCall())
	r.world.engine.after(chivehillclock.Millis(r.world.engine.random.ExpFloat64()/rate), func() { r.arrive(rate) })
}

func (r *chaos) newCall() *call {
	random := r.world.engine.random
	r.next++
	const sigma = 0.7
	draw := func() float64 { return chaosMeanMs * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2) }
	c := &call{
		id: r.next, origin: benchPlaces[random.IntN(len(benchPlaces))], idempotent: random.Float64() >= keyedShare,
		sentAt: r.world.engine.now, work: draw(), hedge: draw(), tenant: "free",
	}
	if random.Float64() < boundShare {
		c.tenant = boundTenant
		// Few of the callers of a bound tenant ask in the wrong region.
		const astray = 0.1
		if random.Float64() >= astray {
			c.origin = benchPlaces[len(benchPlaces)-1]
		}
	}
	return c
}

// checkArrival checks a job that arrives at a server.
func (r *chaos) checkArrival(s *server, j *job) {
	w := r.world
	w.checkBound(j.call, s.end.place.region, "sending")
	if since, out := r.outSince[s.end.place.domain]; out && j.sentAt > since+domainGrace && !r.cutOff(s, since) {
		w.violate("domain-out", fmt.Sprintf("%s in %s got work %.0f ms after its domain was taken out", s.id, s.end.place.domain, j.sentAt-since))
	}
	if s.draining && j.sentAt > s.drainKnownAt+drainGrace {
		w.violate("draining", fmt.Sprintf("%s got work %.0f ms after its drain signal", s.id, j.sentAt-s.drainKnownAt))
	}
}

// cutOff reports whether the servers' region was cut off from the store for
// some time since a note was accepted. Its hosts then go on with the version
// they have, as docs/design/notes.md tells.
func (r *chaos) cutOff(s *server, since chivehillclock.Millis) bool {
	const heal = 2 * chivehillclock.Second
	return s.end.place.region != r.world.store.end.place.region && r.cutUntil+heal > since
}

// checkStart checks a job that starts.
func (r *chaos) checkStart(s *server, j *job) {
	if !j.call.idempotent && r.world.record.runs[j.send] > 1 {
		r.world.violate("at-most-once", fmt.Sprintf("key %s ran %d times, last at %s", j.send, r.world.record.runs[j.send], s.id))
	}
	if j.call.crash {
		r.driver.crashes[j.call.id]++
	}
}

// checkEnd checks what must hold when everything has healed.
func (r *chaos) checkEnd() {
	w := r.world
	for _, name := range slices.Sorted(maps.Keys(r.driver.answers)) {
		r.checkAnswers(name, r.driver.answers[name])
	}
	for _, o := range w.record.overloads {
		w.violations = append(w.violations, Violation{
			Invariant: "cold-limit", At: o.at, Detail: fmt.Sprintf("%s bore %d and had %d when one more came", o.server, o.bears, o.inside),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(r.driver.crashes)) {
		if n := r.driver.crashes[id]; n > 2 {
			w.violate("poison", fmt.Sprintf("call %d broke %d servers", id, n))
		}
	}
	want := w.store.configuration.Version
	for _, h := range w.hosts {
		if got := h.cluster.state.Version(); !h.dead && got != want {
			w.violate("note-everywhere", fmt.Sprintf("%s has version %d, the store %d", h.id, got, want))
		}
	}
	if r.driver.open > 0 {
		w.violate("answered", fmt.Sprintf("%d calls have no end", r.driver.open))
	}
}

// checkAnswers compares the answers with what ran.
func (r *chaos) checkAnswers(name string, o *outcomes) {
	runs := r.world.record.runs[name]
	for _, a := range o.answers {
		if a.outcome == chivehillreason.NotRun && runs > 0 {
			r.world.violate("not-run-is-true", fmt.Sprintf("%s was answered not run (%s) and ran %d times", name, a.reason, runs))
		}
		if a.outcome == chivehillreason.Done && a.reason == "" && runs == 0 {
			r.world.violate("done-is-true", fmt.Sprintf("%s was answered done and did not run", name))
		}
	}
}

func (r *chaos) report() ChaosReport {
	w := r.world
	report := ChaosReport{
		Options: r.options, Violations: w.violations, Calls: r.driver.total, Outcomes: r.driver.calls,
		Started: w.record.Started, StoreCalls: w.store.reads + w.store.writes, LinkBytes: w.network.linkBytes,
	}
	for _, id := range w.order {
		report.Probes += w.servers[id].probes
	}
	if n := len(r.driver.times); n > 0 {
		slices.Sort(r.driver.times)
		report.P99Ms = float64(r.driver.times[n*99/100])
	}
	return report
}
