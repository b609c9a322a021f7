package chivehillfront

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/chivehill/chivehill/internal/chivehillbody"
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehilltarget"
)

// readBody reads the body of a request into memory.
func (c *conn) readBody(r *http.Request, limits chivehillcatalog.Limits, h *holding) (*exchange, error) {
	if r.ContentLength > int64(limits.BodyBytes) {
		return nil, errBodyTooLarge
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, fmt.Errorf("write 100 Continue: %w", err)
		}
	}
	body, err := c.readParts(r, limits, h)
	if err != nil {
		return nil, err
	}
	closeAfter := r.Close || c.server.closing.Load()
	request := NewRequest(r, body)
	request.Arrived, request.RemoteAddr = c.server.Clock.Now(), c.raw.RemoteAddr().String()
	return &exchange{
		request: request, responded: make(chan struct{}), written: make(chan struct{}), closeAfter: closeAfter,
		http10: !r.ProtoAtLeast(1, 1), headOnly: r.Method == http.MethodHead,
	}, nil
}

// NewRequest returns a request that was read from a connection, with its body. What selects
// its route is read here and nowhere else, from the bytes that are forwarded.
func NewRequest(r *http.Request, body chivehillbody.Body) *Request {
	// The Connection field may name the credentials, which EndToEnd then removes.
	credentials := r.Header["Authorization"]
	hasBody := r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != ""
	return &Request{
		Method: r.Method, URI: r.RequestURI, Path: chivehilltarget.Path(r.RequestURI), Host: r.Host,
		Header: EndToEnd(r.Header), Credentials: credentials, Body: body, HasBody: hasBody,
	}
}

// smallBodyBytes is the size up to which an announced body counts as small.
const smallBodyBytes = 64 << 10

// readParts reads a body within the limit of one body and the memory limit of all bodies.
// Memory is reserved for each part before it is read.
func (c *conn) readParts(r *http.Request, limits chivehillcatalog.Limits, h *holding) (chivehillbody.Body, error) {
	var body chivehillbody.Body
	for size := 0; ; {
		part, err := c.startPart(r.ContentLength, size, h)
		if err != nil || part == nil {
			return body, err
		}
		n, err := io.ReadFull(r.Body, part)
		if size += n; size > int(limits.BodyBytes) {
			return nil, errBodyTooLarge
		}
		if n > 0 {
			body = append(body, part[:n])
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return body, c.truncationError(err)
		}
		if err != nil {
			return nil, c.bodyError(err)
		}
		c.extendDeadline(limits)
	}
}

// startPart returns the memory for the next part of a body of which size bytes have arrived,
// or nil if the body is complete. announced is negative if its length is unknown.
func (c *conn) startPart(announced int64, size int, h *holding) ([]byte, error) {
	bytes, small := int64(chivehillbody.NextPart(size)), size == 0
	if announced >= 0 {
		bytes, small = min(bytes, announced-int64(size)), announced <= smallBodyBytes
	}
	if bytes == 0 {
		return nil, nil
	}
	if !c.reserve(h, bytes, small) {
		return nil, errBodyMemory
	}
	return make([]byte, bytes), nil
}

// truncationError returns an error if the connection failed within the body, and
// nil if the body is complete.
func (c *conn) truncationError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) && c.limit.readErr != nil {
		return fmt.Errorf("read body: %w", c.limit.readErr)
	}
	return nil
}

// bodyError returns the cause of a failed read of a body.
func (c *conn) bodyError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errReadTimeout
	}
	if errors.As(err, &netErr) {
		return fmt.Errorf("read body: %w", err)
	}
	// The cause may quote a line of the trailer.
	return fmt.Errorf("%w: body", errMalformed)
}
