package chivehillupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// plainDialect reads the identifier only.
type plainDialect struct{}

func (plainDialect) Answer(_ int, h http.Header) Remarks {
	return Remarks{RequestID: chivehillid.RequestID(h.Get("Id")), Signed: true}
}

// serve answers each connection with what answer writes after each request.
func serve(t *testing.T, answer func(c net.Conn, n int, r *http.Request)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					answer(c, n, r)
				}
			}()
		}
	}()
	return NewPool(l.Addr().String(), plainDialect{})
}

func whole(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(id string) *Request {
	return &Request{ID: chivehillid.RequestID(id), Method: "GET", URI: "/x?y=%20z", Host: "h", Header: http.Header{}}
}

func TestExchanges(t *testing.T) {
	tests := []struct {
		about  string
		text   string
		status int
		body   string
		usable bool
		err    error
	}{
		{"whole", whole("a", "body"), 200, "body", true, nil},
		{"interim answer first", "HTTP/1.1 100 Continue\r\n\r\n" + whole("a", "body"), 200, "body", true, nil},
		{"late answer first", whole("old", "late") + whole("a", "body"), 200, "body", true, nil},
		{"only late answers", whole("old", "late") + whole("old", "late") + whole("old", "late"), 0, "", false, ErrSpoiled},
		{"no answer in the protocol", "what is this\r\n\r\n", 0, "", false, ErrSpoiled},
		{"closed after it", "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb", 200, "b", false, nil},
		{"broken off", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nbody", 0, "", false, ErrBroken},
		{"chunks broken off", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", 0, "", false, ErrBroken},
		{"refused without an identifier", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 503, "", true, nil},
		{"success without an identifier", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, "", false, ErrBroken},
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
		answer, usable, err := lease.Do(t.Context(), request("a"))
		if tt.err != nil {
			qt.Check(t, errors.Is(err, tt.err) || errors.Is(err, ErrBroken) || errors.Is(err, ErrSpoiled), qt.IsTrue, qt.Commentf("%s: %v", tt.about, err))
			qt.Check(t, answer.Status == 0 || err != nil, qt.IsTrue)
			continue
		}
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", tt.about))
		qt.Check(t, answer.Status, qt.Equals, tt.status, qt.Commentf("%s", tt.about))
		qt.Check(t, string(answer.Body), qt.Equals, tt.body, qt.Commentf("%s", tt.about))
		qt.Check(t, usable, qt.Equals, tt.usable, qt.Commentf("%s", tt.about))
	}
}

func TestUnsolicitedBytesEndAConnection(t *testing.T) {
	pool := serve(t, func(c net.Conn, n int, r *http.Request) {
		_, _ = io.WriteString(c, whole(r.URL.Query().Get("id"), "b"))
		if n == 0 {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(c, whole("again", "b"))
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		lease, err := pool.Take(t.Context(), 1000)
		qt.Assert(t, err, qt.IsNil)
		r := request(id)
		r.URI = "/?id=" + id
		answer, usable, err := lease.Do(t.Context(), r)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer.Remarks.RequestID), qt.Equals, id)
		if usable {
			lease.Release()
		}
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(t, pool.Dialed() >= 2, qt.IsTrue)
}

func TestTimeoutAndDial(t *testing.T) {
	pool := serve(t, func(net.Conn, int, *http.Request) {})
	lease, err := pool.Take(t.Context(), 1000)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, usable, err := lease.Do(ctx, request("a"))
	qt.Assert(t, errors.Is(err, ErrTimeout), qt.IsTrue)
	qt.Assert(t, usable, qt.IsFalse)
	_, err = NewPool("127.0.0.1:1", plainDialect{}).Take(t.Context(), 100)
	qt.Assert(t, errors.Is(err, ErrNotSent), qt.IsTrue)
}

// TestEarlyAnswer lets a server answer before it has read the body: what is
// left of the body must not be taken for another request.
func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, whole("a", "no"))
		time.Sleep(200 * time.Millisecond)
		_ = c.Close()
	}()
	pool := NewPool(l.Addr().String(), plainDialect{})
	lease, err := pool.Take(t.Context(), 1000)
	qt.Assert(t, err, qt.IsNil)
	r := request("a")
	r.Method, r.Body, r.HasBody = "POST", make([]byte, 32<<20), true
	answer, usable, err := lease.Do(t.Context(), r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Status, qt.Equals, 200)
	qt.Assert(t, usable, qt.IsFalse)
}

func TestKeepTime(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
	}{
		{"timeout=5, max=100", 5 * time.Second},
		{"max=100, timeout=0", 0},
		{"timeout=x", defaultKeep},
		{"", defaultKeep},
	}
	for _, tt := range tests {
		qt.Check(t, keepTime(http.Header{"Keep-Alive": {tt.text}}), qt.Equals, tt.want, qt.Commentf("%q", tt.text))
	}
}

func FuzzAnswers(f *testing.F) {
	f.Add([]byte(whole("a", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			_, _ = far.Write(data)
			_ = far.Close()
		}()
		c := &conn{Conn: near, reader: bufio.NewReader(near)}
		answer, _, err := c.read(request("a"), plainDialect{})
		if err == nil && answer.Succeeded() && answer.Remarks.RequestID != "a" {
			t.Fatalf("answer to %q passed on", answer.Remarks.RequestID)
		}
	})
}

// TestAnswersAboveTheBound reads answers at and above what is held of one.
func TestAnswersAboveTheBound(t *testing.T) {
	tests := []struct {
		about string
		size  int
		head  string
		err   error
	}{
		{"at the bound", maxAnswerBytes, "Content-Length: " + strconv.Itoa(maxAnswerBytes) + "\r\n", nil},
		{"above it", maxAnswerBytes + 1, "Content-Length: " + strconv.Itoa(maxAnswerBytes+1) + "\r\n", ErrSpoiled},
		{"above it, ends with its connection", maxAnswerBytes + 1, "Connection: close\r\n", ErrSpoiled},
	}
	for _, tt := range tests {
		pool := serve(t, func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n"+tt.head+"\r\n")
			_, _ = c.Write(make([]byte, tt.size))
			_ = c.Close()
		})
		lease, err := pool.Take(t.Context(), 1000)
		qt.Assert(t, err, qt.IsNil)
		answer, _, err := lease.Do(t.Context(), request("a"))
		if tt.err != nil {
			qt.Check(t, err, qt.ErrorIs, tt.err, qt.Commentf("%s", tt.about))
			continue
		}
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", tt.about))
		qt.Check(t, len(answer.Body), qt.Equals, tt.size, qt.Commentf("%s", tt.about))
	}
}
