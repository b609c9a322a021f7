// Package chivehillupstream carries requests to servers and brings back their
// answers: one request at a time on a connection, connections kept for reuse.
package chivehillupstream

import (
	"errors"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Percent is a share of the usual, 100 being as usual.
type Percent int

// UsualPace is the pace of a server whose machine it has to itself.
const UsualPace Percent = 100

// Load is what a server says of its load.
type Load struct {
	Running int
	Waiting int
	Slots   chivehillid.Slots
	// Pace is how long work takes at this moment, in percent of the usual.
	Pace Percent
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l Load) MarshalZerologObject(e *zerolog.Event) {
	e.Int("running", l.Running).Int("waiting", l.Waiting).Int("slots", int(l.Slots)).Int("pace", int(l.Pace))
}

// Remarks are what a server says beside its answer.
type Remarks struct {
	RequestID chivehillid.RequestID
	// Signed is set if the answer bears the server's signature.
	Signed bool
	// NotExecuted is set if the server says that it did not run the request.
	NotExecuted bool
	// Misdirected is set if another server has the address.
	Misdirected bool
	Instance    chivehillid.ServerID
	// ColdLeft is how much longer the server is cold.
	ColdLeft chivehillclock.Millis
	Load     Load
	HasLoad  bool
}

// Dialect reads and writes the headers that concern the load balancer.
type Dialect interface {
	Answer(status int, h http.Header) Remarks
}

// Request is a request as it is sent to a server.
type Request struct {
	ID     chivehillid.RequestID
	Method string
	// URI is sent as it came from the caller.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool
}

// Answer is a whole answer of a server.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Remarks Remarks
}

// Succeeded reports whether the server answered with success.
func (a Answer) Succeeded() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
}

// Kinds of failures of an exchange with a server.
var (
	// ErrNotSent means that no byte of the request reached the server.
	ErrNotSent = errors.New("not sent")
	// ErrBroken means that the connection broke before the answer was whole.
	ErrBroken = errors.New("connection broke")
	// ErrSpoiled means that the server sent what is no answer to the request.
	ErrSpoiled = errors.New("spoiled answer")
	// ErrTimeout means that the time for the answer ran out, or the request was given up.
	ErrTimeout = errors.New("no answer in time")
)
