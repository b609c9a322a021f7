package chivehillfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

const (
	// maxPipelined is the most requests of a connection that are read ahead.
	maxPipelined = 16
	// writeTimeout bounds the writing of one answer.
	writeTimeout = 20 * time.Second
	// closeLinger is the time for which a refused caller may still send before
	// the connection is closed, so that it gets to read the answer.
	closeLinger = 500 * time.Millisecond
	// headerSlack is what is read beyond the limit of headers before refusing.
	headerSlack = 4 << 10
)

// Errors of reading a request, each with the status that tells it.
var (
	errHeaderTooLarge = errors.New("header too large")
	errBodyTooLarge   = errors.New("body too large")
	errNoMemory       = errors.New("no memory for the body")
	errMalformed      = errors.New("malformed request")
	errSlow           = errors.New("request not sent in time")
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *limitReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// queue holds the requests in the order of their answers.
	queue chan *exchange

	mu sync.Mutex
	// pending is the number of requests read and not answered, and 1 more while
	// a request is being read.
	pending int
	closed  bool
}

// exchange is one request and its answer.
type exchange struct {
	request *Request
	// answered is closed when response is set.
	answered chan struct{}
	response Response
	// before is closed when all earlier answers are written.
	before <-chan struct{}
	// written is closed when the answer is written.
	written chan struct{}
	// last is set if the connection ends after the answer.
	last     bool
	refusal  bool
	held     int64
	http10   bool
	headOnly bool
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	limit := &limitReader{reader: raw}
	return &conn{
		server: s, raw: raw, limit: limit, reader: bufio.NewReader(limit), ctx: ctx, cancel: cancel,
		queue: make(chan *exchange, maxPipelined),
	}
}

// run serves the connection until it ends.
func (c *conn) run() {
	defer c.cancel()
	defer func() { _ = c.raw.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeAll()
	}()
	c.readAll()
	close(c.queue)
	<-done
}

// readAll reads requests until the caller ends or one cannot be served.
func (c *conn) readAll() {
	var written <-chan struct{} = closedChannel()
	for {
		e, err := c.readOne()
		if err != nil {
			c.readFailed(err, written)
			return
		}
		e.before = written
		written = e.written
		c.launch(e)
		select {
		case c.queue <- e:
		case <-c.ctx.Done():
			c.server.buffered.Add(-e.held)
			return
		}
		if e.last {
			c.drainUntilClosed()
			return
		}
	}
}

func closedChannel() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

// launch runs a request: at once if it is idempotent, else after all earlier
// answers, so that an answer that ends the connection leaves it unrun.
func (c *conn) launch(e *exchange) {
	go func() {
		defer close(e.answered)
		if !c.server.Handler.Idempotent(e.request) {
			select {
			case <-e.before:
			case <-c.ctx.Done():
			}
		}
		if c.ctx.Err() != nil {
			return
		}
		e.response = c.server.Handler.Serve(c.ctx, e.request)
	}()
}

// readFailed ends the connection: silently if the caller left, with a refusal
// if its request cannot be served.
func (c *conn) readFailed(err error, before <-chan struct{}) {
	status := refusalStatus(err)
	if status == 0 {
		if !errors.Is(err, errIdle) {
			c.cancel()
		}
		return
	}
	e := &exchange{
		answered: closedChannel(), written: make(chan struct{}), before: before, last: true, refusal: true,
		response: Response{Status: status, Header: http.Header{}},
	}
	c.server.Log.Info().Str("peer", c.raw.RemoteAddr().String()).Int("status", status).Err(err).Msg("front: request refused.")
	select {
	case c.queue <- e:
	case <-c.ctx.Done():
	}
}

func refusalStatus(err error) int {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, errSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, errMalformed):
		return http.StatusBadRequest
	}
	return 0
}

// errIdle ends a connection on which no further request came.
var errIdle = errors.New("idle")

// readOne waits for a request and reads it whole.
func (c *conn) readOne() (*exchange, error) {
	limits := c.server.Limits()
	c.limit.left = int64(limits.HeaderBytes) + headerSlack
	if err := c.awaitFirstByte(limits.IdleTimeout); err != nil {
		return nil, err
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout.Duration()))
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.headerError(err)
	}
	if headerBytes(r) > int64(limits.HeaderBytes) {
		return nil, errHeaderTooLarge
	}
	c.limit.left = unlimited
	return c.readBody(r, int64(limits.BodyBytes))
}

func (c *conn) headerError(err error) error {
	var netErr net.Error
	switch {
	case c.limit.left <= 0:
		return errHeaderTooLarge
	case errors.As(c.limit.failed, &netErr) && netErr.Timeout():
		return errSlow
	case c.limit.failed != nil:
		return fmt.Errorf("read header: %w", err)
	}
	return fmt.Errorf("%w: %w", errMalformed, err)
}

// headerBytes returns the size of a request's head, roughly as it was sent.
func headerBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(size)
}

// awaitFirstByte waits for the next request; the connection is idle until it comes.
func (c *conn) awaitFirstByte(idle chivehillclock.Millis) error {
	if c.reader.Buffered() == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(idle.Duration()))
	}
	if _, err := c.reader.Peek(1); err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return c.idleEnd()
		}
		return fmt.Errorf("await request: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errIdle
	}
	c.pending++
	return nil
}

// idleEnd ends an idle connection, or goes on waiting while an answer is due.
func (c *conn) idleEnd() error {
	c.mu.Lock()
	busy := c.pending > 0
	c.closed = c.closed || !busy
	c.mu.Unlock()
	if busy {
		return c.awaitFirstByte(c.server.Limits().IdleTimeout)
	}
	return errIdle
}

// closeIfIdle closes the connection if it has no request in flight.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return false
	}
	c.closed = true
	_ = c.raw.Close()
	return true
}

// drainUntilClosed waits for the end of the connection after its last request,
// so that a caller that leaves is noticed.
func (c *conn) drainUntilClosed() {
	_ = c.raw.SetReadDeadline(time.Time{})
	var discard [512]byte
	for {
		if _, err := c.reader.Read(discard[:]); err != nil {
			c.cancel()
			return
		}
	}
}

// unlimited switches the limit of a limitReader off.
const unlimited = int64(1) << 62

// limitReader bounds what is read from a connection and remembers its end.
type limitReader struct {
	reader io.Reader
	left   int64
	failed error
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if err != nil {
		l.failed = err
	}
	return n, err
}
