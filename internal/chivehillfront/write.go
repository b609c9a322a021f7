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

// connectionFields are the header fields that concern one connection only.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns the header fields that do not concern one connection only.
func EndToEnd(h http.Header) http.Header {
	kept := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionFields {
		kept.Del(name)
	}
	return kept
}

// writeAll writes the answers in the order of the requests.
func (c *conn) writeAll() {
	ended := false
	for e := range c.queue {
		<-e.answered
		if !ended {
			ended = !c.writeOne(e)
		}
		c.server.buffered.Add(-e.held)
		close(e.written)
		c.mu.Lock()
		c.pending--
		c.mu.Unlock()
	}
}

// writeOne writes one answer and reports whether the connection goes on.
func (c *conn) writeOne(e *exchange) bool {
	if c.ctx.Err() != nil || e.response.Status == 0 {
		c.end()
		return false
	}
	last := e.last || c.server.closing.Load()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.raw.Write(encode(e, last)); err != nil {
		c.server.Log.Info().Str("peer", c.raw.RemoteAddr().String()).Str("step", "write answer").Err(err).Msg("front: caller left.")
		c.end()
		return false
	}
	if !last {
		return true
	}
	if e.refusal {
		c.linger()
	}
	c.end()
	return false
}

// end closes the connection and gives up what is still running for it.
func (c *conn) end() {
	c.cancel()
	_ = c.raw.Close()
}

// linger lets a refused caller read the answer before the connection is reset.
func (c *conn) linger() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(closeLinger))
	var discard [4 << 10]byte
	for {
		if _, err := c.raw.Read(discard[:]); err != nil {
			return
		}
	}
}

// encode returns an answer as it is sent.
func encode(e *exchange, last bool) []byte {
	r := e.response
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.Status, http.StatusText(r.Status))
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&b)
	if !e.headOnly && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	switch {
	case last:
		b.WriteString("Connection: close\r\n")
	case e.http10:
		b.WriteString("Connection: keep-alive\r\n")
	}
	b.WriteString("\r\n")
	if !e.headOnly {
		b.Write(r.Body)
	}
	return b.Bytes()
}
