package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillnode"
	"github.com/chivehill/chivehill/internal/chivehillsettings"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// gcPercent exceeds the default of 100 so that the garbage collector runs less
// often: the heap has only a few megabytes.
const gcPercent = 400

// serveCmd runs an entry host until SIGTERM or SIGINT, then shuts down gracefully.
type serveCmd struct {
	Settings string `required:"" type:"existingfile" help:"Settings file (JSON)."`
}

// Run implements the command.
func (c *serveCmd) Run() error {
	settings, err := chivehillsettings.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	node, err := chivehillnode.New(settings, newLogger(settings))
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return node.Run(ctx)
}

func newLogger(s chivehillwire.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	var out io.Writer = os.Stderr
	if s.LogFormat == "text" {
		out = zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true}
	}
	return zerolog.New(out).Level(level).With().Timestamp().Str("host", string(s.Host)).Logger()
}
