package chivehillcodec

import (
	"testing"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivehill/chivehill/internal/chivehillresponse/chivehillresponsetest"
)

// TestMessageThatStopsEarlyCounts guards against a peer's message that stops at any byte, in the
// handshake or in the message.
func TestMessageThatStopsEarlyCounts(t *testing.T) {
	type message struct{ Text string }
	data, err := cbor.Marshal(message{Text: "whole"})
	qt.Assert(t, err, qt.IsNil)
	const finalBinary = 0x82
	text := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: " + chivehillresponsetest.AcceptKey + "\r\n\r\n" +
		string([]byte{finalBinary, byte(len(data))}) + string(data)
	for end := range len(text) + 1 {
		address := chivehillresponsetest.StartServer(t, text[:end])
		conn, _, err := websocket.Dial(t.Context(), "ws://"+address, nil) //nolint:bodyclose // the library closes it
		var got message
		if err == nil {
			got, err = Read[message](t.Context(), conn)
			_ = conn.CloseNow()
		}
		qt.Check(t, err == nil, qt.Equals, end == len(text), qt.Commentf("%d of %d bytes: %+v", end, len(text), got))
	}
}
