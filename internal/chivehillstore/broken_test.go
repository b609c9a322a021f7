package chivehillstore

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillresponse/chivehillresponsetest"
)

// TestBrokenResponseCounts guards against a response of the store whose status is none, or in
// whose head the name of a field is none.
func TestBrokenResponseCounts(t *testing.T) {
	const fields = "Connection: close\r\nObject-Version: 7\r\nContent-Length: 2\r\n"
	tests := []struct {
		about  string
		head   string
		broken bool
	}{
		{"whole", "200 OK\r\n" + fields, false},
		{"status 000", "000 Trouble\r\n" + fields, true},
		{"status 099", "099 Trouble\r\n" + fields, true},
		{"status 101", "101 Switching Protocols\r\n" + fields, true},
		{"space in a field name", "200 OK\r\nX Trouble: 1\r\n" + fields, true},
		{"space behind the name of the length", "200 OK\r\n" + strings.Replace(fields, "Length:", "Length :", 1), true},
		{"space behind the name of the version", "200 OK\r\n" + strings.Replace(fields, "Version:", "Version :", 1), true},
		{"control byte in a field name", "200 OK\r\nX\x01Trouble: 1\r\n" + fields, true},
		{"space in a field name of a refusal", "412 Precondition Failed\r\nX Trouble: 1\r\n" + fields, true},
	}
	for _, tt := range tests {
		client := NewClient(chivehillresponsetest.StartServer(t, "HTTP/1.1 "+tt.head+"\r\n{}"))
		_, err := client.Get(t.Context(), "o")
		qt.Check(t, err != nil, qt.Equals, tt.broken, qt.Commentf("get, %s", tt.about))
		_, err = client.Watch(t.Context(), "o", 0, 1)
		qt.Check(t, err != nil, qt.Equals, tt.broken, qt.Commentf("watch, %s", tt.about))
		err = client.Put(t.Context(), "o", []byte("{}"), 0)
		if tt.broken {
			qt.Check(t, err, qt.ErrorIs, ErrUncertain, qt.Commentf("put, %s", tt.about))
		} else {
			qt.Check(t, err, qt.IsNil, qt.Commentf("put, %s", tt.about))
		}
	}
}
