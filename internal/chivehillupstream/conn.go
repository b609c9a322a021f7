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
)

const (
	// maxLateAnswers is the most answers to earlier requests that are passed over.
	maxLateAnswers = 3
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 64 << 20
	// keepMargin is how much sooner than the server a kept connection is given up.
	keepMargin = time.Second
	// defaultKeep is the time for which a connection is kept if the server does not say.
	defaultKeep = 8 * time.Second
	// smallBody is the size up to which a request is sent before its answer is read.
	smallBody = 64 << 10
	// writeGrace is how long sending may go on after the answer.
	writeGrace = 5 * time.Millisecond
	// keepAlive parameters end a connection whose peer is gone.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// conn is one connection to a server. It is used by one goroutine at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Time
	// keep is the time for which the server keeps the connection idle.
	keep time.Duration
}

// dial opens a connection. Its errors are ErrNotSent.
func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w: %w", address, ErrNotSent, err)
	}
	return &conn{Conn: c, reader: bufio.NewReader(c), keep: defaultKeep}, nil
}

// usable reports whether nothing has arrived on an idle connection: no bytes
// that belong to no request, and no end.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.usedAt) > c.keep-keepMargin || c.reader.Buffered() > 0 {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// write sends a request. A caller's URI and header lines were checked when
// they were read.
func (c *conn) write(r *Request) error {
	var b strings.Builder
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	buffers := net.Buffers{[]byte(b.String())}
	if len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// exchange sends a request and reads its whole answer. reusable tells whether
// the connection may carry another one. When ctx ends, the connection breaks.
func (c *conn) exchange(ctx context.Context, r *Request, dialect Dialect) (answer Answer, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	written := c.startWrite(r)
	answer, reusable, err = c.read(r, dialect)
	if err != nil {
		_ = c.Close()
		<-written //nolint:errcheck // reading tells why writing failed
		return answer, false, c.classify(ctx, err)
	}
	if !c.finishWrite(written) {
		reusable = false
	}
	c.usedAt = time.Now()
	return answer, reusable && stop(), nil
}

// startWrite sends a request, a large one in the background: the server may
// answer before it has read all of it.
func (c *conn) startWrite(r *Request) <-chan error {
	written := make(chan error, 1)
	if len(r.Body) <= smallBody {
		written <- c.write(r)
		return written
	}
	go func() { written <- c.write(r) }()
	return written
}

// finishWrite reports whether the request was sent whole before its answer
// came. If not, the connection ends: the rest of the body must not be taken for
// another request.
func (c *conn) finishWrite(written <-chan error) bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
	}
	_ = c.Close()
	<-written //nolint:errcheck // the answer is whole
	return false
}

func (c *conn) classify(ctx context.Context, err error) error {
	peer := c.RemoteAddr().String()
	if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("exchange with %s: %w: %w", peer, ErrTimeout, err)
	}
	if errors.Is(err, ErrSpoiled) {
		return fmt.Errorf("exchange with %s: %w", peer, err)
	}
	return fmt.Errorf("exchange with %s: %w: %w", peer, ErrBroken, err)
}

// read reads the answer to a request and passes over late answers to earlier ones.
func (c *conn) read(r *Request, dialect Dialect) (Answer, bool, error) {
	for range maxLateAnswers {
		answer, reusable, err := c.readOne(r, dialect)
		if err != nil {
			return answer, false, err
		}
		id := answer.Remarks.RequestID
		if id == r.ID || (id == "" && !answer.Succeeded()) {
			return answer, reusable, nil
		}
		if !reusable {
			return answer, false, fmt.Errorf("%w: the answer is to request %q", ErrSpoiled, id)
		}
	}
	return Answer{}, false, fmt.Errorf("%w: too many answers to other requests", ErrSpoiled)
}

// readOne reads one answer, past interim ones.
func (c *conn) readOne(r *Request, dialect Dialect) (Answer, bool, error) {
	asked := &http.Request{Method: r.Method}
	for {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			if isTransport(err) {
				return Answer{}, false, err
			}
			return Answer{}, false, fmt.Errorf("%w: %w", ErrSpoiled, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return Answer{}, false, err
		}
		answer := Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Remarks: dialect.Answer(resp.StatusCode, resp.Header)}
		c.keep = keepTime(resp.Header)
		return answer, !resp.Close && resp.ProtoAtLeast(1, 1) && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0), nil
	}
}

// readBody reads the body of an answer. One that is too large to be held is
// spoiled, since it could only be passed on in part.
func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrSpoiled, maxAnswerBytes)
	}
	return body, nil
}

// isTransport reports whether reading failed for the connection, not for its bytes.
func isTransport(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// keepTime reads how long the server keeps an idle connection.
func keepTime(h http.Header) time.Duration {
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	return defaultKeep
}
