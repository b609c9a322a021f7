package main

import (
	"fmt"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/chivehill/chivehill/internal/chivehillentry"
	"github.com/chivehill/chivehill/internal/chivehillquery"
)

// statusCmd shows the state of the system as one host sees it.
type statusCmd struct {
	operators
}

// Run implements the command.
func (c *statusCmd) Run() error {
	var s chivehillquery.Status
	if err := c.get(chivehillquery.StatusPath, &s); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(s)
	}
	fmt.Printf("host %s  version %d  epoch %d  may-serve %v  leaving %v\n\n", s.Host, s.Version, s.Epoch, s.MayServe, s.Leaving)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tREGION\tDOMAIN\tVERSION\tREACHABLE\tLEAVING")
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%v\n", h.Host, h.Region, h.FailureDomain, h.Version, h.Reachable, h.Leaving)
	}
	fmt.Fprintln(w, "\nSERVER\tPOOL\tOWNER\tSTATE\tLIMIT\tIN FLIGHT")
	for _, v := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", v.Server, v.Pool, v.Owner, v.State, v.Limit, v.InFlight)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, d := range s.DomainsOut {
		fmt.Printf("out of service: %s %s\n", d.FailureDomain, d.Reason)
	}
	return c.printRefusals()
}

// printRefusals prints the refusal counters that are not zero.
func (c *statusCmd) printRefusals() error {
	text, err := c.text("/metrics")
	if err != nil {
		return err
	}
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "chivehill_refusals_total{") && !strings.HasSuffix(line, " 0\n") {
			fmt.Print(strings.TrimPrefix(line, "chivehill_"))
		}
	}
	return nil
}

// hostCmd groups the commands for entry hosts.
type hostCmd struct {
	List hostListCmd `cmd:"" help:"Show which entry hosts callers of a path should use."`
}

// hostListCmd requests the list of hosts from an entry host as a caller does.
type hostListCmd struct {
	Callers string `required:"" help:"Address of an entry host for callers, IP address and port."`
	Path    string `help:"Path of the calls."`
	Tenant  string `help:"Tenant of the calls."`
	Output  string `enum:"text,json" default:"text" help:"Output: text or json."`
}

// Run implements the command.
func (c *hostListCmd) Run() error {
	query := url.Values{"path": {c.Path}, "tenant": {c.Tenant}}
	var response chivehillentry.HostsAnswer
	if err := (operators{Operators: c.Callers}).get(chivehillentry.HostsPath+"?"+query.Encode(), &response); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(response)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tADDRESS\tREGION\tWEIGHT")
	for _, h := range response.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", h.Host, h.Address, h.Region, h.Weight)
	}
	return w.Flush()
}
