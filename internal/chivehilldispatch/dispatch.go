// Package chivehilldispatch sends requests to servers over HTTP and classifies the
// results.
package chivehilldispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillheader"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillinvariant"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillresponse"
)

const (
	// maxDiscardBytes bounds how much of an unused response body is read. The
	// connection can be reused if the body is read to its end.
	maxDiscardBytes = 64 << 10
	// idleTimeout is below the usual keep-alive timeout of servers, so that a server
	// rarely closes an idle connection while a request is being written to it.
	idleTimeout = 15 * time.Second
	dialTimeout = time.Second
	// maxConnections bounds the connections to one server. The slots of the server
	// bound how many of them are in use.
	maxConnections = 200
	// maxIdleConnections bounds the idle connections to one server. It is the share of
	// one host if 14 hosts divide the 220 connections of a server equally.
	maxIdleConnections = 15
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// readBufferBytes and writeBufferBytes are the sizes of the buffers of a connection.
	readBufferBytes  = 8 << 10
	writeBufferBytes = 8 << 10
)

// Request is a request to a server, with its whole body in memory.
type Request struct {
	Method string
	// Target is the request target, the path with the query, as it was received.
	Target string
	Header http.Header
	Body   []byte
	// BufferBytes is the largest response body that is read to its end before Send
	// returns. Longer ones are streamed.
	BufferBytes int64
	// Regions is the set of regions to which the request may be sent.
	Regions chivehillregion.Set
}

// Target is the server to which a request is sent.
type Target struct {
	Name    string
	Address string
	Region  chivehillid.RegionID
}

// Response is the response of a server.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its first part if Rest is set.
	Body []byte
	// Rest is the remaining body, or nil if Body is the whole body. It must be closed.
	Rest io.ReadCloser
}

// Attempt is the result of sending a request once.
type Attempt struct {
	// Response is nil if no usable response was received.
	Response *Response
	Result   chivehillbalance.Result
	// Sent is set if any byte of the request may have reached the server.
	Sent bool
	// ServerNotRun is set if the server reported that it rejected the request before
	// it started it.
	ServerNotRun bool
	// Cold is set if the server reported a cold start.
	Cold bool
	// Took is the time until Response was available or the attempt failed.
	Took chivehillclock.Millis
	Err  error
}

// Dispatcher sends requests to servers. It is safe for concurrent use.
type Dispatcher struct {
	clock     *chivehillclock.Clock
	transport chivehillresponse.Transport
}

// New returns a dispatcher. disconnected is called with the address of a server
// that closed a connection or whose connection failed.
func New(clock *chivehillclock.Clock, disconnected func(address string)) *Dispatcher {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn, onDisconnect: func() { disconnected(address) }}, nil
	}
	return &Dispatcher{
		clock: clock,
		transport: chivehillresponse.Transport{Transport: &http.Transport{
			DialContext: dial, MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout: idleTimeout, DisableCompression: true, ReadBufferSize: readBufferBytes, WriteBufferSize: writeBufferBytes, MaxResponseHeaderBytes: maxHeadBytes,
		}},
	}
}

// Close closes the idle connections.
func (d *Dispatcher) Close() {
	d.transport.CloseIdleConnections()
}

// nonRewindableBody is a request body that the transport can't rewind, so that it
// never retries a request by itself.
type nonRewindableBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

// Send sends a request once, without retries. left is the time left until the
// deadline, which is sent to the server.
func (d *Dispatcher) Send(ctx context.Context, r Request, t Target, left chivehillclock.Millis) Attempt {
	chivehillinvariant.Assert(r.Regions.Allows(t.Region), chivehillinvariant.HomeRegion, "request is sent to %s in region %s, which its region rules forbid", t.Name, t.Region)
	start := d.clock.Now()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+t.Address+r.Target, nonRewindableBody{bytes.NewReader(r.Body)})
	if err != nil {
		return Attempt{Result: chivehillbalance.Unused, Err: fmt.Errorf("create request to %s: %w", t.Name, err)}
	}
	req.ContentLength = int64(len(r.Body))
	chivehillheader.CopyEndToEnd(req.Header, r.Header)
	req.Header.Set(chivehillheader.DeadlineMs, strconv.Itoa(max(1, int(left))))
	if r.Header.Get(chivehillheader.Forwarded) != "" {
		req.Header.Set(chivehillheader.Forwarded, r.Header.Get(chivehillheader.Forwarded))
	}
	if _, found := req.Header["User-Agent"]; !found {
		req.Header.Set("User-Agent", "")
	}
	resp, err := d.transport.RoundTrip(req)
	if err != nil {
		a := d.classifyError(ctx, err, sent.Load())
		a.Took = d.clock.Now() - start
		a.Err = fmt.Errorf("send to %s: %w", t.Name, err)
		return a
	}
	a := d.readResponse(ctx, resp, r.BufferBytes)
	a.Took = d.clock.Now() - start
	if a.Err != nil {
		a.Err = fmt.Errorf("read response from %s: %w", t.Name, a.Err)
	}
	return a
}

