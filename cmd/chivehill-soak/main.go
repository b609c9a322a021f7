// Command chivehill-soak runs hosts as processes, injects faults, and checks the
// responses to callers and the requests at servers.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	chivehillsoak "github.com/chivehill/chivehill/platform/soak"
)

// cli defines the command-line flags.
type cli struct {
	Binary  string        `default:"bin/chivehill" help:"Program of the hosts."`
	Seed    uint64        `help:"Seed of the faults; drawn from the time if 0."`
	Runs    int           `default:"1" help:"Number of runs, with rising seeds."`
	Length  time.Duration `default:"20s" help:"Time of faults in each run."`
	Callers int           `default:"12" help:"Number of callers."`
	Hosts   int           `default:"2" help:"Hosts in each failure domain."`
	Folder  string        `help:"Folder for settings and logs; a new one for each run if empty."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("chivehill-soak"), kong.Description("Runs hosts as processes under faults."))
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	failed := 0
	for i := range c.Runs {
		if err := runSoak(c, c.Seed+uint64(i)); err != nil {
			fmt.Fprintf(os.Stderr, "chivehill-soak: seed %d: %v\n", c.Seed+uint64(i), err)
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", c.Runs-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func runSoak(c cli, seed uint64) error {
	folder := c.Folder
	if folder == "" {
		dir, err := os.MkdirTemp("", "chivehill-soak-")
		if err != nil {
			return fmt.Errorf("create folder: %w", err)
		}
		folder = dir
	}
	return chivehillsoak.Play(chivehillsoak.Options{
		Binary: c.Binary, Folder: folder, Seed: seed, Length: c.Length, Callers: c.Callers, HostsPerDomain: c.Hosts, Out: os.Stdout,
	})
}
