package chivehillfront

import (
	"net"
	"slices"
	"time"
)

// roomShare is the share of the connections that are closed at once when there are too many,
// so that not each new one searches for the idlest.
const roomShare = 64

// roomLogInterval is the least time between two log lines about connections that are used up.
const roomLogInterval = time.Second

// makeRoom counts another connection and reports whether there is room for it. If there are
// as many as permitted, it closes the idlest. The server must be locked.
func (s *Server) makeRoom() bool {
	if s.hasRoom() {
		return true
	}
	s.closeIdlest()
	return s.hasRoom()
}

func (s *Server) hasRoom() bool {
	return (s.MaxConnections <= 0 || len(s.openConns) < s.MaxConnections) && s.Descriptors.Reserve(1)
}

// closeIdlest closes a part of the connections of which nothing has been taken, the idlest
// first.
func (s *Server) closeIdlest() {
	type idle struct {
		conn  *conn
		since time.Time
	}
	var candidates []idle
	for c := range s.openConns {
		if since, ok := c.nothingTakenSince(); ok {
			candidates = append(candidates, idle{c, since})
		}
	}
	slices.SortFunc(candidates, func(a, b idle) int { return a.since.Compare(b.since) })
	closed := 0
	for _, e := range candidates[:min(len(candidates), len(s.openConns)/roomShare+1)] {
		if e.conn.closeUntaken() {
			delete(s.openConns, e.conn)
			closed++
		}
	}
	s.logRoom(time.Now(), closed)
}

// logRoom logs how many idle connections were closed since the last line.
func (s *Server) logRoom(now time.Time, closed int) {
	s.roomClosed += closed
	if now.Sub(s.roomLoggedAt) < roomLogInterval {
		return
	}
	s.Log.Info().Int("closed", s.roomClosed).Int("open", len(s.openConns)).Msg("front: connections are used up; the idlest were closed.")
	s.roomLoggedAt, s.roomClosed = now, 0
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	defer c.closed()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, if the connection can.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// nothingTakenSince returns since when the connection has been idle or within a head. It
// returns false if a request was read of which the response is not written.
func (c *conn) nothingTakenSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.pending == 0:
		return c.idleSince, true
	case c.pending == 1 && !c.headSince.IsZero():
		return c.headSince, true
	}
	return time.Time{}, false
}

// closeUntaken closes the connection unless a request was read meanwhile, and reports whether
// it did.
func (c *conn) closeUntaken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 && (c.pending > 1 || c.headSince.IsZero()) {
		return false
	}
	c.closed = true
	_ = c.raw.Close()
	return true
}

// beginHead records that a head is being read.
func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headSince = time.Now()
}

// endHead records that a head was read. It returns errIdle if the connection was closed
// before that.
func (c *conn) endHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headSince = time.Time{}
	if c.closed {
		return errIdle
	}
	return nil
}
