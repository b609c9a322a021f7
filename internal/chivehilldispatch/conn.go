package chivehilldispatch

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/chivehill/chivehill/internal/chivehillresponse"
)

// watchedConn is a connection that reports when the server closes it or a read fails. Its reads
// tell an end from a loss of which a write has learned.
type watchedConn struct {
	net.Conn
	// closed is set once this side has closed the connection or a read has failed.
	closed atomic.Bool
	// onDisconnect is called at most once, and not after this side has closed the
	// connection.
	onDisconnect func()

	// writing is held during each write.
	writing sync.Mutex
	// lost is the error of a write that learned that the connection was lost. It is guarded by
	// writing.
	lost error
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !c.closed.Swap(true) {
		c.onDisconnect()
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF if the server has ended the connection, or the loss that a write has
// learned of. No response can follow, so a write that still goes on is given up.
func (c *watchedConn) endError() error {
	_ = c.Conn.Close()
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost != nil {
		return fmt.Errorf("read: %w", c.lost)
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *watchedConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if chivehillresponse.ConnectionLost(err) {
		c.lost = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