// classifyError returns the attempt for an error that occurred before the response
// was complete. A passed deadline or a timeout after sending counts as Silent.
func (d *Dispatcher) classifyError(ctx context.Context, err error, sent bool) Attempt {
	a := Attempt{Sent: sent}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a.Result = chivehillbalance.Silent
	case ctx.Err() != nil:
		a.Result = chivehillbalance.Cancelled
	case sent && isTimeout(err):
		a.Result = chivehillbalance.Silent
	default:
		a.Result = chivehillbalance.Killed
	}
	return a
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readResponse classifies a response by its status and header and reads its body.
// A body of at most buffer bytes is read to its end.
func (d *Dispatcher) readResponse(ctx context.Context, resp *http.Response, buffer int64) Attempt {
	a := Attempt{Sent: true, Result: chivehillbalance.Good}
	state := resp.Header.Get(chivehillheader.ServerState)
	a.Cold = state == chivehillheader.StateCold
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(chivehillheader.NotRun) == "true" {
		a.ServerNotRun = true
		a.Result = chivehillbalance.Shed
		if state == chivehillheader.StateDraining {
			a.Result = chivehillbalance.Drains
		}
		err := discard(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return d.cutOff(ctx, a, err)
		}
		return a
	}
	if state == chivehillheader.StateDraining {
		a.Result = chivehillbalance.Drains
	} else if resp.StatusCode >= http.StatusInternalServerError {
		a.Result = chivehillbalance.Failed
	}
	return d.readBody(ctx, resp, a, buffer)
}

// readBody adds the body to a classified response. If more than buffer bytes
// follow, the remaining body is left to be streamed.
func (d *Dispatcher) readBody(ctx context.Context, resp *http.Response, a Attempt, buffer int64) Attempt {
	var body bytes.Buffer
	if resp.ContentLength > 0 && resp.ContentLength <= buffer {
		body.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := io.CopyN(&body, resp.Body, buffer+1)
	response := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body.Bytes()}
	switch {
	case errors.Is(err, io.EOF):
		_ = resp.Body.Close()
		a.Response = response
	case err != nil:
		_ = resp.Body.Close()
		return d.cutOff(ctx, a, err)
	case n > buffer:
		response.Rest = resp.Body
		a.Response = response
	}
	return a
}

// cutOff returns the attempt for a response whose head was classified as a and whose body was
// cut off: nothing of it counts but that the server is cold.
func (d *Dispatcher) cutOff(ctx context.Context, a Attempt, err error) Attempt {
	failed := d.classifyError(ctx, err, true)
	failed.Cold, failed.Err = a.Cold, err
	return failed
}

// discard reads a body that is not used, at most maxDiscardBytes of it. It returns an error if
// the body was cut off.
func discard(body io.Reader) error {
	_, err := io.CopyN(io.Discard, body, maxDiscardBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Health is the response to a health probe.
type Health struct {
	Status int
	// State is the state that the server reports: warm, cold or draining.
	State string
}

// Probe sends a health probe.
func (d *Dispatcher) Probe(req *http.Request) (Health, error) {
	resp, err := d.transport.RoundTrip(req)
	if err != nil {
		return Health{}, fmt.Errorf("probe %s: %w", req.URL.Host, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := discard(resp.Body); err != nil {
		return Health{}, fmt.Errorf("probe %s: %w", req.URL.Host, err)
	}
	return Health{Status: resp.StatusCode, State: resp.Header.Get(chivehillheader.ServerState)}, nil
}
