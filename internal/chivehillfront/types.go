// Package chivehillfront serves callers over HTTP/1.1. It reads pipelined
// requests, runs those of one connection concurrently where that is safe, and
// writes the responses in request order.
package chivehillfront

import (
	"context"
	"net/http"

	"github.com/chivehill/chivehill/internal/chivehillbody"
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// Request is a complete request from a caller.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI string
	// Path is the path within URI, not decoded.
	Path string
	// Host is the authority of URI or, if it has none, the Host field.
	Host string
	// Header holds the end-to-end fields; hop-by-hop fields are removed.
	Header http.Header
	// Credentials holds the values of the Authorization field as the caller sent them, also
	// if the Connection field names it.
	Credentials []string
	Body        chivehillbody.Body
	HasBody     bool
	// Arrived is the time at which the request had been read completely.
	Arrived    chivehillclock.Millis
	RemoteAddr string
}

// Response is a complete response to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler serves requests. The context is cancelled when the caller disconnects.
type Handler interface {
	// Serve responds to one request. It does not retain the request.
	Serve(ctx context.Context, r *Request) Response
	// Idempotent reports whether a request may run concurrently with earlier
	// requests of its connection.
	Idempotent(r *Request) bool
}

// Limits returns the limits in force.
type Limits func() chivehillcatalog.Limits
