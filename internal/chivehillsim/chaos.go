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
	// Off switches one mechanism off, to show that the checks detect its absence.
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
	// settleTime is the time without new calls at the end, for the recovery of
	// everything.
	settleTime = 25 * chivehillclock.Second
	// warmUpTime is the time before the first fault.
	warmUpTime = 8 * chivehillclock.Second
	// keyedShare is the share of non-idempotent calls.
	keyedShare = 0.4
	boundShare = 0.2
	// domainGrace is the time after the acceptance of a note by which it is in force.
	domainGrace = 3500 * chivehillclock.Millisecond
	// drainGrace is the time after a drain signal by which no new work arrives.
	drainGrace = 3 * chivehillclock.Second
)

// chaosRun is one randomised run.
type chaosRun struct {
	options    ChaosOptions
	world      *world
	generator  *generator
	callsUntil chivehillclock.Millis
	lastCallID int
	noteCount  int
	out        map[chivehillid.DomainID]bool
	// outSince holds since when a domain is out of service by an accepted note.
	outSince map[chivehillid.DomainID]chivehillclock.Millis
	// cutFrom and cutUntil bound the newest cut of the link between regions.
	cutFrom, cutUntil chivehillclock.Millis
}

// newChaos prepares a run.
func newChaos(o ChaosOptions) (*chaosRun, serverModel) {
	model := serverModel{
		slots: o.Slots, meanMs: chaosMeanMs, sigma: 0.7, slowPeriodGap: benchSlowPeriodGap, coldConcurrency: 1, coldSuccesses: 4, coldFactor: 2,
	}
	w := buildWorld(o.Hosts, o.Servers, model, o.Seed)
	w.hedging = true
	w.disabled = o.Off
	w.store = &store{
		world: w, endpoint: endpoint{name: "store", location: benchLocations[0], control: true}, configuration: chaosConfiguration(w),
	}
	return &chaosRun{
		options: o, world: w, out: make(map[chivehillid.DomainID]bool), outSince: make(map[chivehillid.DomainID]chivehillclock.Millis),
		cutFrom: never, cutUntil: never,
		generator: &generator{
			world: w, answers: make(map[string]*answerList), calls: make(map[chivehillreason.Outcome]int), crashes: make(map[int]int),
		},
	}, model
}

// RunChaos runs calls under faults and checks the invariants.
func RunChaos(o ChaosOptions) (report ChaosReport) {
	r, model := newChaos(o)
	defer func() {
		if p := recover(); p != nil {
			r.world.addViolation("panic", fmt.Sprint(p))
			report.Options = o
			report.Violations = r.world.violations
		}
	}()
	r.run(model)
	return r.report()
}

