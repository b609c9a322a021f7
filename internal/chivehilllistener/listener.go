// Package chivehilllistener opens the addresses on which a host serves.
package chivehilllistener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/rs/zerolog"
)

// Open listens on all addresses, or on none if one cannot be used.
func Open(addresses ...string) ([]net.Listener, error) {
	var config net.ListenConfig
	var listeners []net.Listener
	for _, a := range addresses {
		l, err := config.Listen(context.Background(), "tcp", a)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, fmt.Errorf("listen on %s: %w", a, err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// Serve serves until the server is closed and logs what ends it sooner.
func Serve(s *http.Server, l net.Listener, log zerolog.Logger) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error().Str("step", "serve").Str("address", l.Addr().String()).Err(err).Msg("listener: ended.")
	}
}
