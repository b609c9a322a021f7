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
	"sync/atomic"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
)

const (
	// maxPipelined is the number of requests of a connection that may queue for
	// their responses.
	maxPipelined = 16
	// writeTimeout limits the time to write one response.
	writeTimeout = 20 * time.Second
	// lingerTimeout is how long data of a refused caller is discarded before the
	// connection is closed: closing earlier could reset the connection before the
	// caller has read the response.
	lingerTimeout = 500 * time.Millisecond
)

// Errors of reading a request. statusOf maps each to its response status.
var (
	errHeaderTooLarge = errors.New("request header exceeds the limit")
	errBodyTooLarge   = errors.New("request body exceeds the limit")
	errBodyMemory     = errors.New("memory for request bodies is exhausted")
	errHeadMemory     = errors.New("memory for request headers is exhausted")
	errMalformed      = errors.New("malformed request")
	errReadTimeout    = errors.New("request was not received in time")
)

// conn is a connection from a caller.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *limitReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// queue holds the exchanges in request order; the responses are written in
	// the same order.
	queue chan *exchange
	// buffer is what is reserved for a large buffer of reader.
	buffer holding

	// held is the sum of all that is reserved for the connection.
	held atomic.Int64
	// sent is the number of bytes of responses that were written.
	sent atomic.Int64
	// reading is set while a request is being read, from its first byte on.
	reading atomic.Bool
	// writing is set while a response is being written.
	writing atomic.Bool
	// givenUp is set if the connection was stalled while memory was short.
	givenUp atomic.Bool

	mu sync.Mutex
	// pending is the number of requests without a written response, including
	// one that is being read.
	pending int
	// idleSince is when the last response was written, or the connection opened.
	idleSince time.Time
	// headSince is when the head that is being read began; zero if none is.
	headSince time.Time
	// closed is set once no further request is read. It is set only while no request is
	// being read, or only a part of its head was.
	closed bool
}

// exchange is one request and its response.
type exchange struct {
	// request is nil once it has run.
	request *Request
	// responded is closed when response is set, or when the connection has ended
	// without one.
	responded chan struct{}
	response  Response
	// earlierWritten is closed when all earlier responses are written.
	earlierWritten <-chan struct{}
	// written is closed when the response is written.
	written chan struct{}
	// closeAfter is set if the connection closes after the response.
	closeAfter bool
	// refusal is set if the request was refused while it was read.
	refusal bool
	// holding is what is reserved for the request and its response. Until responded is
	// closed, only the goroutine that runs the request may change it.
	holding  holding
	http10   bool
	headOnly bool
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	limit := &limitReader{reader: raw}
	return &conn{
		server: s, raw: raw, limit: limit, reader: bufio.NewReaderSize(limit, usualBufferBytes), ctx: ctx, cancel: cancel,
		queue: make(chan *exchange, maxPipelined), idleSince: time.Now(),
	}
}

// run serves the connection until it closes.
func (c *conn) run() {
	defer c.cancel()
	defer func() { _ = c.raw.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeLoop()
	}()
	c.readLoop()
	c.release(&c.buffer)
	close(c.queue)
	<-done
}

// readLoop reads and starts requests until the connection closes, a request
// cannot be read, or a request is the last one of the connection.
func (c *conn) readLoop() {
	var written <-chan struct{} = closedChannel()
	for {
		e, err := c.readRequest(written)
		if err != nil {
			c.handleReadError(err, written)
			return
		}
		e.earlierWritten = written
		written = e.written
		c.launch(e)
		select {
		case c.queue <- e:
		case <-c.ctx.Done():
			go c.releaseAfter(e)
			return
		}
		if e.closeAfter {
			c.discardUntilClosed()
			return
		}
	}
}

// releaseAfter releases the memory of a request once it no longer runs.
func (c *conn) releaseAfter(e *exchange) {
	<-e.responded
	c.release(&e.holding)
}

func closedChannel() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

// launch runs a request in a goroutine. An idempotent request runs at once. Any
// other waits until all earlier responses are written, so that it does not run
// if one of them closes the connection.
func (c *conn) launch(e *exchange) {
	go func() {
		defer close(e.responded)
		if !c.server.Handler.Idempotent(e.request) {
			select {
			case <-e.earlierWritten:
			case <-c.ctx.Done():
			}
		}
		if c.ctx.Err() != nil {
			return
		}
		e.response = c.server.Handler.Serve(c.ctx, e.request)
		e.request = nil
		c.release(&e.holding)
		c.chargeResponse(&e.holding, e.response)
	}()
}