func chaosConfiguration(w *world) chivehillwire.Configuration {
	pool := chivehillwire.PoolSpec{Pool: simPool, ColdConcurrency: 1, RampSuccesses: 4}
	for i, id := range w.serverIDs {
		s := w.servers[id]
		pool.Servers = append(pool.Servers, chivehillwire.ServerSpec{
			Server: id, Address: fmt.Sprintf("127.0.0.1:%d", 30000+i), FailureDomain: s.endpoint.location.domain, Slots: chivehillid.Slots(s.model.slots),
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

func (r *chaosRun) run(model serverModel) {
	w := r.world
	w.record.onArrive = r.checkArrival
	w.record.onStart = r.checkStart
	for _, id := range w.serverIDs {
		w.servers[id].coldStart(true)
	}
	for _, h := range w.hosts {
		h.boot()
	}
	r.callsUntil = warmUpTime + chivehillclock.Millis(r.options.Seconds)*chivehillclock.Second
	rate := float64(r.options.Servers*r.options.Slots) / chaosMeanMs * model.capacityShare() * r.options.Load
	w.engine.after(warmUpTime/2, func() { r.arrive(rate) })
	r.schedule()
	w.engine.run(r.callsUntil + settleTime)
	r.checkEnd()
}

// schedule injects the faults at random times, each twice.
func (r *chaosRun) schedule() {
	const times = 2
	span := r.callsUntil - warmUpTime
	for _, f := range r.options.Faults {
		for range times {
			at := warmUpTime + span*chivehillclock.Millis(0.8*r.world.engine.random.Float64())
			r.world.engine.at(at, func() { r.inject(f) })
		}
	}
}

func (r *chaosRun) arrive(rate float64) {
	if r.world.engine.now >= r.callsUntil {
		return
	}
	r.generator.start(r.newCall())
	r.world.engine.after(chivehillclock.Millis(r.world.engine.random.ExpFloat64()/rate), func() { r.arrive(rate) })
}

func (r *chaosRun) newCall() *call {
	random := r.world.engine.random
	r.lastCallID++
	const sigma = 0.7
	draw := func() float64 { return chaosMeanMs * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2) }
	c := &call{
		id: r.lastCallID, origin: benchLocations[random.IntN(len(benchLocations))], idempotent: random.Float64() >= keyedShare,
		sentAt: r.world.engine.now, work: draw(), hedge: draw(), tenant: "free",
	}
	if random.Float64() < boundShare {
		c.tenant = boundTenant
		// A few callers of a bound tenant send to the wrong region.
		const wrongRegionShare = 0.1
		if random.Float64() >= wrongRegionShare {
			c.origin = benchLocations[len(benchLocations)-1]
		}
	}
	return c
}

// checkArrival checks a job that arrives at a server.
func (r *chaosRun) checkArrival(s *server, j *job) {
	w := r.world
	w.checkBound(j.call, s.endpoint.location.region, "sending")
	if since, out := r.outSince[s.endpoint.location.domain]; out && j.sentAt > since+domainGrace && !r.cutOffFromStore(s, since) {
		w.addViolation("domain-out", fmt.Sprintf("%s in %s got work %.0f ms after its domain was taken out", s.id, s.endpoint.location.domain, j.sentAt-since))
	}
	if s.draining && j.sentAt > s.drainKnownAt+drainGrace {
		w.addViolation("draining", fmt.Sprintf("%s got work %.0f ms after its drain signal", s.id, j.sentAt-s.drainKnownAt))
	}
}

// cutOffFromStore reports whether the servers' region was cut off from the store for
// some time since a note was accepted. Its hosts then go on with the version
// they have, as docs/design/notes.md tells.
func (r *chaosRun) cutOffFromStore(s *server, since chivehillclock.Millis) bool {
	const propagation = 2 * chivehillclock.Second
	return s.endpoint.location.region != r.world.store.endpoint.location.region && r.cutUntil+propagation > since
}

// checkStart checks a job that starts.
func (r *chaosRun) checkStart(s *server, j *job) {
	if !j.call.idempotent && r.world.record.runs[j.sendID] > 1 {
		r.world.addViolation("at-most-once", fmt.Sprintf("key %s ran %d times, last at %s", j.sendID, r.world.record.runs[j.sendID], s.id))
	}
	if j.call.crash {
		r.generator.crashes[j.call.id]++
	}
}

// checkEnd checks what must hold after recovery.
func (r *chaosRun) checkEnd() {
	w := r.world
	for _, name := range slices.Sorted(maps.Keys(r.generator.answers)) {
		r.checkAnswers(name, r.generator.answers[name])
	}
	for _, o := range w.record.overloads {
		w.violations = append(w.violations, Violation{
			Invariant: "cold-limit", At: o.at, Detail: fmt.Sprintf("%s bore %d and had %d when one more came", o.server, o.capacity, o.inFlight),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(r.generator.crashes)) {
		if n := r.generator.crashes[id]; n > 2 {
			w.addViolation("poison", fmt.Sprintf("call %d broke %d servers", id, n))
		}
	}
	want := w.store.configuration.Version
	for _, h := range w.hosts {
		if got := h.cluster.state.Version(); !h.dead && got != want {
			w.addViolation("note-everywhere", fmt.Sprintf("%s has version %d, the store %d", h.id, got, want))
		}
	}
	if r.generator.open > 0 {
		w.addViolation("answered", fmt.Sprintf("%d calls have no end", r.generator.open))
	}
}

// checkAnswers compares the answers with what ran.
func (r *chaosRun) checkAnswers(name string, o *answerList) {
	runs := r.world.record.runs[name]
	for _, a := range o.answers {
		if a.outcome == chivehillreason.NotRun && runs > 0 {
			r.world.addViolation("not-run-is-true", fmt.Sprintf("%s was answered not run (%s) and ran %d times", name, a.reason, runs))
		}
		if a.outcome == chivehillreason.Done && a.reason == "" && runs == 0 {
			r.world.addViolation("done-is-true", fmt.Sprintf("%s was answered done and did not run", name))
		}
	}
}

func (r *chaosRun) report() ChaosReport {
	w := r.world
	report := ChaosReport{
		Options: r.options, Violations: w.violations, Calls: r.generator.total, Outcomes: r.generator.calls,
		Started: w.record.Started, StoreCalls: w.store.reads + w.store.writes, LinkBytes: w.network.linkBytes,
	}
	for _, id := range w.serverIDs {
		report.Probes += w.servers[id].probes
	}
	if n := len(r.generator.latencies); n > 0 {
		slices.Sort(r.generator.latencies)
		report.P99Ms = float64(r.generator.latencies[n*99/100])
	}
	return report
}
