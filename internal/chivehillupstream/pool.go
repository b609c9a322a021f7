package chivehillupstream

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// maxIdle is the maximum number of idle connections kept per server.
const maxIdle = 16

// Pool keeps idle connections to one server. It is safe for concurrent use.
type Pool struct {
	address string
	parser  HeaderParser
	// memory limits the response bodies of this pool and others.
	memory *chivehillbudget.Memory

	// connections limits the connections of this pool and others; nil means no limit.
	connections *chivehillbudget.Memory
	// makeRoom closes an idle connection of any pool.
	makeRoom func()

	mu sync.Mutex
	// idle is ordered by time of last use. The most recently used one is taken first.
	idle   []*conn
	closed bool
	dialed atomic.Uint64
}

// NewPool returns an empty pool of connections to address. Pools share memory.
func NewPool(address string, parser HeaderParser, memory *chivehillbudget.Memory) *Pool {
	return &Pool{address: address, parser: parser, memory: memory}
}

// LimitConnections limits the connections of all pools that share the limit. makeRoom is
// called when they are used up; it should close an idle one. It must be called before Take.
func (p *Pool) LimitConnections(connections *chivehillbudget.Memory, makeRoom func()) {
	p.connections, p.makeRoom = connections, makeRoom
}

// Lease is the exclusive use of a connection. It must be ended with Release or Drop.
type Lease struct {
	pool *Pool
	conn *conn
}

// Take returns an idle connection, or opens one within timeout.
func (p *Pool) Take(ctx context.Context, timeout chivehillclock.Millis) (*Lease, error) {
	if c := p.takeIdle(); c != nil {
		return &Lease{pool: p, conn: c}, nil
	}
	if !p.reserveConnection() {
		return nil, fmt.Errorf("dial %s: %w: %w", p.address, ErrNotSent, ErrNoConnection)
	}
	c, err := dial(ctx, p.address, timeout.Duration(), p.memory)
	if err != nil {
		p.connections.Release(1)
		return nil, err
	}
	c.onClose = sync.OnceFunc(func() { p.connections.Release(1) })
	p.dialed.Add(1)
	return &Lease{pool: p, conn: c}, nil
}

func (p *Pool) reserveConnection() bool {
	if p.connections.Reserve(1) {
		return true
	}
	p.makeRoom()
	return p.connections.Reserve(1)
}

// IdleSince returns since when the least recently used idle connection is unused, or false if
// none is idle.
func (p *Pool) IdleSince() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].lastUsedAt, true
}

// CloseIdlest closes the least recently used idle connection, if there is one.
func (p *Pool) CloseIdlest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return
	}
	_ = p.idle[0].Close()
	p.idle = p.idle[1:]
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

// Dialed returns the number of connections that the pool has opened.
func (p *Pool) Dialed() uint64 { return p.dialed.Load() }

// Sweep closes idle connections that are past their idle timeout or were closed by the
// server.
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

// Close closes the idle connections. Those in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Do sends a request and returns its complete response. If usable is false, the
// connection is closed and the lease has ended.
func (l *Lease) Do(ctx context.Context, r *Request) (response Response, usable bool, err error) {
	response, usable, err = l.conn.exchange(ctx, r, l.pool.parser)
	if !usable {
		l.Drop()
	}
	return response, usable, err
}

// Release returns the connection to the pool.
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

// Drop closes the connection instead of returning it to the pool.
func (l *Lease) Drop() {
	if l.conn == nil {
		return
	}
	_ = l.conn.Close()
	l.conn = nil
}

// Probe sends a health check: a GET request for path.
func (l *Lease) Probe(ctx context.Context, path, host string) (response Response, usable bool, err error) {
	return l.Do(ctx, &Request{Method: http.MethodGet, URI: path, Host: host, Header: http.Header{}})
}
