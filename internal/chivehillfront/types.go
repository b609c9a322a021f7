// Package chivehillfront serves callers over HTTP/1.1: it reads requests,
// runs those of one connection side by side where that is safe, and returns
// the answers in the order of the requests.
package chivehillfront

import (
	"context"
	"net/http"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// Request is a whole request of a caller.
type Request struct {
	Method string
	// URI is the target as the caller sent it.
	URI  string
	Path string
	Host string
	// Header holds no fields that concern the connection.
	Header  http.Header
	Body    []byte
	HasBody bool
	// Arrived is when the request was read to its end.
	Arrived chivehillclock.Millis
	Peer    string
}

// Response is a whole answer to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler answers requests. The context ends when the caller has left.
type Handler interface {
	// Serve answers one request. It does not keep the request.
	Serve(ctx context.Context, r *Request) Response
	// Idempotent reports whether a request may run beside earlier ones of its
	// connection.
	Idempotent(r *Request) bool
}

// Limits returns the bounds in force.
type Limits func() chivehillcatalog.Limits
