package chivehillresponsetest

import (
	"bufio"
	"crypto/sha1" //nolint:gosec // RFC 6455 asks for it
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Accept starts a server that calls handle for each connection, and returns its address.
func Accept(t testing.TB, handle func(net.Conn)) string {
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
			go handle(c)
		}
	}()
	return l.Addr().String()
}

// StartServer starts a server that sends text in response to each request and then closes the
// connection, with the value that accepts the request in place of AcceptKey. It returns its
// address.
func StartServer(t testing.TB, text string) string {
	t.Helper()
	return Accept(t, func(c net.Conn) { respond(c, text) })
}

// AcceptKey stands in a text for the value that accepts the WebSocket handshake of a request.
const AcceptKey = "{accept}"

// acceptSuffix is the constant of RFC 6455, 1.3.
const acceptSuffix = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

func respond(c net.Conn, text string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	digest := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + acceptSuffix)) //nolint:gosec // as above
	_, _ = io.WriteString(c, strings.ReplaceAll(text, AcceptKey, base64.StdEncoding.EncodeToString(digest[:])))
}
