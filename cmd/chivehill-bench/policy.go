package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/sourcegraph/conc/pool"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillsim"
)

// shape is one pool of a deployment.
type shape struct {
	name       string
	servers    int
	slots      int
	idempotent bool
	straggler  bool
}

// shapes lists the pools of both deployments. The second pool of each is never
// hedged, since its requests are not idempotent.
var shapes = []shape{
	{name: "tables-svc", servers: 22, slots: 4, idempotent: true},
	{name: "design-svc", servers: 8, slots: 4},
	{name: "matriculas", servers: 20, slots: 2, idempotent: true},
	{name: "oficina-caixa", servers: 8, slots: 2},
}

// own returns the policy as the program runs it.
func own() chivehillsim.Chivehill {
	return chivehillsim.Chivehill{
		Hedging: true, Slack: chivehillbalance.DefaultSlack, BacklogSlack: chivehillbalance.DefaultBacklogSlack,
		Fanout: chivehillbalance.DefaultFanout,
	}
}

// namedPolicy is a policy with its name in the tables.
type namedPolicy struct {
	name   string
	policy chivehillsim.Policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"chivehill", own()},
		{"omniscient queue", chivehillsim.Omniscient{Slack: 1}},
		{"power of two", chivehillsim.PowerOfTwo{}},
		{"least reported", chivehillsim.LeastReported{}},
		{"round robin", chivehillsim.RoundRobin{}},
		{"random", chivehillsim.Random{}},
	}
}

// model flags are shared by the commands that run the model.
type model struct {
	Calls int    `default:"60000" help:"Calls in each run."`
	Seeds int    `default:"3" help:"Seeds; the table shows the mean of their figures."`
	Seed  uint64 `default:"1" help:"First seed."`
}

// mean runs a scenario with each seed and returns the mean of the figures.
func (m model) mean(s chivehillsim.Scenario, p chivehillsim.Policy) chivehillsim.Result {
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
	model
	Loads []float64 `default:"0.5,0.7,0.85,0.95,1.3" help:"Offered loads as shares of the capacity."`
}

// Run implements the command.
func (c *policyCmd) Run() error {
	type row struct {
		shape  shape
		load   float64
		named  namedPolicy
		result chivehillsim.Result
	}
	var rows []*row
	runs := pool.New().WithMaxGoroutines(workers)
	for _, s := range shapes {
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

func (s shape) scenario(load float64) chivehillsim.Scenario {
	const hosts, flood = 14, 0.6
	return chivehillsim.Scenario{
		Name: s.name, Servers: s.servers, Slots: s.slots, Hosts: hosts, Load: load, Idempotent: s.idempotent, FloodTenant: flood, Straggler: s.straggler,
	}
}

// workers bounds the runs at the same time.
const workers = 8

func newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// mechanismsCmd switches mechanisms off.
type mechanismsCmd struct {
	model
	Loads []float64 `default:"0.85,1.3" help:"Offered loads as shares of the capacity."`
	// Straggler shows what ejection earns.
	Straggler bool `help:"Let one server be eight times slower than the others."`
}

// variants returns the policy without one mechanism each.
func variants() []namedPolicy {
	change := func(name string, f func(*chivehillsim.Chivehill)) namedPolicy {
		p := own()
		f(&p)
		return namedPolicy{name, p}
	}
	return []namedPolicy{
		{"all on", own()},
		change("no hedging", func(p *chivehillsim.Chivehill) { p.Hedging = false }),
		change("no slack", func(p *chivehillsim.Chivehill) { p.Slack, p.BacklogSlack = 0, 0 }),
		change("slack 1", func(p *chivehillsim.Chivehill) { p.Slack = 1 }),
		change("slack 4", func(p *chivehillsim.Chivehill) { p.Slack = 4 }),
		change("no backlog slack", func(p *chivehillsim.Chivehill) { p.BacklogSlack = p.Slack }),
		change("backlog slack 6", func(p *chivehillsim.Chivehill) { p.BacklogSlack = 6 }),
		change("wait at one owner", func(p *chivehillsim.Chivehill) { p.Fanout = 1 }),
		change("wait at four owners", func(p *chivehillsim.Chivehill) { p.Fanout = 4 }),
		change("no admission", func(p *chivehillsim.Chivehill) { p.Off.Admission = true }),
		change("no fairness", func(p *chivehillsim.Chivehill) { p.Off.Fairness = true }),
		change("no ejection", func(p *chivehillsim.Chivehill) { p.Off.Ejection = true }),
		change("no cold ramp", func(p *chivehillsim.Chivehill) { p.Off.Ramp = true }),
		change("callers at random", func(p *chivehillsim.Chivehill) { p.RandomHosts = true }),
	}
}

// Run implements the command.
func (c *mechanismsCmd) Run() error {
	w := newTable()
	for i := range shapes {
		shapes[i].straggler = c.Straggler
	}
	fmt.Fprintln(w, "pool\tload\tvariant\tp50 ms\tp99 ms\tp99.9 ms\tin time\tgoodput\tremote slots\textra sends\tsmallest tenant\t")
	for _, s := range []shape{shapes[0], shapes[2]} {
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
