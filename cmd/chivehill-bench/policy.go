package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/sourcegraph/conc/pool"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillsim"
)

// poolShape is the size and kind of an upstream pool.
type poolShape struct {
	name       string
	servers    int
	slots      int
	idempotent bool
	straggler  bool
}

// poolShapes lists the pools of two deployments, two each. Requests of the second
// pool of a deployment are not idempotent and therefore never hedged.
var poolShapes = []poolShape{
	{name: "tables-svc", servers: 22, slots: 4, idempotent: true},
	{name: "design-svc", servers: 8, slots: 4},
	{name: "matriculas", servers: 20, slots: 2, idempotent: true},
	{name: "oficina-caixa", servers: 8, slots: 2},
}

// defaultPolicy returns the policy with the defaults of the program.
func defaultPolicy() chivehillsim.Chivehill {
	return chivehillsim.Chivehill{
		Hedging: true, Slack: chivehillbalance.DefaultSlack, BacklogSlack: chivehillbalance.DefaultBacklogSlack,
		Fanout: chivehillbalance.DefaultFanout,
	}
}

// namedPolicy is a policy with its name in the printed tables.
type namedPolicy struct {
	name   string
	policy chivehillsim.Policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"chivehill", defaultPolicy()},
		{"omniscient queue", chivehillsim.Omniscient{Slack: 1}},
		{"power of two", chivehillsim.PowerOfTwo{}},
		{"least reported", chivehillsim.LeastReported{}},
		{"round robin", chivehillsim.RoundRobin{}},
		{"random", chivehillsim.Random{}},
	}
}

// simulationFlags are the flags shared by the commands that simulate policies.
type simulationFlags struct {
	Calls int    `default:"60000" help:"Calls in each simulation run."`
	Seeds int    `default:"3" help:"Number of seeds; the table shows the mean of their results."`
	Seed  uint64 `default:"1" help:"First seed."`
}

// mean simulates a scenario with each seed and returns the mean of the results.
func (m simulationFlags) mean(s chivehillsim.Scenario, p chivehillsim.Policy) chivehillsim.Result {
	var sum chivehillsim.Result
	for i := range m.Seeds {
		s.Seed = m.Seed + uint64(i)
		s.Calls = m.Calls
		sum = sum.Add(chivehillsim.Run(s, p))
	}
	return sum.Scale(1 / float64(m.Seeds))
}

// policyCmd compares policies.
type policyCmd struct {
	simulationFlags
	Loads []float64 `default:"0.5,0.7,0.85,0.95,1.3" help:"Offered loads as shares of the capacity."`
}

// Run implements the command.
func (c *policyCmd) Run() error {
	type row struct {
		shape  poolShape
		load   float64
		named  namedPolicy
		result chivehillsim.Result
	}
	var rows []*row
	runs := pool.New().WithMaxGoroutines(workers)
	for _, s := range poolShapes {
		for _, load := range c.Loads {
			for _, p := range policies() {
				r := &row{shape: s, load: load, named: p}
				rows = append(rows, r)
				runs.Go(func() { r.result = c.mean(r.shape.scenario(r.load), r.named.policy) })
			}
		}
	}
	runs.Wait()
	w := newTable()
	fmt.Fprintln(w, "pool\tload\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\tin time\tgoodput\tremote slots\textra sends\tsmallest tenant\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.2f\t%s\t%.1f\t%.1f\t%.1f\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", r.shape.name, r.load, r.named.name,
			r.result.P50Ms, r.result.P99Ms, r.result.P999Ms, r.result.Good, r.result.Goodput, r.result.Remote, max(0, r.result.Extra), r.result.SmallestTenant())
	}
	return w.Flush()
}

func (s poolShape) scenario(load float64) chivehillsim.Scenario {
	const hosts, flood = 14, 0.6
	return chivehillsim.Scenario{
		Name: s.name, Servers: s.servers, Slots: s.slots, Hosts: hosts, Load: load, Idempotent: s.idempotent, FloodTenant: flood, Straggler: s.straggler,
	}
}

// workers bounds the number of concurrent simulation runs.
const workers = 8

func newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// mechanismsCmd compares the policy with variants that lack one mechanism or use
// another parameter.
type mechanismsCmd struct {
	simulationFlags
	Loads []float64 `default:"0.85,1.3" help:"Offered loads as shares of the capacity."`
	// Straggler shows the benefit of ejection.
	Straggler bool `help:"Make one server eight times slower than the others."`
}

// variants returns the default policy and its variants, each with one mechanism
// disabled or one parameter changed.
func variants() []namedPolicy {
	variant := func(name string, f func(*chivehillsim.Chivehill)) namedPolicy {
		p := defaultPolicy()
		f(&p)
		return namedPolicy{name, p}
	}
	return []namedPolicy{
		{"all on", defaultPolicy()},
		variant("no hedging", func(p *chivehillsim.Chivehill) { p.Hedging = false }),
		variant("no slack", func(p *chivehillsim.Chivehill) { p.Slack, p.BacklogSlack = 0, 0 }),
		variant("slack 1", func(p *chivehillsim.Chivehill) { p.Slack = 1 }),
		variant("slack 4", func(p *chivehillsim.Chivehill) { p.Slack = 4 }),
		variant("no backlog slack", func(p *chivehillsim.Chivehill) { p.BacklogSlack = p.Slack }),
		variant("backlog slack 6", func(p *chivehillsim.Chivehill) { p.BacklogSlack = 6 }),
		variant("wait at one owner", func(p *chivehillsim.Chivehill) { p.Fanout = 1 }),
		variant("wait at four owners", func(p *chivehillsim.Chivehill) { p.Fanout = 4 }),
		variant("no admission", func(p *chivehillsim.Chivehill) { p.Off.Admission = true }),
		variant("no fairness", func(p *chivehillsim.Chivehill) { p.Off.Fairness = true }),
		variant("no ejection", func(p *chivehillsim.Chivehill) { p.Off.Ejection = true }),
		variant("no cold ramp", func(p *chivehillsim.Chivehill) { p.Off.Ramp = true }),
		variant("callers at random", func(p *chivehillsim.Chivehill) { p.RandomHosts = true }),
	}
}

// Run implements the command.
func (c *mechanismsCmd) Run() error {
	w := newTable()
	for i := range poolShapes {
		poolShapes[i].straggler = c.Straggler
	}
	fmt.Fprintln(w, "pool\tload\tvariant\tp50 ms\tp99 ms\tp99.9 ms\tin time\tgoodput\tremote slots\textra sends\tsmallest tenant\t")
	for _, s := range []poolShape{poolShapes[0], poolShapes[2]} {
		for _, load := range c.Loads {
			results := make([]chivehillsim.Result, len(variants()))
			runs := pool.New().WithMaxGoroutines(workers)
			for i, v := range variants() {
				runs.Go(func() { results[i] = c.mean(s.scenario(load), v.policy) })
			}
			runs.Wait()
			for i, v := range variants() {
				r := results[i]
				fmt.Fprintf(w, "%s\t%.2f\t%s\t%.1f\t%.1f\t%.1f\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", s.name, load, v.name,
					r.P50Ms, r.P99Ms, r.P999Ms, r.Good, r.Goodput, r.Remote, max(0, r.Extra), r.SmallestTenant())
			}
		}
	}
	return w.Flush()
}
