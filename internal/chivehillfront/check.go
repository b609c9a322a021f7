package chivehillfront

import (
	"fmt"
	"net/http"
)

const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"

// byteSet holds true for each byte of a set.
type byteSet [256]bool

var (
	// nameBytes are the bytes of which names of header fields consist (RFC 9110, 5.6.2).
	nameBytes = newByteSet("!#$%&'*+-.^_`|~" + letters)
	// hostBytes are the bytes of which a host with its port consists (RFC 3986, 3.2.2).
	hostBytes = newByteSet("!$%&'()*+,-.:;=[]_~" + letters)
)

func newByteSet(members string) *byteSet {
	var s byteSet
	for i := range len(members) {
		s[members[i]] = true
	}
	return &s
}

// checkHead checks what http.ReadRequest lets pass and net/http's own server refuses. A field
// whose name ends with a space would be forwarded as it is, and a server could read it as
// another field.
func checkHead(r *http.Request) error {
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return fmt.Errorf("%w: no host", errMalformed)
	}
	if !consistsOf(r.Host, hostBytes) {
		return fmt.Errorf("%w: host of odd bytes", errMalformed)
	}
	for name := range r.Header {
		if !consistsOf(name, nameBytes) {
			return fmt.Errorf("%w: header field name of odd bytes", errMalformed)
		}
	}
	return nil
}

// consistsOf reports whether all bytes of text are in allowed.
func consistsOf(text string, allowed *byteSet) bool {
	for i := range len(text) {
		if !allowed[text[i]] {
			return false
		}
	}
	return true
}
