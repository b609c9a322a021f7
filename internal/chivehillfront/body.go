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

const (
	// firstStepBytes is what is read of a body first.
	firstStepBytes = 512
	// bodyStepBytes is the size of the further steps in which memory is claimed.
	bodyStepBytes = 64 << 10
)

// readBounded reads a body within the limit of one body and of all together.
// The memory of the body stays claimed if it is returned.
func (c *conn) readBounded(body io.Reader, limit int64) ([]byte, error) {
	held, err := c.readSteps(body, limit)
	if err != nil {
		c.server.buffered.Add(-int64(len(held)))
		return nil, err
	}
	return held, nil
}

// readSteps reads a body and claims memory for each step. It returns what it
// has claimed, also with an error.
func (c *conn) readSteps(body io.Reader, limit int64) (held []byte, err error) {
	buffer := make([]byte, firstStepBytes)
	for {
		n, err := io.ReadFull(body, buffer)
		if int64(len(held)+n) > limit {
			return held, errBodyTooLarge
		}
		if !c.server.claim(int64(n)) {
			return held, errNoMemory
		}
		held = append(held, buffer[:n]...)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return held, c.brokenOff(err)
		}
		if err != nil {
			return held, c.bodyError(err)
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.Limits().HeaderTimeout.Duration()))
		if len(buffer) < bodyStepBytes {
			buffer = make([]byte, bodyStepBytes)
		}
	}
}

// brokenOff tells the end of a body from a caller that broke off.
func (c *conn) brokenOff(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) && c.limit.failed != nil {
		return fmt.Errorf("read body: %w", c.limit.failed)
	}
	return nil
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
