package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillstandin"
)

// loadCmd sends calls and checks their results against the servers' records.
type loadCmd struct {
	Hosts      []string      `required:"" help:"Addresses for callers of some entry hosts."`
	Tenant     string        `help:"Tenant of the calls."`
	Lookups    int           `default:"300" help:"Idempotent calls."`
	LookupPath string        `default:"/tables/strength" help:"Path of the idempotent calls."`
	Runs       int           `default:"100" help:"Non-idempotent calls."`
	RunPath    string        `default:"/design/runs" help:"Path of the non-idempotent calls."`
	Callers    int           `default:"16" help:"Concurrent calls."`
	Timeout    time.Duration `default:"20s" help:"Timeout of one call, with its retries."`
	Servers    []string      `required:"" help:"Addresses of the servers whose records are checked."`
}

var errCheckFailed = errors.New("a call did not succeed, a response was wrong, a key ran twice, or records of a server could not be read")

// Run implements the command.
func (c *loadCmd) Run() error {
	ctx := context.Background()
	reports := chivehillstandin.RunLoad(ctx, chivehillstandin.LoadOptions{
		Seeds: c.Hosts, Tenant: c.Tenant, Lookups: c.Lookups, LookupPath: c.LookupPath,
		Runs: c.Runs, RunPath: c.RunPath, Callers: c.Callers, Timeout: c.Timeout,
	})
	records := chivehillstandin.ReadRecords(ctx, c.Servers)
	maxRuns := chivehillstandin.MostRuns(records)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind\tcalls\tdone\tnot run\tunknown\twrong\tp50 ms\tp99 ms\tmost runs per key\t")
	passed := maxRuns <= 1 && len(records) == len(c.Servers)
	for _, r := range reports {
		runs := "-"
		if r.Kind == "run" {
			runs = fmt.Sprint(maxRuns)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%s\t\n", r.Kind, r.Calls, r.Done, r.NotRun, r.Unknown, r.Wrong, r.P50Ms, r.P99Ms, runs)
		passed = passed && r.Done == r.Calls && r.Wrong == 0
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		for reason, n := range r.Reasons {
			fmt.Printf("%s refused %d times: %s\n", r.Kind, n, reason)
		}
	}
	if !passed {
		return errCheckFailed
	}
	return nil
}
