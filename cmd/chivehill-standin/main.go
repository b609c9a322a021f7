// Command chivehill-standin runs simple simulations of the systems that chivehill
// depends on, for tests and experiments on one machine.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/chivehill/chivehill/internal/chivehillstandin"
)

// cli is the command line.
type cli struct {
	Store    storeCmd    `cmd:"" help:"Run an object store."`
	HostList hostListCmd `cmd:"" help:"Run a host list."`
	Server   serverCmd   `cmd:"" help:"Run a server of an upstream pool."`
	Link     linkCmd     `cmd:"" help:"Run a TCP proxy that injects faults."`
	Load     loadCmd     `cmd:"" help:"Send calls and check their results against the servers' records."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("chivehill-standin"), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "chivehill-standin: "+err.Error())
		os.Exit(1)
	}
}

// storeCmd runs an object store.
type storeCmd struct {
	Address string `required:"" help:"IP address and port."`
}

// Run implements the command.
func (c *storeCmd) Run() error {
	return serve(c.Address, chivehillstandin.NewStore().Handler())
}

// hostListCmd runs a host list.
type hostListCmd struct {
	Address string        `required:"" help:"IP address and port."`
	Lag     time.Duration `default:"2s" help:"Delay until a change is visible."`
}

// Run implements the command.
func (c *hostListCmd) Run() error {
	return serve(c.Address, chivehillstandin.NewHostList(c.Lag).Handler())
}

// serverCmd runs a server of an upstream pool.
type serverCmd struct {
	Address         string  `required:"" help:"IP address and port."`
	Name            string  `required:"" help:"Name of the server."`
	Slots           int     `default:"4" help:"Concurrent requests that the server runs."`
	MeanMs          float64 `default:"5" help:"Mean service time in milliseconds."`
	Sigma           float64 `default:"0.7" help:"Standard deviation of the logarithm of the service time."`
	Cold            bool    `help:"Start cold."`
	ColdConcurrency int     `default:"1" help:"Concurrent requests that the server accepts in a cold start."`
	ColdSuccesses   int     `default:"8" help:"Successful requests after which a cold server accepts one more at a time."`
	Seed            uint64  `default:"1" help:"Seed of the random service times."`
}

// Run implements the command.
func (c *serverCmd) Run() error {
	s := chivehillstandin.NewServer(chivehillstandin.ServerOptions{
		Name: c.Name, Slots: c.Slots, MeanMs: c.MeanMs, Sigma: c.Sigma, Cold: c.Cold,
		ColdConcurrency: c.ColdConcurrency, ColdSuccesses: c.ColdSuccesses, Seed: c.Seed,
	})
	return serve(c.Address, s.Handler())
}

// linkCmd runs a TCP proxy that injects faults.
type linkCmd struct {
	Address string `required:"" help:"IP address and port to listen on."`
	Target  string `required:"" help:"IP address and port to which connections are forwarded."`
	Control string `required:"" help:"IP address and port of the HTTP interface that sets the faults."`
	DelayMs int    `help:"Delay added in each direction, in milliseconds."`
}

// Run implements the command.
func (c *linkCmd) Run() error {
	l := chivehillstandin.NewLink(c.Target)
	l.Set(chivehillstandin.LinkFaults{DelayMs: c.DelayMs})
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", c.Address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", c.Address, err)
	}
	go func() { _ = l.Serve(listener) }()
	return serve(c.Control, l.Control())
}

// serve serves until SIGTERM or SIGINT.
func serve(address string, h http.Handler) error {
	const headerTimeout = 5 * time.Second
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", address, err)
	}
	return nil
}
