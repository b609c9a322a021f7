package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/chivehill/chivehill/internal/chivehilladmin"
	"github.com/chivehill/chivehill/internal/chivehillnote"
	"github.com/chivehill/chivehill/internal/chivehillquery"
	"github.com/chivehill/chivehill/internal/chivehillsettings"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// noteCmd groups the commands for release notes.
type noteCmd struct {
	Check  noteCheckCmd  `cmd:"" help:"Check a note without applying it."`
	Apply  noteApplyCmd  `cmd:"" help:"Apply a note and wait until it is in force."`
	Show   noteShowCmd   `cmd:"" help:"Show the configuration in force."`
	Status noteStatusCmd `cmd:"" help:"Show which version is in force at each host."`
}

// noteCheckCmd validates a note without the configuration that it changes.
type noteCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"Release note (JSON)."`
}

// Run implements the command.
func (c *noteCheckCmd) Run() error {
	if _, err := readNote(c.File); err != nil {
		return err
	}
	fmt.Println("note is valid")
	return nil
}

// readNote reads a note, validates it and returns its encoding.
func readNote(path string) ([]byte, error) {
	var note chivehillwire.Note
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read note: %w", err)
	}
	if err := chivehillsettings.DecodeStrict(data, &note); err != nil {
		return nil, usageError{fmt.Errorf("note %s: %w", path, err)}
	}
	if err := chivehillnote.CheckNote(note); err != nil {
		return nil, usageError{fmt.Errorf("note %s: %w", path, err)}
	}
	return data, nil
}

// noteApplyCmd applies a note. Applying it again is safe.
type noteApplyCmd struct {
	operators
	File      string `arg:"" type:"existingfile" help:"Release note (JSON)."`
	TokenFile string `required:"" type:"existingfile" help:"File with the bearer token for changes."`
}

// Run implements the command.
func (c *noteApplyCmd) Run() error {
	data, err := readNote(c.File)
	if err != nil {
		return err
	}
	token, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return fmt.Errorf("read token: %w", err)
	}
	var accepted chivehilladmin.Accepted
	if err := c.call(http.MethodPost, chivehilladmin.NotesPath, data, strings.TrimSpace(string(token)), &accepted); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(accepted)
	}
	again := ""
	if accepted.Already {
		again = ", accepted before"
	}
	fmt.Printf("note %s: version %d, in force at %d hosts%s\n", accepted.Note, accepted.Version, len(accepted.InForce), again)
	if len(accepted.NotConfirmed) > 0 {
		fmt.Printf("not confirmed: %v\n", accepted.NotConfirmed)
	}
	return nil
}

// noteShowCmd prints the configuration in force.
type noteShowCmd struct {
	operators
}

// Run implements the command.
func (c *noteShowCmd) Run() error {
	var configuration chivehillwire.Configuration
	if err := c.get(chivehillquery.ConfigurationPath, &configuration); err != nil {
		return err
	}
	return printJSON(configuration)
}

// noteStatusCmd prints the configuration version in force at each host.
type noteStatusCmd struct {
	operators
}

// Run implements the command.
func (c *noteStatusCmd) Run() error {
	var status chivehillquery.Status
	if err := c.get(chivehillquery.StatusPath, &status); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(status.Hosts)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tREGION\tDOMAIN\tVERSION\tREACHABLE\tCONFIRMED MS AGO")
	for _, h := range status.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%.0f\n", h.Host, h.Region, h.FailureDomain, h.Version, h.Reachable, h.ConfigAgeMs)
	}
	return w.Flush()
}
