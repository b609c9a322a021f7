package chivehillfront

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// readBody reads the body of a request into memory.
func (c *conn) readBody(r *http.Request, limit int64) (*exchange, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, fmt.Errorf("write interim answer: %w", err)
		}
	}
	body, err := c.readBounded(r.Body, limit)
	if err != nil {
		return nil, err
	}
	hasBody := r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != ""
	last := r.Close || c.server.closing.Load()
	request := &Request{
		Method: r.Method, URI: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: EndToEnd(r.Header), Body: body, HasBody: hasBody,
		Arrived: c.server.Clock.Now(), Peer: c.raw.RemoteAddr().String(),
	}
	return &exchange{
		request: request, answered: make(chan struct{}), written: make(chan struct{}), last: last, held: int64(len(body)),
		http10: !r.ProtoAtLeast(1, 1), headOnly: r.Method == http.MethodHead,
	}, nil
}

// bodyStepBytes is the size of the steps in which memory for a body is claimed.
const bodyStepBytes = 64 << 10

// readBounded reads a body within the limit of one body and of all together.
func (c *conn) readBounded(body io.Reader, limit int64) ([]byte, error) {
	var held []byte
	buffer := make([]byte, 0, 512)
	for {
		n, err := io.ReadFull(body, buffer[:cap(buffer)])
		held = append(held, buffer[:n]...)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return c.bodyEnd(held, err)
		}
		if err != nil {
			return nil, c.bodyError(err)
		}
		if int64(len(held)) > limit {
			return nil, errBodyTooLarge
		}
		if c.server.buffered.Load()+int64(len(held)) > c.server.MaxBuffered {
			return nil, errNoMemory
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.Limits().HeaderTimeout.Duration()))
		buffer = make([]byte, 0, bodyStepBytes)
	}
}

// bodyEnd tells the end of a body from a caller that broke off.
func (c *conn) bodyEnd(held []byte, err error) ([]byte, error) {
	if errors.Is(err, io.ErrUnexpectedEOF) && c.limit.failed != nil {
		return nil, fmt.Errorf("read body: %w", c.limit.failed)
	}
	c.server.buffered.Add(int64(len(held)))
	return held, nil
}

func (c *conn) bodyError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errSlow
	}
	if errors.As(err, &netErr) {
		return fmt.Errorf("read body: %w", err)
	}
	return fmt.Errorf("%w: body: %w", errMalformed, err)
}
