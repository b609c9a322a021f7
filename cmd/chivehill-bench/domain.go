package main

import (
	"fmt"

	"github.com/chivehill/chivehill/internal/chivehillsim"
)

// domainCmd takes a failure domain out of service under load and brings it back.
type domainCmd struct {
	Load float64 `default:"0.4" help:"Offered load as a share of the capacity of all domains."`
	Seed uint64  `default:"1" help:"Random seed."`
}

// Run implements the command.
func (c *domainCmd) Run() error {
	for _, s := range []poolShape{poolShapes[0], poolShapes[2]} {
		const hosts = 14
		r := chivehillsim.RunDomain(chivehillsim.ChaosOptions{Seed: c.Seed, Servers: s.servers, Slots: s.slots, Hosts: hosts, Load: c.Load})
		fmt.Printf("%s, load %.2f, seed %d\n", s.name, c.Load, c.Seed)
		w := newTable()
		fmt.Fprintln(w, "second\tcalls\tdone\trefused\tunknown\tp99 ms\tevent\t")
		for i, t := range r.Seconds {
			fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%.1f\t%s\t\n", i, t.Calls, t.Done, t.Refused, t.Unknown, t.P99Ms, t.Event)
		}
		if err := w.Flush(); err != nil {
			return err
		}
		fmt.Printf("violations: %d\n\n", len(r.Violations))
		if len(r.Violations) > 0 {
			fmt.Printf("%+v\n", r.Violations[0])
			return errViolated
		}
	}
	return nil
}