// handleReadError queues a refusal if the caller can be told why its request was
// not read. If the caller has disconnected, it cancels the running requests.
func (c *conn) handleReadError(err error, earlierWritten <-chan struct{}) {
	status := statusOf(err)
	if status == 0 {
		if !errors.Is(err, errIdle) {
			c.cancel()
		}
		return
	}
	e := &exchange{
		responded: closedChannel(), written: make(chan struct{}), earlierWritten: earlierWritten, closeAfter: true, refusal: true,
		response: Response{Status: status, Header: http.Header{}},
	}
	c.server.Log.Info().Str("peer", c.raw.RemoteAddr().String()).Int("status", status).Err(err).Msg("front: request refused.")
	select {
	case c.queue <- e:
	case <-c.ctx.Done():
	}
}

// statusOf returns the response status for an error of reading a request, or 0
// if the caller gets no response.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyMemory), errors.Is(err, errHeadMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, errReadTimeout):
		return http.StatusRequestTimeout
	case errors.Is(err, errMalformed):
		return http.StatusBadRequest
	}
	return 0
}

// errIdle means that an idle connection has timed out or was closed.
var errIdle = errors.New("idle")

// readRequest waits for a request and reads it with its body. earlierWritten is closed when
// the responses to all earlier requests are written.
func (c *conn) readRequest(earlierWritten <-chan struct{}) (*exchange, error) {
	limits := c.server.Limits()
	c.limit.remaining = int64(limits.HeaderBytes) + headerSlack
	if err := c.awaitFirstByte(limits.IdleTimeout); err != nil {
		return nil, err
	}
	if c.held.Load() > maxReadAheadBytes {
		select {
		case <-earlierWritten:
		case <-c.ctx.Done():
		}
	}
	c.reading.Store(true)
	defer c.reading.Store(false)
	var h holding
	e, err := c.readWhole(limits, &h)
	c.shrinkBuffer()
	if err != nil {
		c.release(&h)
		return nil, err
	}
	e.holding = h
	return e, nil
}

// readWhole reads a request. What is reserved for it is added to h, also with an error.
func (c *conn) readWhole(limits chivehillcatalog.Limits, h *holding) (*exchange, error) {
	c.extendDeadline(limits)
	c.beginHead()
	r, err := c.readHead(limits, h)
	if closed := c.endHead(); closed != nil {
		return nil, closed
	}
	if err != nil {
		return nil, err
	}
	c.limit.remaining = unlimited
	return c.readBody(r, limits, h)
}

// extendDeadline sets the time by which the next part of a request must arrive.
func (c *conn) extendDeadline(limits chivehillcatalog.Limits) {
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout.Duration()))
	if c.givenUp.Load() {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// awaitFirstByte waits for the next request. Until its first byte arrives, the
// connection is idle.
func (c *conn) awaitFirstByte(idle chivehillclock.Millis) error {
	c.limit.readErr = nil
	if c.reader.Buffered() == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(idle.Duration()))
	}
	if _, err := c.reader.Peek(1); err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return c.handleIdleTimeout()
		}
		return fmt.Errorf("wait for request: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errIdle
	}
	c.pending++
	return nil
}

// handleIdleTimeout returns errIdle, or waits again if a response is pending or the last one
// was written later than the idle timeout ago.
func (c *conn) handleIdleTimeout() error {
	left := c.server.Limits().IdleTimeout
	c.mu.Lock()
	if c.pending == 0 {
		left -= chivehillclock.FromDuration(time.Since(c.idleSince))
	}
	c.closed = c.closed || left <= 0
	c.mu.Unlock()
	if left > 0 {
		return c.awaitFirstByte(left)
	}
	return errIdle
}

// closeIfIdle closes the connection if it has no request in flight, and reports
// whether it did.
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

// discardUntilClosed reads and discards data after the last request of the
// connection, so that a disconnect of the caller cancels the running requests.
func (c *conn) discardUntilClosed() {
	_ = c.raw.SetReadDeadline(time.Time{})
	var discard [512]byte
	for {
		if _, err := c.reader.Read(discard[:]); err != nil {
			c.cancel()
			return
		}
	}
}

// unlimited disables the limit of a limitReader.
const unlimited = int64(1) << 62

// limitReader limits the bytes read from a connection and keeps the last read
// error.
type limitReader struct {
	reader    io.Reader
	remaining int64
	// received is the number of bytes read in all.
	received atomic.Int64
	// readErr is nil while no read has failed since the connection began to wait for the
	// request that is read.
	readErr error
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	l.received.Add(int64(n))
	if err != nil {
		l.readErr = err
	}
	return n, err
}
