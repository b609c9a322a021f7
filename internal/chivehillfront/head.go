package chivehillfront

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
)

const (
	// headerSlack is the number of bytes read beyond the header limit before a
	// request is refused.
	headerSlack = 4 << 10
	// usualBufferBytes is the size of a connection's buffer, unless a head needs a larger one.
	usualBufferBytes = 4 << 10
	// minLineBytes is the size of the shortest header line that RFC 9112 allows. A head within
	// its limit has no more lines than that permits.
	minLineBytes = 4
	// requestBytes is what a request takes besides its head and body: a goroutine's stack
	// and the state of the call.
	requestBytes = 8 << 10
	// lineBytes is what a header line takes besides its bytes: map entry, strings, slice, and
	// a copy for the server.
	lineBytes = 384
	// longHeadBytes is the memory above which a head counts as long.
	longHeadBytes = 64 << 10
)

// headScan finds the end of a head in bytes that arrive little by little.
type headScan struct {
	// size is the number of bytes in whole lines.
	size  int
	lines int
}

// find reports whether data, which begins with all bytes of earlier calls, holds the whole
// head.
func (s *headScan) find(data []byte) bool {
	for {
		i := bytes.IndexByte(data[s.size:], '\n')
		if i < 0 {
			return false
		}
		line := bytes.TrimSuffix(data[s.size:s.size+i], []byte{'\r'})
		s.size += i + 1
		if len(line) == 0 {
			return true
		}
		s.lines++
	}
}

// cost returns the memory that a request with this head takes, without its body.
func (s *headScan) cost() int64 { return int64(requestBytes + s.size + s.lines*lineBytes) }

// readHead reads a request without its body. It parses the head only once all of it has
// arrived and there is memory for it.
func (c *conn) readHead(limits chivehillcatalog.Limits, h *holding) (*http.Request, error) {
	scan, err := c.awaitHead(limits)
	if err != nil {
		return nil, err
	}
	if scan.lines > int(limits.HeaderBytes)/minLineBytes {
		return nil, errHeaderTooLarge
	}
	if !c.reserve(h, scan.cost(), scan.cost() <= longHeadBytes) {
		return nil, errHeadMemory
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.headerError(err)
	}
	if headerBytes(r) > int64(limits.HeaderBytes) {
		return nil, errHeaderTooLarge
	}
	return r, checkHead(r)
}

// awaitHead waits until the buffer holds a whole head.
func (c *conn) awaitHead(limits chivehillcatalog.Limits) (scan headScan, err error) {
	maxBytes := int(limits.HeaderBytes) + headerSlack + usualBufferBytes
	for {
		// All that is buffered can be peeked at without a read.
		data, _ := c.reader.Peek(c.reader.Buffered())
		if scan.find(data) {
			return scan, nil
		}
		if len(data) == c.reader.Size() {
			if err := c.growBuffer(maxBytes); err != nil {
				return scan, err
			}
		}
		if _, err := c.reader.Peek(len(data) + 1); err != nil {
			return scan, c.headerError(err)
		}
	}
}

// growBuffer doubles the size of the buffer, up to maxBytes.
func (c *conn) growBuffer(maxBytes int) error {
	size := min(2*c.reader.Size(), maxBytes)
	if size <= c.reader.Size() {
		return errHeaderTooLarge
	}
	if !c.reserve(&c.buffer, int64(size), false) {
		return errHeadMemory
	}
	c.replaceBuffer(size)
	return nil
}

// shrinkBuffer gives back the memory of a large buffer once what it holds fits a usual one.
func (c *conn) shrinkBuffer() {
	if c.reader.Size() <= usualBufferBytes || c.reader.Buffered() > usualBufferBytes {
		return
	}
	c.replaceBuffer(usualBufferBytes)
	c.release(&c.buffer)
}

// replaceBuffer replaces the buffer by one that holds the same bytes. They must fit.
func (c *conn) replaceBuffer(size int) {
	data, _ := c.reader.Peek(c.reader.Buffered())
	if len(data) == 0 {
		c.reader = bufio.NewReaderSize(c.limit, size)
		return
	}
	held := bytes.NewReader(slices.Clone(data))
	c.reader = bufio.NewReaderSize(io.MultiReader(held, c.limit), size)
	// The bytes are in memory, so that this does not fail.
	_, _ = c.reader.Peek(len(data))
}

// headerError returns the cause of a failed read of a request header.
func (c *conn) headerError(err error) error {
	var netErr net.Error
	switch {
	case c.limit.remaining <= 0:
		return errHeaderTooLarge
	case errors.As(c.limit.readErr, &netErr) && netErr.Timeout():
		return errReadTimeout
	case c.limit.readErr != nil:
		return fmt.Errorf("read header: %w", err)
	}
	// The cause may quote a line of the header, which may hold a key.
	return fmt.Errorf("%w: header", errMalformed)
}

// headerBytes returns the approximate size of a request line and header as sent.
func headerBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(size)
}
