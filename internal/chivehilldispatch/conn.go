package chivehilldispatch

import (
	"net"
	"sync/atomic"
)

// watchedConn notices when the other side ends the connection.
type watchedConn struct {
	net.Conn
	// closed is set once this side has closed the connection.
	closed atomic.Bool
	ended  func()
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !c.closed.Swap(true) {
		c.ended()
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
