package chivehillfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// workHandler works on each request for the milliseconds that its path names, and records
// which requests it began.
type workHandler struct {
	mu    sync.Mutex
	began []string
}

func (h *workHandler) Serve(ctx context.Context, r *Request) Response {
	h.mu.Lock()
	h.began = append(h.began, r.Path)
	h.mu.Unlock()
	var number int
	var work chivehillclock.Millis
	_, _ = fmt.Sscanf(r.Path, "/%d/%f", &number, &work)
	select {
	case <-time.After(work.Duration()):
	case <-ctx.Done():
	}
	return Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(r.Path)}
}

func (h *workHandler) Idempotent(r *Request) bool { return r.Method == http.MethodGet }

func (h *workHandler) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.began)
}

// startWorkServer serves callers with a workHandler until the test ends.
func startWorkServer(t *testing.T) (s *Server, h *workHandler, c net.Conn) {
	t.Helper()
	s, address := startServer(t, 1000, 1<<20)
	h = &workHandler{}
	s.Handler = h
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	return s, h, c
}

// answer is a response as the caller sees it.
type answer struct {
	Path   string
	Closes bool
}

// readAnswers reads responses until the connection ends.
func readAnswers(c net.Conn) []answer {
	reader := bufio.NewReader(c)
	var answers []answer
	for {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return answers
		}
		answers = append(answers, answer{Path: string(body), Closes: response.Close})
	}
}

func requestLine(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
}

// TestConnectionIsServedAfterShutdown guards against a connection that is accepted in the moment
// in which the listener closes: it would be cut off when the process ends.
func TestConnectionIsServedAfterShutdown(t *testing.T) {
	s, h, before := startWorkServer(t)
	_, err := io.WriteString(before, requestLine("GET", "/1/1"))
	qt.Assert(t, err, qt.IsNil)
	waitUntil(t, "the request is at work", func() bool { return h.count() > 0 })
	qt.Assert(t, s.Shutdown(t.Context()), qt.IsNil)
	after, err := net.Dial("tcp", before.RemoteAddr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = after.Close() }()
	_, _ = io.WriteString(after, requestLine("GET", "/2/1"))
	qt.Assert(t, readAnswers(after), qt.HasLen, 0)
	qt.Assert(t, h.count(), qt.Equals, 1)
}
