package chivehillupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillresponse"
)

const (
	// maxStaleResponses is how many responses are read for one request before it fails
	// because all of them belong to earlier requests.
	maxStaleResponses = 3
	// idleTimeoutMargin is how long before the server's idle timeout an idle connection is
	// no longer used.
	idleTimeoutMargin = time.Second
	// defaultIdleTimeout is assumed if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// maxSyncWriteBody is the largest body that is written before reading the response. A
	// larger one is written in the background.
	maxSyncWriteBody = 64 << 10
	// writeGrace is how long writing the request may continue after the response.
	writeGrace = 5 * time.Millisecond
	// The TCP keep-alive settings detect a connection whose peer is gone.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// conn is a connection to a server. It must be used by one goroutine at a time.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	bound      *headBound
	memory     *chivehillbudget.Memory
	lastUsedAt time.Time
	// kept is set once the connection has carried a request. Failures without an identifier
	// may belong to that one from then on.
	kept bool
	// idleTimeout is how long the server keeps the connection open while it is idle.
	idleTimeout time.Duration
	// onClose is called when the connection is closed, perhaps more than once.
	onClose func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.onClose()
	return c.Conn.Close()
}

func newConn(c net.Conn, memory *chivehillbudget.Memory) *conn {
	bound := &headBound{Reader: c}
	bound.endHead()
	return &conn{Conn: c, reader: bufio.NewReader(bound), bound: bound, memory: memory, idleTimeout: defaultIdleTimeout, onClose: func() {}}
}

// dial opens a connection. Its errors wrap ErrNotSent.
func dial(ctx context.Context, address string, timeout time.Duration, memory *chivehillbudget.Memory) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w", address, ErrNotSent, err)
	}
	return newConn(c, memory), nil
}

// usable reports whether an idle connection can carry a request: it is not about to
// time out, the server has not closed it, and no unsolicited bytes have arrived.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.lastUsedAt) > c.idleTimeout-idleTimeoutMargin || c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// writeRequest sends a request. The caller's URI and headers need no check here: they
// were checked when they were read.
func (c *conn) writeRequest(r *Request) error {
	var b strings.Builder
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return fmt.Errorf("write request header: %w", err)
	}
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(r.Body.Len()) + "\r\n")
	}
	b.WriteString("\r\n")
	buffers := append(net.Buffers{[]byte(b.String())}, r.Body...)
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// exchange sends a request and reads its complete response. usable reports whether
// the connection can carry another request. The exchange is aborted when ctx is done.
func (c *conn) exchange(ctx context.Context, r *Request, parser HeaderParser) (response Response, usable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	written := c.startWrite(r)
	response, after, err := c.readResponse(r, parser)
	if err != nil {
		_ = c.Close()
		<-written //nolint:errcheck // the read error tells why writing failed
		return response, false, c.classifyError(ctx, err)
	}
	writeErr := c.finishWrite(written)
	if after == bodyUntilEnd && chivehillresponse.ConnectionLost(writeErr) {
		return Response{}, false, c.classifyError(ctx, fmt.Errorf("response body was cut off: %w", writeErr))
	}
	c.lastUsedAt, c.kept = time.Now(), true
	return response, after == reusable && writeErr == nil && stop(), nil
}

// startWrite sends a request. A large one is sent in the background, since the server
// may respond before it has read all of it.
func (c *conn) startWrite(r *Request) <-chan error {
	written := make(chan error, 1)
	if r.Body.Len() <= maxSyncWriteBody {
		written <- c.writeRequest(r)
		return written
	}
	go func() { written <- c.writeRequest(r) }()
	return written
}

// finishWrite returns the error of sending the request, at the latest writeGrace after its
// response. If it is not sent completely by then, it closes the connection: the server must
// not take the rest of the body for another request.
func (c *conn) finishWrite(written <-chan error) error {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-written:
		return err
	case <-timer.C:
	}
	_ = c.Close()
	return <-written
}

// classifyError wraps the error of an exchange in ErrTimeout, ErrInvalidResponse or
// ErrConnectionLost.
func (c *conn) classifyError(ctx context.Context, err error) error {
	peer := c.RemoteAddr().String()
	if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("exchange with %s: %w: %w", peer, ErrTimeout, err)
	}
	if errors.Is(err, ErrInvalidResponse) {
		return fmt.Errorf("exchange with %s: %w", peer, err)
	}
	return fmt.Errorf("exchange with %s: %w: %w", peer, ErrConnectionLost, err)
}

// connState is the state of a connection after a response.
type connState int

const (
	// reusable means that the connection can carry another request.
	reusable connState = iota
	// closing means that the server closes the connection after the response.
	closing
	// bodyUntilEnd means that the body had no length: it ended with the connection.
	bodyUntilEnd
)

// stateAfter returns the state of the connection after a response whose body was read.
func stateAfter(r *http.Response) connState {
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	switch {
	case !framed && r.Body != http.NoBody:
		return bodyUntilEnd
	case !framed, r.Close, !r.ProtoAtLeast(1, 1):
		return closing
	}
	return reusable
}

// readResponse reads the response to a request. It skips stale responses, which
// belong to earlier requests. A failure without an identifier belongs to the request only
// if the connection has carried no other one.
func (c *conn) readResponse(r *Request, parser HeaderParser) (Response, connState, error) {
	for range maxStaleResponses {
		response, after, err := c.readNext(r, parser)
		if err != nil {
			return response, closing, err
		}
		id := response.Metadata.RequestID
		if id == r.ID || id == "" && !response.Succeeded() && !c.kept {
			return response, after, nil
		}
		if after != reusable {
			return response, closing, fmt.Errorf("%w: response belongs to request %q", ErrInvalidResponse, id)
		}
	}
	return Response{}, closing, fmt.Errorf("%w: too many responses to other requests", ErrInvalidResponse)
}

// readNext reads the next final response. It skips interim ones, such as 100 Continue.
func (c *conn) readNext(r *Request, parser HeaderParser) (Response, connState, error) {
	request := &http.Request{Method: r.Method}
	c.bound.startHead()
	defer c.bound.endHead()
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			if isConnectionError(err) {
				return Response{}, closing, err
			}
			return Response{}, closing, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		if err := chivehillresponse.Check(resp); err != nil {
			return Response{}, closing, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		c.bound.endHead()
		body, err := readBody(resp.Body, c.memory)
		if err != nil {
			// Closing the body would read the rest of it first.
			return Response{}, closing, err
		}
		_ = resp.Body.Close()
		response := Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Metadata: parser.ParseResponse(resp.StatusCode, resp.Header)}
		c.idleTimeout = parseIdleTimeout(resp.Header)
		return response, stateAfter(resp), nil
	}
}

// isConnectionError reports whether reading failed because of the connection, not
// because of the bytes that it carried.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// parseIdleTimeout returns the server's idle timeout from the Keep-Alive header.
func parseIdleTimeout(h http.Header) time.Duration {
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	return defaultIdleTimeout
}
