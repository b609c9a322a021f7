// Command chivehill runs and operates an entry host of the load balancer.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	chivehillplatform "github.com/chivehill/chivehill/platform"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// cli is the command line.
type cli struct {
	Serve      serveCmd      `cmd:"" help:"Run an entry host."`
	Gateway    gatewayCmd    `cmd:"" help:"Run a host that reads its servers from the platform's store."`
	Rollouts   rolloutsCmd   `cmd:"" help:"Show the roll-outs as a gateway sees them, at its metrics address."`
	Explain    explainCmd    `cmd:"" help:"Show what happened to a request, from a host's log on standard input."`
	Check      checkCmd      `cmd:"" help:"Check a settings file without starting."`
	Jsonschema jsonschemaCmd `cmd:"" help:"Print the JSON Schema of settings, release notes or messages."`
	Note       noteCmd       `cmd:"" help:"Check, apply and show release notes."`
	Status     statusCmd     `cmd:"" help:"Show hosts, versions, servers and refusals."`
	Host       hostCmd       `cmd:"" help:"Show the entry hosts that callers should use."`
	Version    versionCmd    `cmd:"" help:"Print the version."`
}

// usageError marks invalid arguments or input files.
type usageError struct{ error }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.error }

const description = `A load balancer for servers whose load changes within milliseconds.

Examples:
  chivehill check --settings host.json
  chivehill serve --settings host.json
  chivehill note apply note.json --operators 127.0.0.1:9000 --token-file token
  chivehill note status --operators 127.0.0.1:9000 --output json`

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("chivehill"), kong.Description(description), kong.UsageOnError(),
		kong.Vars{"settings_variable": chivehillplatform.SettingsVariable})
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "chivehill: "+err.Error())
		var usage usageError
		if errors.As(err, &usage) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}
