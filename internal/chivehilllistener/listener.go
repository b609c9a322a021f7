// Package chivehilllistener opens and serves the listening addresses of a host.
package chivehilllistener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/rs/zerolog"
)

// Listen listens on all addresses. If one fails, it closes the listeners opened so
// far and returns the error.
func Listen(addresses ...string) ([]net.Listener, error) {
	var config net.ListenConfig
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// Serve serves until the server is closed. Any other end is logged as an error.
func Serve(s *http.Server, l net.Listener, log zerolog.Logger) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error().Str("step", "serve").Str("address", l.Addr().String()).Err(err).Msg("listener: serving ended with an error.")
	}
}
