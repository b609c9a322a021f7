package chivehillresponsetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// StartServer starts a server that sends text in response to each request and then closes the
// connection. It returns its address.
func StartServer(t testing.TB, text string) string {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respond(c, text)
		}
	}()
	return l.Addr().String()
}

func respond(c net.Conn, text string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, text)
}
