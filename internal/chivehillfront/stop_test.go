package chivehillfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
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
	h = &workHandler{}
	s, address := startServer(t, 1000, 1<<20, func(s *Server) { s.Handler = h })
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

// TestStopCutsOffRequestsBehindTheFirst guards against a connection that closes after the
// response to an earlier request, while later ones have been read and are at work.
func TestStopCutsOffRequestsBehindTheFirst(t *testing.T) {
	tests := []struct {
		about    string
		requests string
		// rest is sent once the server closes.
		rest string
		want []answer
	}{
		{"one", requestLine("GET", "/1/50"), "", []answer{{"/1/50", true}}},
		{"two at work", requestLine("GET", "/1/50") + requestLine("GET", "/2/150"), "", []answer{{"/1/50", false}, {"/2/150", true}}},
		{"the second is ready first", requestLine("GET", "/1/150") + requestLine("GET", "/2/1"), "", []answer{{"/1/150", false}, {"/2/1", true}}},
		{
			"three, the last waits for the others", requestLine("GET", "/1/50") + requestLine("GET", "/2/100") + requestLine("POST", "/3/50"), "",
			[]answer{{"/1/50", false}, {"/2/100", false}, {"/3/50", true}},
		},
		{
			"the second is half read", requestLine("GET", "/1/100") + "GET /2/50 HTTP/1.1\r\nHo", "st: h\r\n\r\n",
			[]answer{{"/1/100", false}, {"/2/50", true}},
		},
		{
			"sent after the stop: one more is read, the next is not", requestLine("GET", "/1/100"), requestLine("GET", "/2/100") + requestLine("GET", "/3/1"),
			[]answer{{"/1/100", false}, {"/2/100", true}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.about, func(t *testing.T) {
			t.Parallel()
			s, h, c := startWorkServer(t)
			_, err := io.WriteString(c, tt.requests)
			qt.Assert(t, err, qt.IsNil)
			waitUntil(t, "the first request is at work", func() bool { return h.count() > 0 })
			s.CloseAfterResponse()
			_, err = io.WriteString(c, tt.rest)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, readAnswers(c), qt.DeepEquals, tt.want)
			qt.Assert(t, h.count(), qt.Equals, len(tt.want))
		})
	}
}

// TestEndOfReadingCutsOffEarlierRequests guards against a connection that closes, for another
// reason than a stop, while requests that were read before are at work.
func TestEndOfReadingCutsOffEarlierRequests(t *testing.T) {
	tests := []struct {
		about string
		last  string
		want  []answer
	}{
		{"the last request closes the connection", "GET /3/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", []answer{{"/1/50", false}, {"/2/100", false}, {"/3/1", true}}},
		{"the last request is of HTTP/1.0", "GET /3/1 HTTP/1.0\r\nHost: h\r\n\r\n", []answer{{"/1/50", false}, {"/2/100", false}, {"/3/1", true}}},
		{"the last request is malformed", "nonsense\r\n\r\n", []answer{{"/1/50", false}, {"/2/100", false}, {"", true}}},
		{"the last request has a body above the limit", "POST /3/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", []answer{{"/1/50", false}, {"/2/100", false}, {"", true}}},
		{"the last request is not received in time", "POST /3/1 HT", []answer{{"/1/50", false}, {"/2/100", false}, {"", true}}},
	}
	for _, tt := range tests {
		t.Run(tt.about, func(t *testing.T) {
			t.Parallel()
			_, h, c := startWorkServer(t)
			_, err := io.WriteString(c, requestLine("GET", "/1/50")+requestLine("GET", "/2/100")+tt.last)
			qt.Assert(t, err, qt.IsNil)
			answers := readAnswers(c)
			qt.Assert(t, answers, qt.DeepEquals, tt.want)
			answered := slices.DeleteFunc(answers, func(a answer) bool { return a.Path == "" })
			qt.Assert(t, h.count(), qt.Equals, len(answered))
		})
	}
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

// TestStopLosesNoRequestThatBegan lets a server close at any moment of a pipeline: each
// request that it began is answered, in order, and only the last response closes.
func TestStopLosesNoRequestThatBegan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, h, c := startWorkServer(t)
		var text strings.Builder
		for i := range rapid.IntRange(1, 8).Draw(rt, "requests") {
			method := rapid.SampledFrom([]string{"GET", "GET", "GET", "POST"}).Draw(rt, "method")
			text.WriteString(requestLine(method, fmt.Sprintf("/%d/%d", i, rapid.IntRange(0, 8).Draw(rt, "work"))))
		}
		pause := time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "pause")) * time.Microsecond
		go func() {
			time.Sleep(pause)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if err := s.Shutdown(ctx); err != nil {
				t.Errorf("shutdown: %v", err)
			}
		}()
		_, _ = io.WriteString(c, text.String())
		answers := readAnswers(c)
		if len(answers) != h.count() {
			rt.Fatalf("%d requests began, %d were answered", h.count(), len(answers))
		}
		for i, a := range answers {
			if !strings.HasPrefix(a.Path, fmt.Sprintf("/%d/", i)) {
				rt.Fatalf("answer %d belongs to %s", i, a.Path)
			}
			if a.Closes && i < len(answers)-1 {
				rt.Fatalf("answer %d of %d closes the connection", i, len(answers))
			}
		}
	})
}

// TestConnectionIsClosedSoonAfterALongRequest guards against an idle timeout that runs while a
// request is at work, so that callers reuse a connection in the moment in which it closes.
func TestConnectionIsClosedSoonAfterALongRequest(t *testing.T) {
	const idle = 300 * chivehillclock.Millisecond
	_, address := startServer(t, 1000, 1<<20, func(s *Server) {
		s.Handler = &workHandler{}
		s.Limits = func() chivehillcatalog.Limits {
			return chivehillcatalog.Limits{HeaderBytes: 4 << 10, BodyBytes: 1000, HeaderTimeout: 300, IdleTimeout: idle}
		}
	})
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for range 3 {
		_, err := io.WriteString(c, requestLine("GET", "/1/250"))
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		time.Sleep((idle / 2).Duration())
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = reader.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)
}
