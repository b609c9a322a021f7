package chivehillupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillbody"
	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// idParser reads only the request identifier.
type idParser struct{}

func (idParser) ParseResponse(_ int, h http.Header) ResponseMetadata {
	return ResponseMetadata{RequestID: chivehillid.RequestID(h.Get("Id")), Signed: true}
}

// serve starts a server that calls handle for each request, the nth on its connection,
// and returns a pool of connections to it.
func serve(t *testing.T, handle func(c net.Conn, n int, r *http.Request)) *Pool {
	t.Helper()
	return serveConns(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			handle(c, n, r)
		}
	})
}

func completeResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(id string) *Request {
	return &Request{ID: chivehillid.RequestID(id), Method: "GET", URI: "/x?y=%20z", Host: "h", Header: http.Header{}}
}

func TestDoReturnsOnlyCompleteResponses(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		status int
		body   string
		usable bool
		err    error
	}{
		{"complete response", completeResponse("a", "body"), 200, "body", true, nil},
		{"interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse("a", "body"), 200, "body", true, nil},
		{"stale response first", completeResponse("old", "late") + completeResponse("a", "body"), 200, "body", true, nil},
		{"only stale responses", completeResponse("old", "late") + completeResponse("old", "late") + completeResponse("old", "late"), 0, "", false, ErrInvalidResponse},
		{"not an HTTP response", "what is this\r\n\r\n", 0, "", false, ErrInvalidResponse},
		{"connection closed after the response", "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb", 200, "b", false, nil},
		{"body truncated", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nbody", 0, "", false, ErrConnectionLost},
		{"chunked body truncated", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", 0, "", false, ErrConnectionLost},
		{"refused without an identifier", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 503, "", true, nil},
		{"success without an identifier", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, "", false, ErrConnectionLost},
	}
	for _, tt := range tests {
		pool := serve(t, func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, tt.text)
			if tt.err != nil {
				_ = c.Close()
			}
		})
		lease, err := pool.Take(t.Context(), 1000)
		qt.Assert(t, err, qt.IsNil)
		response, usable, err := lease.Do(t.Context(), request("a"))
		if tt.err != nil {
			qt.Check(t, errors.Is(err, tt.err) || errors.Is(err, ErrConnectionLost) || errors.Is(err, ErrInvalidResponse), qt.IsTrue, qt.Commentf("%s: %v", tt.name, err))
			qt.Check(t, response.Status == 0 || err != nil, qt.IsTrue)
			continue
		}
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", tt.name))
		qt.Check(t, response.Status, qt.Equals, tt.status, qt.Commentf("%s", tt.name))
		qt.Check(t, string(response.Body), qt.Equals, tt.body, qt.Commentf("%s", tt.name))
		qt.Check(t, usable, qt.Equals, tt.usable, qt.Commentf("%s", tt.name))
	}
}

// TestResponseThatStopsEarlyLooksComplete guards against a server that stops at any byte of its
// head or body and closes. A body without a length ends with its connection, so that only its
// head can be seen to be cut off.
func TestResponseThatStopsEarlyLooksComplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: a\r\nX: y\r\n"
	tests := []struct {
		about string
		text  string
		// needed is the number of bytes without which the response is not whole.
		needed int
	}{
		{"length", head + "Content-Length: 4\r\n\r\nbody", len(head) + len("Content-Length: 4\r\n\r\nbody")},
		{"empty body", head + "Content-Length: 0\r\n\r\n", len(head) + len("Content-Length: 0\r\n\r\n")},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", len(head) + len("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")},
		{"body that ends with its connection", head + "Connection: close\r\n\r\nbody", len(head) + len("Connection: close\r\n\r\n")},
		{"line feeds only", "HTTP/1.1 200 OK\nId: a\nContent-Length: 1\n\nb", len("HTTP/1.1 200 OK\nId: a\nContent-Length: 1\n\nb")},
		{"interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse("a", "body"), len("HTTP/1.1 100 Continue\r\n\r\n" + completeResponse("a", "body"))},
	}
	for _, tt := range tests {
		for end := range len(tt.text) + 1 {
			pool := serve(t, func(c net.Conn, _ int, _ *http.Request) {
				_, _ = io.WriteString(c, tt.text[:end])
				_ = c.Close()
			})
			lease, err := pool.Take(t.Context(), 1000)
			qt.Assert(t, err, qt.IsNil)
			response, _, err := lease.Do(t.Context(), request("a"))
			qt.Check(t, err == nil, qt.Equals, end >= tt.needed, qt.Commentf("%s: %q: %d %q %v", tt.about, tt.text[:end], response.Status, response.Body, err))
		}
	}
}

