package chivehillgateway

import (
	"net"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestServersStatusSaysThatARequestHasNotRun guards against a status of a server that promises
// callers that their request has not run, when the server itself does not say so.
func TestServersStatusSaysThatARequestHasNotRun(t *testing.T) {
	tests := []struct {
		status        int
		headers       string
		nonIdempotent bool
		want, sends   int
	}{
		{503, "Signed: 1\r\n", true, 502, 1},
		{503, "Signed: 1\r\nRetry-After: 1\r\n", true, 502, 1},
		{503, "", true, 502, 1},
		{429, "Signed: 1\r\n", true, 502, 1},
		{408, "Signed: 1\r\n", true, 502, 1},
		{421, "", true, 503, 2},
		{503, "Not-Executed: 1\r\n", true, 503, 2},
		{429, "Not-Executed: 1\r\n", true, 503, 2},
		{500, "Signed: 1\r\n", true, 500, 1},
		{504, "Signed: 1\r\n", true, 504, 1},
		{404, "Signed: 1\r\n", true, 404, 1},
		{409, "Signed: 1\r\n", true, 409, 1},
		{429, "Signed: 1\r\n", false, 429, 1},
		{408, "Signed: 1\r\n", false, 408, 1},
	}
	for _, tt := range tests {
		sends := make(chan struct{}, 9)
		server := func(s *scriptedServer, c net.Conn) {
			sends <- struct{}{}
			respond(tt.status, tt.headers)(s, c)
		}
		comment := qt.Commentf("%s %q, not idempotent: %t", strconv.Itoa(tt.status), tt.headers, tt.nonIdempotent)
		_, response := scenario{nonIdempotent: tt.nonIdempotent, servers: handlers{server, server}}.send(t)
		qt.Check(t, response.Status, qt.Equals, tt.want, comment)
		qt.Check(t, sends, qt.HasLen, tt.sends, comment)
		if tt.want != tt.status {
			qt.Check(t, response.Header.Get("Signed"), qt.Equals, "", comment)
		}
	}
}
