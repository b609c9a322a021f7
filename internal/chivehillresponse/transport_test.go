package chivehillresponse

import (
	"net/http"
	"testing"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillresponse/chivehillresponsetest"
)

// TestBrokenHandshakeCounts guards against a peer whose response to a WebSocket handshake is
// broken.
func TestBrokenHandshakeCounts(t *testing.T) {
	const fields = "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: " + chivehillresponsetest.AcceptKey + "\r\n"
	tests := []struct {
		about  string
		head   string
		broken bool
	}{
		{"whole", "101 Switching Protocols\r\n" + fields, false},
		{"status 000", "000 Trouble\r\n" + fields, true},
		{"status 099", "099 Trouble\r\n" + fields, true},
		{"status 200", "200 OK\r\n" + fields, true},
		{"space in a field name", "101 Switching Protocols\r\nX Trouble: 1\r\n" + fields, true},
		{"space behind the name of the protocol", "101 Switching Protocols\r\n" + fields + "Sec-WebSocket-Extensions : permessage-deflate\r\n", true},
		{"control byte in a field name", "101 Switching Protocols\r\nX\x01Trouble: 1\r\n" + fields, true},
	}
	client := NewClient(&http.Transport{DisableKeepAlives: true})
	for _, tt := range tests {
		address := chivehillresponsetest.StartServer(t, "HTTP/1.1 "+tt.head+"\r\n")
		conn, _, err := websocket.Dial(t.Context(), "ws://"+address, &websocket.DialOptions{HTTPClient: client}) //nolint:bodyclose // the library closes it
		qt.Check(t, err != nil, qt.Equals, tt.broken, qt.Commentf("%s: %v", tt.about, err))
		if err == nil {
			_ = conn.CloseNow()
		}
	}
}
