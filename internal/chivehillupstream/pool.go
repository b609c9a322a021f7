package chivehillupstream

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// maxIdle is the most idle connections kept to a server.
const maxIdle = 16

// Pool keeps connections to one server. It is safe for concurrent use.
type Pool struct {
	address string
	dialect Dialect

	mu sync.Mutex
	// idle is ordered by time of last use; the last is used first.
	idle   []*conn
	closed bool
	dialed atomic.Uint64
}

// NewPool returns a pool without connections.
func NewPool(address string, dialect Dialect) *Pool {
	return &Pool{address: address, dialect: dialect}
}

// Lease is a connection for one user. It must be released or dropped.
type Lease struct {
	pool *Pool
	conn *conn
}

// Take returns a kept connection or opens one within timeout.
func (p *Pool) Take(ctx context.Context, timeout chivehillclock.Millis) (*Lease, error) {
	if c := p.takeIdle(); c != nil {
		return &Lease{pool: p, conn: c}, nil
	}
	c, err := dial(ctx, p.address, timeout.Duration())
	if err != nil {
		return nil, err
	}
	p.dialed.Add(1)
	return &Lease{pool: p, conn: c}, nil
}

func (p *Pool) takeIdle() *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(now) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// Dialed returns the number of connections opened so far.
func (p *Pool) Dialed() uint64 { return p.dialed.Load() }

// Sweep closes connections that were idle for too long or have ended.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.usable(now) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = kept
}

// Close closes idle connections; those in use are closed when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Do sends a request and returns its whole answer. The lease is usable
// afterwards only if Do reports so; else it is dropped.
func (l *Lease) Do(ctx context.Context, r *Request) (answer Answer, usable bool, err error) {
	answer, usable, err = l.conn.exchange(ctx, r, l.pool.dialect)
	if !usable {
		l.Drop()
	}
	return answer, usable, err
}

// Release keeps the connection for reuse.
func (l *Lease) Release() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.conn == nil {
		return
	}
	if p.closed || len(p.idle) >= maxIdle || l.conn.reader.Buffered() > 0 {
		_ = l.conn.Close()
	} else {
		_ = l.conn.SetDeadline(time.Time{})
		p.idle = append(p.idle, l.conn)
	}
	l.conn = nil
}

// Drop closes the connection.
func (l *Lease) Drop() {
	if l.conn == nil {
		return
	}
	_ = l.conn.Close()
	l.conn = nil
}

// Ask makes a health check on the connection.
func (l *Lease) Ask(ctx context.Context, path, host string) (answer Answer, usable bool, err error) {
	return l.Do(ctx, &Request{Method: http.MethodGet, URI: path, Host: host, Header: http.Header{}})
}
