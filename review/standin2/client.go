//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// sent is a request of a consumer and what became of it.
type sent struct {
	id string
	// status is 0 if no whole answer came.
	status int
	err    error
	body   string
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// send sends a request on a new channel and waits for the answer. If leaveAfter is positive, the
// consumer closes the channel that long after it has sent the request.
func (d *deployment) send(h *host, method, path, body string, deadline, leaveAfter time.Duration) sent {
	id := newID()
	c, err := net.DialTimeout("tcp", h.caller, time.Second)
	if err != nil {
		return sent{id: id, err: err}
	}
	defer func() { _ = c.Close() }()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Chivehill-Request-Id: %s\r\nX-Chivehill-Request-Deadline: %d\r\n", method, path, hostname, id, deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return sent{id: id, err: err}
	}
	wait := deadline
	if leaveAfter > 0 {
		wait = leaveAfter
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return sent{id: id, err: err}
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return sent{id: id, err: err}
	}
	return sent{id: id, status: resp.StatusCode, body: string(data)}
}