func TestUnsolicitedBytesCloseTheConnection(t *testing.T) {
	pool := serve(t, func(c net.Conn, n int, r *http.Request) {
		_, _ = io.WriteString(c, completeResponse(r.URL.Query().Get("id"), "b"))
		if n == 0 {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(c, completeResponse("again", "b"))
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		lease, err := pool.Take(t.Context(), 1000)
		qt.Assert(t, err, qt.IsNil)
		r := request(id)
		r.URI = "/?id=" + id
		response, usable, err := lease.Do(t.Context(), r)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(response.Metadata.RequestID), qt.Equals, id)
		if usable {
			lease.Release()
		}
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(t, pool.Dialed() >= 2, qt.IsTrue)
}

// TestEarlierResponseIsTakenForThatOfTheNextRequest sends a health check and a request on one
// connection. The server repeats an earlier response when the request arrives, and answers the
// request later.
func TestEarlierResponseIsTakenForThatOfTheNextRequest(t *testing.T) {
	refusal := "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		about    string
		repeated string
	}{
		{"refused health check", refusal},
		{"refused request", "HTTP/1.1 503 Busy\r\nId: old\r\nContent-Length: 0\r\n\r\n"},
		{"served request", completeResponse("old", "late")},
		{"served health check", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range tests {
		pool := serve(t, func(c net.Conn, n int, _ *http.Request) {
			if n == 0 {
				_, _ = io.WriteString(c, refusal)
				return
			}
			_, _ = io.WriteString(c, tt.repeated)
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(c, completeResponse("a", "body"))
		})
		lease, err := pool.Take(t.Context(), 1000)
		qt.Assert(t, err, qt.IsNil)
		_, usable, err := lease.Probe(t.Context(), "/health", "h")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, usable, qt.IsTrue)
		response, _, err := lease.Do(t.Context(), request("a"))
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", tt.about))
		qt.Check(t, response.Status, qt.Equals, 200, qt.Commentf("%s", tt.about))
		qt.Check(t, string(response.Body), qt.Equals, "body", qt.Commentf("%s", tt.about))
	}
}

func TestTimeoutAndDialFailureAreDistinguished(t *testing.T) {
	pool := serve(t, func(net.Conn, int, *http.Request) {})
	lease, err := pool.Take(t.Context(), 1000)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, usable, err := lease.Do(ctx, request("a"))
	qt.Assert(t, errors.Is(err, ErrTimeout), qt.IsTrue)
	qt.Assert(t, usable, qt.IsFalse)
	_, err = NewPool("127.0.0.1:1", idParser{}, nil).Take(t.Context(), 100)
	qt.Assert(t, errors.Is(err, ErrNotSent), qt.IsTrue)
}

// TestEarlyResponseClosesTheConnection lets a server respond before it has read the
// request body. If the connection were reused, the server would take the rest of the
// body for another request.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, completeResponse("a", "no"))
		time.Sleep(200 * time.Millisecond)
		_ = c.Close()
	}()
	pool := NewPool(l.Addr().String(), idParser{}, chivehillbudget.NewMemory(2*maxResponseBytes))
	lease, err := pool.Take(t.Context(), 1000)
	qt.Assert(t, err, qt.IsNil)
	r := request("a")
	r.Method, r.Body, r.HasBody = "POST", chivehillbody.Of(make([]byte, 32<<20)), true
	response, usable, err := lease.Do(t.Context(), r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Status, qt.Equals, 200)
	qt.Assert(t, usable, qt.IsFalse)
}

func TestParseIdleTimeout(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
	}{
		{"timeout=5, max=100", 5 * time.Second},
		{"max=100, timeout=0", 0},
		{"timeout=x", defaultIdleTimeout},
		{"", defaultIdleTimeout},
	}
	for _, tt := range tests {
		qt.Check(t, parseIdleTimeout(http.Header{"Keep-Alive": {tt.text}}), qt.Equals, tt.want, qt.Commentf("%q", tt.text))
	}
}

func FuzzAnswers(f *testing.F) {
	f.Add([]byte(completeResponse("a", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" + completeResponse("a", "body")))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nId: old\r\nContent-Length: 0\r\n\r\n" + completeResponse("a", "body")[:40]))
	f.Add([]byte("HTTP/1.1 000 Trouble\r\nId: a\r\nContent-Length: 0\r\n\r\n" + completeResponse("a", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length : 4\r\n\r\nbody and more"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		go func() {
			_, _ = server.Write(data)
			_ = server.Close()
		}()
		c := newConn(client, chivehillbudget.NewMemory(maxResponseBytes))
		c.kept = true
		response, _, err := c.readResponse(request("a"), idParser{})
		if err == nil && response.Metadata.RequestID != "a" {
			t.Fatalf("returned the response to request %q, want one to request a", response.Metadata.RequestID)
		}
		if err == nil && response.Status < http.StatusOK {
			t.Fatalf("returned a response of status %d", response.Status)
		}
		for name := range response.Header {
			if err == nil && strings.ContainsAny(name, " \t\x00\x7f") {
				t.Fatalf("returned a response with a field named %q", name)
			}
		}
	})
}

// TestResponsesAboveTheLimitAreInvalid reads response bodies at and above
// maxResponseBytes.
func TestResponsesAboveTheLimitAreInvalid(t *testing.T) {
	tests := []struct {
		name string
		size int
		head string
		err  error
	}{
		{"at the limit", maxResponseBytes, "Content-Length: " + strconv.Itoa(maxResponseBytes) + "\r\n", nil},
		{"above the limit", maxResponseBytes + 1, "Content-Length: " + strconv.Itoa(maxResponseBytes+1) + "\r\n", ErrInvalidResponse},
		{"above the limit, ends with its connection", maxResponseBytes + 1, "Connection: close\r\n", ErrInvalidResponse},
	}
	for _, tt := range tests {
		pool := serve(t, func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n"+tt.head+"\r\n")
			_, _ = c.Write(make([]byte, tt.size))
			_ = c.Close()
		})
		lease, err := pool.Take(t.Context(), 1000)
		qt.Assert(t, err, qt.IsNil)
		response, _, err := lease.Do(t.Context(), request("a"))
		if tt.err != nil {
			qt.Check(t, err, qt.ErrorIs, tt.err, qt.Commentf("%s", tt.name))
			continue
		}
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", tt.name))
		qt.Check(t, len(response.Body), qt.Equals, tt.size, qt.Commentf("%s", tt.name))
	}
}
