package chivehillfront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// acceptPause is the pause after a failed accept.
const acceptPause = 5 * time.Millisecond

// Server serves callers.
type Server struct {
	Handler Handler
	Limits  Limits
	Clock   *chivehillclock.Clock
	Log     zerolog.Logger
	// MaxBuffered bounds the request bodies held at once, in bytes.
	MaxBuffered int64

	buffered atomic.Int64
	closing  atomic.Bool
	conns    conc.WaitGroup

	mu   sync.Mutex
	open map[*conn]struct{}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Warn().Str("step", "accept").Err(err).Msg("front: accept failed.")
			time.Sleep(acceptPause)
			continue
		}
		s.start(c)
	}
}

func (s *Server) start(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	if s.open == nil {
		s.open = make(map[*conn]struct{})
	}
	s.open[c] = struct{}{}
	s.mu.Unlock()
	s.conns.Go(func() {
		c.run()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	})
}

// claim reports whether a body may take bytes more of memory, and counts them.
func (s *Server) claim(bytes int64) bool {
	if s.buffered.Add(bytes) <= s.MaxBuffered {
		return true
	}
	s.buffered.Add(-bytes)
	return false
}

// Leave makes each answer from now on the last one of its connection.
func (s *Server) Leave() {
	s.closing.Store(true)
}

// Shutdown waits until no connection has a request in flight, closing idle
// ones. It closes what is left when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	const poll = 20 * time.Millisecond
	t := time.NewTicker(poll)
	defer t.Stop()
	for {
		left := s.closeIdle()
		if left == 0 {
			s.conns.Wait()
			return nil
		}
		select {
		case <-ctx.Done():
			s.closeAll()
			s.conns.Wait()
			return fmt.Errorf("shut down with %d connections in use: %w", left, ctx.Err())
		case <-t.C:
		}
	}
}

// closeIdle closes connections without a request in flight and returns the
// number of the others.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for c := range s.open {
		if !c.closeIfIdle() {
			left++
		}
	}
	return left
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.raw.Close()
	}
}
