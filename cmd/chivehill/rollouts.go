package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillhost"
)

// rolloutsCmd shows the roll-outs as one gateway sees them. The address is the metrics address
// of the gateway.
type rolloutsCmd struct {
	operators
}

// Run implements the command.
func (c *rolloutsCmd) Run() error {
	var statuses []chivehillhost.RolloutStatus
	if err := c.get(chivehillhost.RolloutsPath, &statuses); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(statuses)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tTARGET\tSTATE\tAGE S\tOF S\tNEXT\tRULING\tEVIDENCE")
	for _, s := range statuses {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%s\t%s\t%s\n", s.Service, s.Target, s.State,
			s.Age/chivehillclock.Second, s.Duration/chivehillclock.Second, s.Next, s.Ruling, s.Verdict)
	}
	return w.Flush()
}
