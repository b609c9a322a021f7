package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillhost"
	"github.com/chivehill/chivehill/internal/chivehilllog"
	"github.com/chivehill/chivehill/internal/chivehillsettings"
	"github.com/chivehill/chivehill/internal/chivehillwire"
	chivehillplatform "github.com/chivehill/chivehill/platform"
)

// gatewayCmd runs a host that reads its servers from the platform's store until
// SIGTERM or SIGINT, then shuts down gracefully.
type gatewayCmd struct {
	Settings string `required:"" type:"existingfile" env:"${settings_variable}" help:"Settings file (JSON)."`
}

// Run implements the command.
func (c *gatewayCmd) Run() error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	settings, err := chivehillsettings.LoadGateway(c.Settings)
	if err != nil {
		return usageError{err}
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return usageError{fmt.Errorf("log level: %w", err)}
	}
	var running atomic.Pointer[chivehillhost.Host]
	log, sink := chivehilllog.New(os.Stdout, level, func(lines int) {
		if h := running.Load(); h != nil {
			h.LogDropped(lines)
		}
	})
	defer func() { _ = sink.Close() }()
	log = log.With().Str("host", string(settings.Host)).Logger()
	debug.SetMemoryLimit(chivehillbudget.NewPlan(settings.MemoryMb).GoLimit)
	host := chivehillhost.New(settings, newPlatform(settings), log)
	running.Store(host)
	go host.WatchSettings(ctx, c.Settings, reload)
	return host.Run(ctx)
}

// TCP keep-alive of connections to the store: a connection whose peer no longer
// responds is closed within about two seconds.
const (
	storeKeepAliveIdle     = time.Second
	storeKeepAliveInterval = 500 * time.Millisecond
	storeKeepAliveCount    = 2
	storeDialTimeout       = time.Second
	storeIdleConnections   = 8
)

func newPlatform(s chivehillwire.GatewaySettings) chivehillhost.Platform {
	dialer := net.Dialer{Timeout: storeDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: storeKeepAliveIdle, Interval: storeKeepAliveInterval, Count: storeKeepAliveCount,
	}}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: storeIdleConnections}
	return chivehillhost.Platform{
		Store:   chivehillplatform.NewStore(s.StoreAddress, s.Host, transport),
		Decoder: chivehillplatform.Decoder{},
		Headers: chivehillplatform.HeaderCodec{},
		Directory: func(resolve chivehillhost.Resolve) http.Handler {
			return chivehillplatform.ResolveHandler(resolve)
		},
		Ready: chivehillplatform.ReadyHandler,
	}
}
