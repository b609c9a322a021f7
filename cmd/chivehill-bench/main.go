// Command chivehill-bench measures the balancing policy, the invariants under
// long randomised runs, and the cost of an entry host.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Policy     policyCmd     `cmd:"" help:"Compare the policy with baselines under a virtual clock."`
	Mechanisms mechanismsCmd `cmd:"" help:"Switch each mechanism off once."`
	Domain     domainCmd     `cmd:"" help:"Take a failure domain out and back during a rush."`
	Entry      entryCmd      `cmd:"" help:"Measure the time that an entry host adds to a call."`
	Keys       keysCmd       `cmd:"" help:"Measure the memory and time of the key table."`
	Soak       soakCmd       `cmd:"" help:"Run randomised runs with faults and check the invariants."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("chivehill-bench"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "chivehill-bench: "+err.Error())
		os.Exit(1)
	}
}
