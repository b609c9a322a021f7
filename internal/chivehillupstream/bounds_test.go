package chivehillupstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
)

// socketBytes is more than the sockets of one connection on loopback hold.
const socketBytes = 16 << 20

func TestBytesWithoutEndAreReadUntilTheDeadline(t *testing.T) {
	const memory = 4 << 20
	okHead := "HTTP/1.1 200 OK\r\nId: a\r\n"
	tests := []struct {
		name string
		head string
		// repeated is sent again and again until the connection is closed.
		repeated string
		limit    int64
	}{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("O", 1<<10), maxHeadBytes},
		{"header line", okHead + "X: ", strings.Repeat("x", 1<<10), maxHeadBytes},
		{"header lines", okHead, strings.Repeat("X-More: more\r\n", 64), maxHeadBytes},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", maxHeadBytes},
		{"body of chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", memory},
		{"chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<10), maxHeadBytes},
		{"trailer", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-More: more\r\n", 64), maxHeadBytes},
		{"body that ends with its connection", okHead + "Connection: close\r\n\r\n", strings.Repeat("x", 1<<10), memory},
	}
	for _, tt := range tests {
		var sent atomic.Int64
		closed := make(chan struct{})
		pool := serve(t, func(c net.Conn, _ int, _ *http.Request) {
			defer close(closed)
			_, _ = io.WriteString(c, tt.head)
			for {
				n, err := io.WriteString(c, tt.repeated)
				sent.Add(int64(n))
				if err != nil {
					_ = c.Close()
					return
				}
			}
		})
		pool.memory = chivehillbudget.NewMemory(memory)
		lease, err := pool.Take(t.Context(), 1000)
		qt.Assert(t, err, qt.IsNil)
		_, usable, err := lease.Do(t.Context(), request("a"))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", tt.name))
		qt.Check(t, usable, qt.IsFalse, qt.Commentf("%s", tt.name))
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: connection still open", tt.name)
		}
		qt.Check(t, sent.Load() < tt.limit+socketBytes, qt.IsTrue, qt.Commentf("%s: %d bytes were read or buffered", tt.name, sent.Load()))
		qt.Check(t, pool.memory.Used(), qt.Equals, int64(0), qt.Commentf("%s", tt.name))
	}
}

func TestUsualResponsesPassWhileBodiesWithoutEndUseUpTheMemory(t *testing.T) {
	pool := serve(t, func(c net.Conn, _ int, _ *http.Request) { _, _ = io.WriteString(c, completeResponse("a", "body")) })
	pool.memory = chivehillbudget.NewMemory(1 << 20)
	qt.Assert(t, pool.memory.Reserve(1<<20), qt.IsTrue)
	lease, err := pool.Take(t.Context(), 1000)
	qt.Assert(t, err, qt.IsNil)
	response, _, err := lease.Do(t.Context(), request("a"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(response.Body), qt.Equals, "body")
}

func TestLongBodyThatIsCutOffLooksComplete(t *testing.T) {
	for _, size := range []int{freeBodyBytes - 1, freeBodyBytes, freeBodyBytes + 1, 2 * freeBodyBytes, 3*freeBodyBytes + 7} {
		_, err := readBody(io.MultiReader(strings.NewReader(strings.Repeat("x", size)), cutOff{}), chivehillbudget.NewMemory(maxResponseBytes))
		qt.Check(t, err, qt.ErrorIs, io.ErrUnexpectedEOF, qt.Commentf("%d bytes", size))
		body, err := readBody(strings.NewReader(strings.Repeat("x", size)), chivehillbudget.NewMemory(maxResponseBytes))
		qt.Check(t, err, qt.IsNil, qt.Commentf("%d bytes", size))
		qt.Check(t, body, qt.HasLen, size, qt.Commentf("%d bytes", size))
	}
}

// cutOff fails like a body whose connection ended early.
type cutOff struct{}

func (cutOff) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
