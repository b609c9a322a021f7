package chivehilldispatch

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillresponse/chivehillresponsetest"
)

// longUpload is a body that the sockets of a connection on loopback don't hold.
const longUpload = 8 << 20

// post sends a request with a body of the given size, and reads all of its response.
func post(t *testing.T, d *Dispatcher, target Target, size int) (Attempt, error) {
	t.Helper()
	a := d.Send(t.Context(), Request{
		Method: "POST", Target: "/x", Header: http.Header{}, Body: make([]byte, size), BufferBytes: 64 << 10, Regions: chivehillregion.Everywhere(),
	}, target, chivehillclock.Second)
	if a.Response == nil {
		return a, a.Err
	}
	if a.Response.Rest == nil {
		return a, nil
	}
	_, err := io.Copy(io.Discard, a.Response.Rest)
	_ = a.Response.Rest.Close()
	return a, err
}

// TestResponseThatIsResetDuringAnUploadLooksComplete guards against a server that responds to an
// upload at once and resets the connection while the upload is still being written. Whether the
// write or the read learns of the reset is left to chance, so that each case is tried often. A
// whole response may get lost here: net/http gives it up once the upload has failed.
func TestResponseThatIsResetDuringAnUploadLooksComplete(t *testing.T) {
	const tries = 30
	for _, tt := range chivehillresponsetest.Endings {
		target := serve(t, func(c net.Conn) {
			_, _ = io.WriteString(c, tt.Text)
			tt.End(c)
		})
		d := New(chivehillclock.New(), func(string) {})
		t.Cleanup(d.Close)
		complete := 0
		for range tries {
			a, err := post(t, d, target, longUpload)
			if err == nil {
				complete++
				continue
			}
			qt.Check(t, a.Sent, qt.IsTrue, qt.Commentf("%s", tt.About))
			if a.Response == nil {
				qt.Check(t, a.Result, qt.Equals, chivehillbalance.Killed, qt.Commentf("%s: %v", tt.About, a.Err))
			}
		}
		if !tt.Whole {
			qt.Check(t, complete, qt.Equals, 0, qt.Commentf("%s: responses of %d that count as complete", tt.About, tries))
		}
	}
}

// TestReadSeesAnEndWhereTheWriteSawAReset guards against the same with the order fixed: the write
// learns of the reset, and the read comes after it.
func TestReadSeesAnEndWhereTheWriteSawAReset(t *testing.T) {
	for _, tt := range chivehillresponsetest.Endings {
		address := serve(t, func(c net.Conn) {
			_, _ = io.WriteString(c, tt.Text)
			tt.End(c)
		}).Address
		d := New(chivehillclock.New(), func(string) {})
		c, err := d.transport.DialContext(t.Context(), "tcp", address)
		qt.Assert(t, err, qt.IsNil)
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", longUpload)
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Write(make([]byte, longUpload))
		qt.Assert(t, err, qt.IsNotNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		qt.Check(t, err == nil, qt.Equals, tt.Whole, qt.Commentf("%s: %v", tt.About, err))
		_ = c.Close()
	}
}
