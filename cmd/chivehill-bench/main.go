// Command chivehill-bench simulates the balancing policy, checks the invariants in
// randomised simulations with faults, and measures the cost of an entry host.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Policy     policyCmd     `cmd:"" help:"Compare the policy with baselines in a simulation."`
	Mechanisms mechanismsCmd `cmd:"" help:"Simulate the policy with one mechanism disabled or changed at a time."`
	Domain     domainCmd     `cmd:"" help:"Simulate taking a failure domain out of service and back under load."`
	Entry      entryCmd      `cmd:"" help:"Measure the latency that an entry host adds to a call."`
	Keys       keysCmd       `cmd:"" help:"Measure the memory and time of the key table."`
	Soak       soakCmd       `cmd:"" help:"Check the invariants in randomised simulations with faults."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("chivehill-bench"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "chivehill-bench: "+err.Error())
		os.Exit(1)
	}
}
