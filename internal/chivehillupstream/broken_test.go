package chivehillupstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// exchangeTimeout only ends an exchange that would fail.
const exchangeTimeout = 2 * time.Second

// exchangeWith sends a request to a server that sends text and keeps the connection open, and
// returns its response. On a kept connection another request was served before.
func exchangeWith(t *testing.T, r *Request, text string, kept bool) (Response, error) {
	t.Helper()
	pool := serve(t, func(c net.Conn, n int, _ *http.Request) {
		if kept && n == 0 {
			_, _ = io.WriteString(c, completeResponse("first", "body"))
			return
		}
		_, _ = io.WriteString(c, text)
	})
	lease, err := pool.Take(t.Context(), 1000)
	qt.Assert(t, err, qt.IsNil)
	defer lease.Drop()
	if kept {
		_, _, err := lease.Do(t.Context(), request("first"))
		qt.Assert(t, err, qt.IsNil)
	}
	ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
	defer cancel()
	response, _, err := lease.Do(ctx, r)
	return response, err
}

// brokenResponse is a response to request "a", in wire format, that is none although it could be
// taken for one.
type brokenResponse struct {
	about string
	text  string
}

// checkBroken checks that responses to requests and to health checks, on new connections and on
// kept ones, are found to be broken at once.
func checkBroken(t *testing.T, responses []brokenResponse) {
	t.Helper()
	for _, tt := range responses {
		for _, kept := range []bool{false, true} {
			response, err := exchangeWith(t, request("a"), tt.text, kept)
			qt.Check(t, err, qt.ErrorIs, ErrInvalidResponse, qt.Commentf("%s, kept connection %v: status %d, body %q", tt.about, kept, response.Status, response.Body))
			// A health check has no identifier.
			response, err = exchangeWith(t, request(""), strings.ReplaceAll(tt.text, "Id: a\r\n", ""), kept)
			qt.Check(t, err, qt.ErrorIs, ErrInvalidResponse, qt.Commentf("health check, %s, kept connection %v: status %d, body %q", tt.about, kept, response.Status, response.Body))
		}
	}
}

// TestResponseWithoutAValidStatusCountsAsInterim guards against a response whose status is none:
// it was skipped like an interim one, the caller waited until its deadline, or got what followed.
func TestResponseWithoutAValidStatusCountsAsInterim(t *testing.T) {
	const rest = " Trouble\r\nId: a\r\nContent-Length: 4\r\n\r\nbody"
	var responses []brokenResponse
	for _, status := range []string{"000", "001", "020", "099", "+20", "-00", "101"} {
		responses = append(responses,
			brokenResponse{"status " + status, "HTTP/1.1 " + status + rest},
			brokenResponse{"status " + status + " before a response", "HTTP/1.1 " + status + " Trouble\r\n\r\n" + completeResponse("a", "body")},
			brokenResponse{"status " + status + " behind an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + rest},
			brokenResponse{"status " + status + " without a length", "HTTP/1.1 " + status + " Trouble\r\nId: a\r\n\r\nbody"},
		)
	}
	checkBroken(t, responses)
}

// TestResponsesWithValidStatusesPass checks that what is not broken still passes, a status that
// HTTP does not define among it.
func TestResponsesWithValidStatusesPass(t *testing.T) {
	tests := []struct {
		about  string
		before string
		line   string
		status int
	}{
		{"interim responses first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "200 OK", 200},
		{"no reason", "", "200 ", 200},
		{"redirection", "", "301 Moved", 301},
		{"failure", "", "599 Trouble", 599},
		{"undefined status", "", "600 Trouble", 600},
		{"highest status", "", "999 Trouble", 999},
	}
	for _, tt := range tests {
		for _, kept := range []bool{false, true} {
			response, err := exchangeWith(t, request("a"), tt.before+"HTTP/1.1 "+tt.line+"\r\nId: a\r\nContent-Length: 4\r\n\r\nbody", kept)
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s", tt.about))
			qt.Check(t, response.Status, qt.Equals, tt.status, qt.Commentf("%s", tt.about))
			qt.Check(t, string(response.Body), qt.Equals, "body", qt.Commentf("%s", tt.about))
		}
	}
}

// TestFieldNameThatIsNoTokenPasses guards against a head in which the name of a field holds a
// byte that no name may hold: the line was passed on, or framed the body otherwise than another
// reader would.
func TestFieldNameThatIsNoTokenPasses(t *testing.T) {
	var responses []brokenResponse
	for _, name := range []string{"X Y", "X ", "X Y Z", "Content-Length ", "Transfer-Encoding ", "Id ", "X\tY", "X\t", "X\x00Y", "\x01X", "X\x1b", "X\x7f", "X\rY", "X\x80", "X(Y", "X\"", ""} {
		for _, value := range []string{"4", "chunked"} {
			line := name + ": " + value + "\r\n"
			responses = append(responses,
				brokenResponse{fmt.Sprintf("%q before the length", line), "HTTP/1.1 200 OK\r\n" + line + "Id: a\r\nContent-Length: 4\r\n\r\nbody"},
				brokenResponse{fmt.Sprintf("%q behind the length", line), "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n" + line + "\r\nbody"},
				brokenResponse{fmt.Sprintf("%q in place of the length", line), "HTTP/1.1 200 OK\r\nId: a\r\n" + line + "\r\nbody"},
				brokenResponse{fmt.Sprintf("%q in a failure", line), "HTTP/1.1 500 Failed\r\nId: a\r\n" + line + "Content-Length: 4\r\n\r\nbody"},
				brokenResponse{fmt.Sprintf("%q in an interim response", line), "HTTP/1.1 100 Continue\r\n" + line + "\r\n" + completeResponse("a", "body")},
				brokenResponse{fmt.Sprintf("%q with chunks", line), "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n" + line + "\r\n4\r\nbody\r\n0\r\n\r\n"},
			)
		}
	}
	checkBroken(t, responses)
}

// TestTrailersPass checks that nothing of a trailer is passed on, and that one that cannot be read
// makes the response broken.
func TestTrailersPass(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	tests := []struct {
		trailer string
		whole   bool
	}{
		{"X: 1\r\n", true},
		{"X Y: 1\r\n", true},
		{"Content-Length : 2\r\n", true},
		{"X\x01Y: 1\r\n", false},
		{"X\tY: 1\r\n", false},
	}
	for _, tt := range tests {
		response, err := exchangeWith(t, request("a"), head+tt.trailer+"\r\n", false)
		qt.Check(t, err == nil, qt.Equals, tt.whole, qt.Commentf("%q: %v", tt.trailer, err))
		if err == nil {
			qt.Check(t, string(response.Body), qt.Equals, "body", qt.Commentf("%q", tt.trailer))
			qt.Check(t, response.Header, qt.DeepEquals, http.Header{"Id": {"a"}}, qt.Commentf("%q", tt.trailer))
		}
	}
}
