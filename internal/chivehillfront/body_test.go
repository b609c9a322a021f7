package chivehillfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// sizes answers each request with the size of its body.
type sizes struct{}

func (sizes) Serve(_ context.Context, r *Request) Response {
	return Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(strconv.Itoa(len(r.Body)))}
}

func (sizes) Idempotent(*Request) bool { return true }

// listen serves callers on loopback until the test ends.
func listen(t *testing.T, limit chivehillid.Bytes, maxBuffered int64) (s *Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s = &Server{
		Handler: sizes{}, Clock: chivehillclock.New(), Log: zerolog.Nop(), MaxBuffered: maxBuffered,
		Limits: func() chivehillcatalog.Limits {
			return chivehillcatalog.Limits{HeaderBytes: 4 << 10, BodyBytes: limit, HeaderTimeout: 300, IdleTimeout: 5000}
		},
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-served
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s, l.Addr().String()
}

func chunk(size int) string {
	return strconv.FormatInt(int64(size), 16) + "\r\n" + strings.Repeat("x", size) + "\r\n"
}

const (
	chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk   = "0\r\n\r\n"
)

func TestBodyBounds(t *testing.T) {
	tests := []struct {
		about       string
		limit       chivehillid.Bytes
		maxBuffered int64
		request     string
		status      int
	}{
		{"length within the limit", 1000, 1 << 20, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000), 200},
		{"length above the limit", 1000, 1 << 20, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413},
		{"chunks within the limit", 1000, 1 << 20, chunkedHead + chunk(400) + chunk(600) + lastChunk, 200},
		{"one chunk above the limit", 100, 1 << 20, chunkedHead + chunk(101) + lastChunk, 413},
		{"the last chunk passes the limit", 1000, 1 << 20, chunkedHead + chunk(900) + chunk(200) + lastChunk, 413},
		{"the last chunk of many passes the limit", 70_000, 1 << 20, chunkedHead + chunk(69_000) + chunk(2_000) + lastChunk, 413},
		{"more than the memory for bodies", 1000, 500, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 600\r\n\r\n" + strings.Repeat("x", 600), 503},
		{"not sent in time", 1000, 1 << 20, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 600\r\n\r\nx", 408},
	}
	for _, tt := range tests {
		s, address := listen(t, tt.limit, tt.maxBuffered)
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.WriteString(c, tt.request)
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", tt.about))
		qt.Check(t, response.StatusCode, qt.Equals, tt.status, qt.Commentf("%s", tt.about))
		_ = response.Body.Close()
		_ = c.Close()
		waitUntil(t, tt.about, func() bool { return s.buffered.Load() == 0 })
	}
}

// TestUnfinishedBodiesCount sends bodies side by side: memory is claimed while
// they arrive, and given back when their callers leave.
func TestUnfinishedBodiesCount(t *testing.T) {
	const each = 150_000
	s, address := listen(t, 1<<20, 2*each)
	var conns []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		conns = append(conns, c)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("x", each))
		qt.Assert(t, err, qt.IsNil)
	}
	waitUntil(t, "both claimed", func() bool { return s.buffered.Load() > each })
	refused, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = refused.Close() }()
	_, err = io.WriteString(refused, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 200_000))
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(refused), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	_ = response.Body.Close()
	for _, c := range conns {
		_ = c.Close()
	}
	waitUntil(t, "given back", func() bool { return s.buffered.Load() == 0 })
}

func waitUntil(t *testing.T, about string, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: does not hold after 2 s", about)
}
