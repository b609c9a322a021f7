// Package chivehilldispatch sends requests to servers and tells what became of them.
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
)

const (
	// discardBytes bounds what is read of a refusal to keep its connection.
	discardBytes = 64 << 10
	// idleTimeout is below the usual keep-alive time of servers, so that a kept
	// connection is rarely closed while a request is being written to it.
	idleTimeout = 15 * time.Second
	dialTimeout = time.Second
	// maxConnections bounds the connections to one server. Slots bound the ones in use.
	maxConnections = 200
	// keptIdle is the share of one of 14 hosts in the 220 connections of a server.
	keptIdle = 15
)

// Request is a request with its whole body, ready to be sent.
type Request struct {
	Method string
	// Target is the path with the query, as it was received.
	Target string
	Header http.Header
	Body   []byte
	// BufferBytes is the largest answer that is read whole before it is passed on.
	BufferBytes int64
	// Regions are the regions to which it may be sent.
	Regions chivehillregion.Set
}

// Target is where a request is sent.
type Target struct {
	Name    string
	Address string
	Region  chivehillid.RegionID
}

// Response is the answer of a server.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is the remaining body, nil if Body is whole. It must be closed.
	Rest io.ReadCloser
}

// Attempt tells what became of one sending.
type Attempt struct {
	// Response is nil if there is no usable answer.
	Response *Response
	Result   chivehillbalance.Result
	// Sent is set once any byte may have reached the server.
	Sent bool
	// ServerNotRun is set if the server itself said that it did not start the request.
	ServerNotRun bool
	// Cold is set if the server reported a cold start.
	Cold bool
	Took chivehillclock.Millis
	Err  error
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	clock     *chivehillclock.Clock
	transport *http.Transport
}

// New returns a dispatcher. disconnected is called with the address of a
// server that closed a connection.
func New(clock *chivehillclock.Clock, disconnected func(address string)) *Dispatcher {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn, ended: func() { disconnected(address) }}, nil
	}
	return &Dispatcher{
		clock: clock,
		transport: &http.Transport{
			DialContext: dial, MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: keptIdle,
			IdleConnTimeout: idleTimeout, DisableCompression: true, ReadBufferSize: 8 << 10, WriteBufferSize: 8 << 10,
		},
	}
}

// Close closes the kept connections.
func (d *Dispatcher) Close() {
	d.transport.CloseIdleConnections()
}

// onceBody is a body that the transport cannot rewind, so that it never sends
// a request twice on its own.
type onceBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// Send sends a request once. left is the time left, told to the server.
func (d *Dispatcher) Send(ctx context.Context, r Request, t Target, left chivehillclock.Millis) Attempt {
	chivehillinvariant.Assert(r.Regions.Allows(t.Region), chivehillinvariant.HomeRegion, "request bound elsewhere is sent to %s in %s", t.Name, t.Region)
	start := d.clock.Now()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+t.Address+r.Target, onceBody{bytes.NewReader(r.Body)})
	if err != nil {
		return Attempt{Result: chivehillbalance.Unused, Err: fmt.Errorf("make request for %s: %w", t.Name, err)}
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
		a := d.failed(ctx, err, sent.Load())
		a.Took = d.clock.Now() - start
		a.Err = fmt.Errorf("send to %s: %w", t.Name, err)
		return a
	}
	a := d.answered(ctx, resp, r.BufferBytes)
	a.Took = d.clock.Now() - start
	if a.Err != nil {
		a.Err = fmt.Errorf("read answer of %s: %w", t.Name, a.Err)
	}
	return a
}

// failed classifies an error before any answer.
func (d *Dispatcher) failed(ctx context.Context, err error, sent bool) Attempt {
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

// answered reads an answer, whole if it is small.
func (d *Dispatcher) answered(ctx context.Context, resp *http.Response, buffer int64) Attempt {
	a := Attempt{Sent: true, Result: chivehillbalance.Good}
	state := resp.Header.Get(chivehillheader.ServerState)
	a.Cold = state == chivehillheader.StateCold
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(chivehillheader.NotRun) == "true" {
		a.ServerNotRun = true
		a.Result = chivehillbalance.Shed
		if state == chivehillheader.StateDraining {
			a.Result = chivehillbalance.Drains
		}
		_, _ = io.CopyN(io.Discard, resp.Body, discardBytes)
		_ = resp.Body.Close()
		return a
	}
	if state == chivehillheader.StateDraining {
		a.Result = chivehillbalance.Drains
	} else if resp.StatusCode >= http.StatusInternalServerError {
		a.Result = chivehillbalance.Failed
	}
	return d.readBody(ctx, resp, a, buffer)
}

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
		cut := d.failed(ctx, err, true)
		cut.Cold = a.Cold
		cut.Err = err
		return cut
	case n > buffer:
		response.Rest = resp.Body
		a.Response = response
	}
	return a
}

// Health is the answer to a health check.
type Health struct {
	Status int
	// State is the server's report of itself.
	State string
}

// Probe sends a health check.
func (d *Dispatcher) Probe(req *http.Request) (Health, error) {
	resp, err := d.transport.RoundTrip(req)
	if err != nil {
		return Health{}, fmt.Errorf("probe %s: %w", req.URL.Host, err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, discardBytes)
	return Health{Status: resp.StatusCode, State: resp.Header.Get(chivehillheader.ServerState)}, nil
}
