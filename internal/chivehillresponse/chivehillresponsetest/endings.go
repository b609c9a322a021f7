// Package chivehillresponsetest holds the responses with which tests of all readers of
// responses check that broken ones are told from whole ones.
package chivehillresponsetest

import (
	"net"
	"strings"
)

// Ending is a response, in wire format, and how its connection ends.
type Ending struct {
	About string
	Text  string
	End   func(net.Conn)
	// Whole is set if the response is complete.
	Whole bool
}

// Endings are responses to request "a" whose connections are reset.
var Endings = []Ending{
	{"body without a length, reset", "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart", Reset, false},
	{"empty body without a length, reset", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", Reset, false},
	{"long body without a length, reset", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + strings.Repeat("part", 1<<15), Reset, false},
	{"body of HTTP/1.0, reset", "HTTP/1.0 200 OK\r\nId: a\r\n\r\npart", Reset, false},
	{"failure without a length, reset", "HTTP/1.1 500 Failed\r\nId: a\r\n\r\npart", Reset, false},
	{"part of a body with a length, reset", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\npart", Reset, false},
	{"part of a body in chunks, reset", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", Reset, false},
	{"part of a head, reset", "HTTP/1.1 200 OK\r\nId: a\r\n", Reset, false},
	{"body with a length, reset", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody", Reset, true},
	{"body in chunks, reset", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", Reset, true},
	{"no body, reset", "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n", Reset, true},
	{"body without a length, end, reset", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody", endThenReset, true},
}

// Reset ends a connection with a reset, behind what was written to it.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// endThenReset ends a connection, and resets it then.
func endThenReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	Reset(c)
}
