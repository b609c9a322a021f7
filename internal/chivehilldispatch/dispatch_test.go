package chivehilldispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillresponse/chivehillresponsetest"
)

// serve starts a server that calls handle for each request and then closes the connection.
func serve(t *testing.T, handle func(net.Conn)) Target {
	t.Helper()
	address := chivehillresponsetest.Accept(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			handle(c)
		}
	})
	return Target{Name: "server", Address: address}
}

// countedConn counts the bytes that are read.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// send sends one request and returns its result with the number of bytes that were read.
func send(t *testing.T, target Target) (Attempt, int64) {
	t.Helper()
	d := New(chivehillclock.New(), func(string) {})
	t.Cleanup(d.Close)
	var read atomic.Int64
	dial := d.transport.DialContext
	d.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		return countedConn{Conn: c, read: &read}, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	a := d.Send(ctx, Request{Method: "GET", Target: "/x", Header: http.Header{}, BufferBytes: 64 << 10, Regions: chivehillregion.Everywhere()}, target, chivehillclock.Second)
	return a, read.Load()
}

// TestResponseThatStopsEarlyLooksComplete guards against a server that stops at any byte of its
// head or body and closes.
func TestResponseThatStopsEarlyLooksComplete(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		for end := range len(text) + 1 {
			a, _ := send(t, serve(t, func(c net.Conn) { _, _ = io.WriteString(c, text[:end]) }))
			qt.Check(t, a.Response != nil, qt.Equals, end == len(text), qt.Commentf("%q: %v", text[:end], a.Err))
		}
	}
}

// TestHeadWithoutEndIsKeptInMemory guards against a server that sends bytes without end in the
// head of its response: they are read up to a bound.
func TestHeadWithoutEndIsKeptInMemory(t *testing.T) {
	tests := []struct {
		about    string
		head     string
		repeated string
	}{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("O", 1<<10)},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1<<10)},
		{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-More: more\r\n", 64)},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	}
	for _, tt := range tests {
		target := serve(t, func(c net.Conn) {
			_, err := io.WriteString(c, tt.head)
			for err == nil {
				_, err = io.WriteString(c, tt.repeated)
			}
		})
		a, read := send(t, target)
		qt.Check(t, a.Response, qt.IsNil, qt.Commentf("%s", tt.about))
		qt.Check(t, read <= maxHeadBytes+readBufferBytes, qt.IsTrue, qt.Commentf("%s: %d bytes were read", tt.about, read))
	}
}
