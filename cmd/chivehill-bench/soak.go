package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/sourcegraph/conc/pool"

	"github.com/chivehill/chivehill/internal/chivehillsim"
)

// soakCmd checks the invariants in randomised simulations with faults.
type soakCmd struct {
	Runs    int     `default:"200" help:"Number of runs; each has its own seed."`
	Seed    uint64  `default:"1" help:"First seed. To reproduce a run, pass its seed and --runs 1."`
	Faults  int     `default:"3" help:"Faults drawn at random for each run."`
	Seconds float64 `default:"12" help:"Virtual seconds in which calls arrive."`
	Load    float64 `default:"0.1" help:"Offered load as a share of the capacity."`
}

var errViolated = errors.New("an invariant was violated")

// Run implements the command.
func (c *soakCmd) Run() error {
	var mu sync.Mutex
	calls, failedRuns := 0, 0
	runs := pool.New().WithMaxGoroutines(workers)
	for i := range c.Runs {
		runs.Go(func() {
			r := chivehillsim.RunChaos(c.options(c.Seed + uint64(i)))
			mu.Lock()
			defer mu.Unlock()
			calls += r.Calls
			if len(r.Violations) == 0 {
				return
			}
			failedRuns++
			fmt.Printf("seed %d, faults %v: %d violations\n", r.Options.Seed, r.Options.Faults, len(r.Violations))
			fmt.Printf("  %s at %.0f ms: %s\n", r.Violations[0].Invariant, r.Violations[0].At, r.Violations[0].Detail)
		})
	}
	runs.Wait()
	fmt.Printf("%d runs from seed %d, %d calls, %d runs with violations\n", c.Runs, c.Seed, calls, failedRuns)
	if failedRuns > 0 {
		return errViolated
	}
	return nil
}

// options derives the options of a run from its seed.
func (c *soakCmd) options(seed uint64) chivehillsim.ChaosOptions {
	const stream = 17
	random := rand.New(rand.NewPCG(seed, stream))
	o := chivehillsim.ChaosOptions{Seed: seed, Servers: 22, Slots: 4, Hosts: 14, Seconds: c.Seconds, Load: c.Load}
	if random.IntN(2) == 0 {
		o.Servers, o.Slots = 20, 2
	}
	for range c.Faults {
		o.Faults = append(o.Faults, chivehillsim.Faults[random.IntN(len(chivehillsim.Faults))])
	}
	return o
}
