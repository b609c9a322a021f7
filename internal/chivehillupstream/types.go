// Package chivehillupstream is an HTTP/1.1 client for upstream servers. It sends one
// request at a time on a connection and keeps idle connections for reuse.
package chivehillupstream

import (
	"errors"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillbody"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Percent is a value as a percentage of its usual value.
type Percent int

// UsualPace is the pace of a server that shares its machine with no other load.
const UsualPace Percent = 100

// RequestsPerSecond is a request rate.
type RequestsPerSecond float64

// Load is the load that a server reports.
type Load struct {
	Running int
	Waiting int
	Slots   chivehillid.Slots
	// Pace is how long requests run at the moment, in percent of the usual time.
	Pace Percent
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l Load) MarshalZerologObject(e *zerolog.Event) {
	e.Int("running", l.Running).Int("waiting", l.Waiting).Int("slots", int(l.Slots)).Int("pace", int(l.Pace))
}

// ResponseMetadata holds what a server reports about itself in the headers of a response.
type ResponseMetadata struct {
	RequestID chivehillid.RequestID
	// Signed is set if the response carries the server's signature.
	Signed bool
	// NotExecuted is set if the server reports that it did not run the request.
	NotExecuted bool
	// Misdirected is set if the address now belongs to another server.
	Misdirected bool
	Instance    chivehillid.ServerID
	// ColdRemaining is how much longer the server stays cold, that is, not warmed up.
	ColdRemaining chivehillclock.Millis
	Load          Load
	HasLoad       bool
	// RateLimit is how many requests a second the server accepts from all hosts together;
	// 0 if it states no limit.
	RateLimit RequestsPerSecond
	// Leaving is set if the server says that it leaves and must get no new requests.
	Leaving bool
	// Quiet is for how long the server wants nothing from this host; 0 if it does not say.
	Quiet chivehillclock.Millis
}

// HeaderParser parses the response headers that are meant for the gateway.
type HeaderParser interface {
	ParseResponse(status int, h http.Header) ResponseMetadata
}

// Request is an HTTP request to a server.
type Request struct {
	ID     chivehillid.RequestID
	Method string
	// URI is sent unchanged as the caller wrote it.
	URI    string
	Host   string
	Header http.Header
	Body   chivehillbody.Body
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool
}

// Response is a complete response of a server.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Metadata ResponseMetadata
}

// Succeeded reports whether the status code is 2xx.
func (r Response) Succeeded() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// Errors that classify why an exchange with a server failed.
var (
	// ErrNotSent means that no byte of the request reached the server.
	ErrNotSent = errors.New("request not sent")
	// ErrNoConnection means that as many connections to servers are open as are permitted.
	ErrNoConnection = errors.New("connections to servers are used up")
	// ErrConnectionLost means that the connection failed before the response was complete.
	ErrConnectionLost = errors.New("connection lost")
	// ErrInvalidResponse means that the server sent no valid response to the request.
	ErrInvalidResponse = errors.New("invalid response")
	// ErrTimeout means that the response did not come in time or the request was cancelled.
	ErrTimeout = errors.New("no response in time")
)
