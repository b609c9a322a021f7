package chivehillnode

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillresponse/chivehillresponsetest"
	"github.com/chivehill/chivehill/internal/chivehillwake"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// TestBrokenHostListCounts guards against a host list whose response is broken.
func TestBrokenHostListCounts(t *testing.T) {
	const list = `[{"host":"b","incarnation":"i"}]`
	tests := []struct {
		about  string
		text   string
		broken bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\n\r\n" + list, false},
		{"status 000", "HTTP/1.1 000 Trouble\r\n\r\n" + list, true},
		{"status 099", "HTTP/1.1 099 Trouble\r\n\r\n" + list, true},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + list, true},
		{"space in a field name", "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n\r\n" + list, true},
		{"control byte in a field name", "HTTP/1.1 200 OK\r\nX\x01Trouble: 1\r\n\r\n" + list, true},
		{"part of a list", "HTTP/1.1 200 OK\r\n\r\n" + list[:len(list)-1], true},
		{"part of a head", "HTTP/1.1 200 OK\r\n", true},
	}
	for _, tt := range tests {
		n := &Node{settings: chivehillwire.Settings{HostListAddress: chivehillresponsetest.StartServer(t, tt.text)}, reconfigure: chivehillwake.New()}
		err := n.fetchHostList(t.Context())
		qt.Check(t, err != nil, qt.Equals, tt.broken, qt.Commentf("%s: %v", tt.about, err))
		qt.Check(t, len(n.seeds) == 0, qt.Equals, tt.broken, qt.Commentf("%s", tt.about))
	}
}
