package chivehillfront

import (
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// connectionFields are the hop-by-hop header fields and those that the server
// sets or handles itself.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// maxWriteBytes is how much of a body is written at once.
const maxWriteBytes = 64 << 10

// EndToEnd removes connectionFields and the fields that Connection names from the header and
// returns it.
func EndToEnd(h http.Header) http.Header {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionFields {
		h.Del(name)
	}
	return h
}

// writeLoop writes the responses in request order.
func (c *conn) writeLoop() {
	ended := false
	for e := range c.queue {
		<-e.responded
		if !ended {
			ended = !c.writeResponse(e)
		}
		c.release(&e.holding)
		close(e.written)
		c.mu.Lock()
		c.pending--
		c.idleSince = time.Now()
		c.mu.Unlock()
	}
}

// writeResponse writes one response and reports whether the connection stays
// open.
func (c *conn) writeResponse(e *exchange) bool {
	if c.ctx.Err() != nil || e.response.Status == 0 {
		c.terminate()
		return false
	}
	closeAfter := e.closeAfter || c.server.closing.Load() && c.endIfLast()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.write(e, closeAfter); err != nil {
		c.server.Log.Info().Str("peer", c.raw.RemoteAddr().String()).Str("step", "write response").Err(err).Msg("front: writing the response failed.")
		c.terminate()
		return false
	}
	if !closeAfter {
		return true
	}
	if e.refusal {
		c.linger()
	}
	c.terminate()
	return false
}

// write writes a response in parts, so that its progress shows. The head goes along with the
// first part.
func (c *conn) write(e *exchange, closeAfter bool) error {
	c.writing.Store(true)
	defer c.writing.Store(false)
	body := e.response.Body
	if e.headOnly {
		body = nil
	}
	part := body[:min(len(body), maxWriteBytes)]
	data := append(encodeHead(e, closeAfter), part...)
	for {
		n, err := c.raw.Write(data)
		c.sent.Add(int64(n))
		body = body[len(part):]
		if err != nil || len(body) == 0 {
			return err
		}
		part = body[:min(len(body), maxWriteBytes)]
		data = part
	}
}

// endIfLast ends the reading of requests if all that were read have their responses but the
// one whose response comes next, and reports whether that is so. A request that is being
// read counts as read.
func (c *conn) endIfLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.pending == 1
	c.closed = c.closed || last
	return last
}

// terminate closes the connection and cancels its running requests.
func (c *conn) terminate() {
	c.cancel()
	_ = c.raw.Close()
}

// linger discards what a refused caller still sends, so that it can read the
// response before the connection is reset.
func (c *conn) linger() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	var discard [4 << 10]byte
	for {
		if _, err := c.raw.Read(discard[:]); err != nil {
			return
		}
	}
}

// encodeHead returns the head of a response in wire format.
func encodeHead(e *exchange, closeAfter bool) []byte {
	r := e.response
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&b)
	if !e.headOnly && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	switch {
	case closeAfter:
		b.WriteString("Connection: close\r\n")
	case e.http10:
		b.WriteString("Connection: keep-alive\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
