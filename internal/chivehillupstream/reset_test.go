package chivehillupstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillbody"
	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillresponse/chivehillresponsetest"
)

// longUpload is a body that the sockets of a connection on loopback don't hold.
const longUpload = 8 << 20

// serveConns starts a server that calls handle for each connection, and returns a pool of
// connections to it.
func serveConns(t *testing.T, handle func(c net.Conn)) *Pool {
	t.Helper()
	return NewPool(chivehillresponsetest.Accept(t, handle), idParser{}, chivehillbudget.NewMemory(2*maxResponseBytes))
}

// TestResponseWithoutABodyCountsAsCutOff guards against a response that has no body, and no length
// either, being taken for one whose body was cut off.
func TestResponseWithoutABodyCountsAsCutOff(t *testing.T) {
	proceed, ended := make(chan struct{}), make(chan struct{})
	pool := serveConns(t, func(c net.Conn) {
		defer close(ended)
		<-proceed
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n")
		chivehillresponsetest.Reset(c)
	})
	lease, err := pool.Take(t.Context(), 1000)
	qt.Assert(t, err, qt.IsNil)
	close(proceed)
	<-ended
	r := request("a")
	r.Method = http.MethodHead
	_, usable, err := lease.Do(t.Context(), r)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, usable, qt.IsFalse)
}

// upload returns a request with a body of the given size, or with none if that is 0.
func upload(size int) *Request {
	r := request("a")
	if size > 0 {
		r.Method, r.Body, r.HasBody = "POST", chivehillbody.Of(make([]byte, size)), true
	}
	return r
}

// TestResponseThatIsResetDuringAnUploadLooksComplete guards against a server that responds to an
// upload at once and resets the connection while the upload is still being written. Whether the
// write or the read learns of the reset is left to chance, so that each case is tried often.
func TestResponseThatIsResetDuringAnUploadLooksComplete(t *testing.T) {
	const tries = 30
	for _, tt := range chivehillresponsetest.Endings {
		pool := serveConns(t, func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, tt.Text)
			tt.End(c)
		})
		complete := 0
		for range tries {
			lease, err := pool.Take(t.Context(), 1000)
			qt.Assert(t, err, qt.IsNil)
			response, usable, err := lease.Do(t.Context(), upload(longUpload))
			qt.Check(t, usable, qt.IsFalse, qt.Commentf("%s", tt.About))
			if err == nil {
				complete++
				continue
			}
			qt.Check(t, err, qt.ErrorIs, ErrConnectionLost, qt.Commentf("%s", tt.About))
			qt.Check(t, response.Status, qt.Equals, 0, qt.Commentf("%s", tt.About))
		}
		want := 0
		if tt.Whole {
			want = tries
		}
		qt.Check(t, complete, qt.Equals, want, qt.Commentf("%s: responses of %d that count as complete", tt.About, tries))
	}
}

// TestResponseThatIsResetBeforeTheRequestLooksComplete guards against a server that resets the
// connection behind a response before the request is written. It is then always the write of a
// short request that learns of the reset; a long one is written beside the read. The connection
// is new, or has carried another request.
func TestResponseThatIsResetBeforeTheRequestLooksComplete(t *testing.T) {
	for _, tt := range chivehillresponsetest.Endings {
		for _, size := range []int{0, 48 << 10, longUpload} {
			for _, kept := range []bool{false, true} {
				about := qt.Commentf("%s, upload of %d bytes, kept connection %v", tt.About, size, kept)
				proceed, ended := make(chan struct{}), make(chan struct{})
				pool := serveConns(t, func(c net.Conn) {
					defer close(ended)
					if kept {
						if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
							return
						}
						_, _ = io.WriteString(c, completeResponse("first", "body"))
					}
					<-proceed
					_, _ = io.WriteString(c, tt.Text)
					tt.End(c)
				})
				lease, err := pool.Take(t.Context(), 1000)
				qt.Assert(t, err, qt.IsNil)
				if kept {
					_, usable, err := lease.Do(t.Context(), request("first"))
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, usable, qt.IsTrue)
				}
				close(proceed)
				<-ended
				_, usable, err := lease.Do(t.Context(), upload(size))
				qt.Check(t, usable, qt.IsFalse, about)
				if tt.Whole {
					qt.Check(t, err, qt.IsNil, about)
					continue
				}
				qt.Check(t, err, qt.ErrorIs, ErrConnectionLost, about)
			}
		}
	}
}
