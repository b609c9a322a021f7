package chivehillsim

import (
	"fmt"
	"testing"
	"time"
)

func TestChaosTrial(t *testing.T) {
	sets := [][]Fault{nil}
	for _, f := range Faults {
		sets = append(sets, []Fault{f})
	}
	for _, fs := range sets {
		start := time.Now()
		r := RunChaos(ChaosOptions{Seed: 1, Faults: fs, Servers: 22, Slots: 4, Hosts: 14, Seconds: 12, Load: 0.3})
		fmt.Printf("%-28v calls %d %v started %d p99 %.0f probes %d store %d link %.0f viol %d  %v\n", fs, r.Calls, r.Outcomes, r.Started, r.P99Ms, r.Probes, r.StoreCalls, r.LinkBytes, len(r.Violations), time.Since(start).Round(time.Millisecond))
		for i, v := range r.Violations {
			if i > 4 {
				break
			}
			fmt.Println("    ", v)
		}
	}
}
