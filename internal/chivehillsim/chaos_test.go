package chivehillsim

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillreason"
)

// options returns a run of the size of one deployment.
func options(seed uint64, faults ...Fault) ChaosOptions {
	o := ChaosOptions{Seed: seed, Faults: faults, Servers: 22, Slots: 4, Hosts: 14, Seconds: 8, Load: 0.06}
	if seed%2 == 0 {
		o.Servers, o.Slots = 20, 2
	}
	return o
}

// checkRun fails the test with all violations of a run.
func checkRun(c *qt.C, o ChaosOptions) ChaosReport {
	r := RunChaos(o)
	for i, v := range r.Violations {
		if i == 5 {
			c.Errorf("%d more violations", len(r.Violations)-i)
			break
		}
		c.Errorf("seed %d, faults %v: %s at %.0f ms: %s", o.Seed, o.Faults, v.Invariant, v.At, v.Detail)
	}
	return r
}

func TestNoFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := checkRun(c, options(1))
	c.Assert(r.Outcomes[chivehillreason.Done] > r.Calls*9/10, qt.IsTrue, qt.Commentf("%v", r.Outcomes))
}

func TestEachFaultAlone(t *testing.T) {
	for i, f := range Faults {
		for seed := range uint64(2) {
			o := options(10*uint64(i)+seed+1, f)
			t.Run(fmt.Sprintf("%s/%d", f, o.Seed), func(t *testing.T) {
				t.Parallel()
				checkRun(qt.New(t), o)
			})
		}
	}
}

func TestFaultsInPairs(t *testing.T) {
	seed := uint64(1000)
	for i, a := range Faults {
		for _, b := range Faults[i+1:] {
			seed++
			o := options(seed, a, b)
			o.Load = 0.03
			t.Run(fmt.Sprintf("%s+%s/%d", a, b, seed), func(t *testing.T) {
				t.Parallel()
				checkRun(qt.New(t), o)
			})
		}
	}
}

// TestChecksNotice switches one mechanism off at a time and expects the
// violation that the mechanism prevents.
func TestChecksNotice(t *testing.T) {
	tests := []struct {
		off    Mechanism
		faults []Fault
		want   string
	}{
		{KeyOwnership, []Fault{HostPaused}, "at-most-once"},
		{RetryJudgement, []Fault{ServerBreaks, PoolRestarts}, "at-most-once"},
		{ColdRamp, []Fault{PoolRestarts}, "cold-limit"},
		{OwnerConfirmation, []Fault{HostIsolated, HostIsolated, HostIsolated, PoolRestarts, PoolRestarts}, "cold-limit"},
		{DomainCheck, []Fault{DomainWithdrawn}, "domain-out"},
		{StalenessFence, []Fault{HostIsolated, HostIsolated, HostIsolated, DomainWithdrawn, DomainWithdrawn}, "domain-out"},
		{DrainMark, []Fault{ServerDrains}, "draining"},
		{SuspectTable, []Fault{PoisonRequest}, "poison"},
		{RegionCheck, nil, "home-region"},
		{GracefulStop, []Fault{HostReplaced, TwoHostsReplaced}, "planned-stop"},
	}
	const seeds = 12
	for _, tt := range tests {
		t.Run(string(tt.off), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range uint64(seeds) {
				o := options(seed+1, tt.faults...)
				o.Off = tt.off
				o.Load = 0.15
				for _, v := range RunChaos(o).Violations {
					if v.Invariant == tt.want {
						return
					}
				}
			}
			c.Fatalf("no %s violation in %d seeds", tt.want, seeds)
		})
	}
}

// TestSameSeedSameRun checks that a seed reproduces a run exactly.
func TestSameSeedSameRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	o := options(77, HostKilled, LinkCut, PoolRestarts)
	c.Assert(RunChaos(o), qt.DeepEquals, RunChaos(o))
}
