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

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// acceptRetryDelay is the delay before the next accept after a failed one.
const acceptRetryDelay = 5 * time.Millisecond

// Server serves callers over HTTP/1.1.
type Server struct {
	Handler Handler
	Limits  Limits
	Clock   *chivehillclock.Clock
	Log     zerolog.Logger
	// BodyMemory limits the memory of large request bodies and long heads.
	BodyMemory *chivehillbudget.Memory
	// SmallMemory limits the memory of other requests; nil if they share BodyMemory.
	SmallMemory *chivehillbudget.Memory
	// ResponseMemory counts responses until they are written.
	ResponseMemory *chivehillbudget.Memory
	// ConnectionMemory counts open connections.
	ConnectionMemory *chivehillbudget.Memory
	// Descriptors limits the connections that may be open, together with other users.
	Descriptors *chivehillbudget.Memory
	// MaxConnections is how many connections may be open at once; 0 means any number.
	MaxConnections int

	closing atomic.Bool
	conns   conc.WaitGroup

	mu        sync.Mutex
	openConns map[*conn]struct{}
	// ended is set once Shutdown waits for the last connections to end. No connection is
	// started after that.
	ended bool
	// marks holds the progress that connections had made at markedAt.
	marks    map[*conn]int64
	markedAt time.Time
	// roomClosed is the number of connections that were closed for others since
	// roomLoggedAt, when that was last logged.
	roomClosed   int
	roomLoggedAt time.Time
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.start(c)
	}
}

// start serves a connection, or closes it without reading if the server has ended or has no
// room.
func (s *Server) start(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || !s.makeRoom() {
		_ = raw.Close()
		return
	}
	c.raw = &countedConn{Conn: raw, closed: sync.OnceFunc(func() { s.Descriptors.Release(1) })}
	c.limit.reader = c.raw
	if s.openConns == nil {
		s.openConns = make(map[*conn]struct{})
	}
	s.openConns[c] = struct{}{}
	s.conns.Go(func() {
		s.ConnectionMemory.Charge(chivehillbudget.ConnectionBytes)
		defer s.ConnectionMemory.Release(chivehillbudget.ConnectionBytes)
		c.run()
		s.mu.Lock()
		delete(s.openConns, c)
		s.mu.Unlock()
	})
}

// CloseAfterResponse lets at most one more request be read from each connection, which closes
// after the response to the last one that was read. Connections are still accepted.
func (s *Server) CloseAfterResponse() {
	s.closing.Store(true)
}

// Shutdown closes idle connections until none is left. When ctx ends, it
// closes the connections that still have requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	s.CloseAfterResponse()
	const poll = 20 * time.Millisecond
	t := time.NewTicker(poll)
	defer t.Stop()
	for {
		busy := s.closeIdle()
		if busy == 0 {
			s.conns.Wait()
			return nil
		}
		select {
		case <-ctx.Done():
			s.closeAll()
			s.conns.Wait()
			return fmt.Errorf("shutdown closed %d connections with requests in flight: %w", busy, ctx.Err())
		case <-t.C:
		}
	}
}

// closeIdle closes the connections without a request in flight and returns the
// number of the remaining ones. If none remains, the server has ended.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.openConns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	s.ended = busy == 0
	return busy
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for c := range s.openConns {
		_ = c.raw.Close()
	}
}
