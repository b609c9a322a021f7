package chivehilldispatch

import (
	"net"
	"sync/atomic"
)

// watchedConn is a connection that reports when the server closes it or a read fails.
type watchedConn struct {
	net.Conn
	// closed is set once this side has closed the connection or a read has failed.
	closed atomic.Bool
	// onDisconnect is called at most once, and not after this side has closed the
	// connection.
	onDisconnect func()
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !c.closed.Swap(true) {
		c.onDisconnect()
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
