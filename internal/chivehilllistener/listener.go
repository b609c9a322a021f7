// Package chivehilllistener opens and serves the listening addresses of a host.
package chivehilllistener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

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

// Bound returns a listener that accepts a connection only while fewer than limit of those
// accepted before are open.
func Bound(l net.Listener, limit int) net.Listener {
	return &boundListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

type boundListener struct {
	net.Listener
	// slots holds an element for each open connection.
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *boundListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type boundConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
