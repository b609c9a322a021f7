// Package chivehillclient is the client library of chivehill. It requests the list
// of entry hosts, caches it, and retries a request with the same idempotency key
// until its outcome is known.
package chivehillclient

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether a request ran.
type Outcome string

// The outcomes.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Headers of the protocol between callers and entry hosts.
const (
	headerTenant    = "Chivehill-Tenant"
	headerDeadline  = "Chivehill-Deadline-Ms"
	headerKey       = "Chivehill-Key"
	headerOutcome   = "Chivehill-Outcome"
	headerReason    = "Chivehill-Reason"
	headerRequestID = "Chivehill-Request-Id"
)

const (
	suffixBytes    = 12
	defaultTimeout = 10 * time.Second
	minRetryDelay  = 5 * time.Millisecond
	maxRetryDelay  = 200 * time.Millisecond
)

// Options configures a client.
type Options struct {
	// Seeds are addresses for callers of some entry hosts, IP address and port.
	Seeds []string
	// Tenant is sent with each request.
	Tenant string
	// HTTP sends the requests. The default keeps connections open.
	HTTP *http.Client
}

// Client is safe for concurrent use.
type Client struct {
	seeds  []string
	tenant string
	http   *http.Client
	hosts  hostCache
}

// New returns a client.
func New(o Options) *Client {
	client := o.HTTP
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	c := &Client{seeds: o.Seeds, tenant: o.Tenant, http: client}
	c.hosts.answers = make(map[cacheKey]*answer)
	return c
}

// Call is one request.
type Call struct {
	Method string
	// Path is the path with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent must agree with the route. Requests that are not idempotent get
	// an idempotency key.
	Idempotent bool
	// Timeout bounds the call with all its retries. The default is 10 s.
	Timeout time.Duration
}

// Answer is the result of a call.
type Answer struct {
	Outcome Outcome
	// Reason is set when the request was refused.
	Reason string
	// Status, Header and Body are the server's answer if Outcome is Done.
	Status int
	Header http.Header
	Body   []byte
	// Key is the last key that was used.
	Key string
	// Sends counts how often the request was sent.
	Sends int
}

// errNoHost means that no entry host answered.
var errNoHost = errors.New("no entry host answered")

// Do sends a request until its outcome is known or the timeout has passed. An
// error is returned only if the request was never sent.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	if call.Timeout == 0 {
		call.Timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	s := &sender{client: c, call: call, delay: minRetryDelay}
	return s.run(ctx)
}

// sender holds the state of one call across its retries.
type sender struct {
	client *Client
	call   Call
	key    string
	// owner is the address of the host that issued the key's prefix.
	owner string
	// mayHaveRun is set once a send with the current key may have run.
	mayHaveRun bool
	last       Answer
	delay      time.Duration
	tried      string
}

// run sends until the outcome is settled.
func (s *sender) run(ctx context.Context) (Answer, error) {
	s.last = Answer{Outcome: NotRun, Reason: "not-sent"}
	for {
		address, err := s.prepare(ctx)
		if err == nil {
			settled := s.send(ctx, address)
			if settled {
				return s.last, nil
			}
		}
		if !sleep(ctx, s.delay) {
			return s.end(err)
		}
		s.delay = min(2*s.delay, maxRetryDelay)
	}
}

// end returns what is known when the timeout has passed.
func (s *sender) end(err error) (Answer, error) {
	if s.last.Sends == 0 && err != nil {
		return s.last, fmt.Errorf("send %s: %w", s.call.Path, err)
	}
	if s.mayHaveRun {
		s.last.Outcome = Unknown
	}
	return s.last, nil
}

// prepare chooses a host, and a key for a request that needs a new one.
func (s *sender) prepare(ctx context.Context) (string, error) {
	if s.call.Idempotent || s.key != "" {
		return s.pick(ctx)
	}
	address, prefix, err := s.client.prefix(ctx, s.call.Path, s.tried)
	if err != nil {
		return "", err
	}
	raw := make([]byte, suffixBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", fmt.Errorf("generate key: %w", err)
	}
	s.key = prefix + hex.EncodeToString(raw)
	s.owner = address
	s.mayHaveRun = false
	return address, nil
}

// pick returns the host that issued the key if it was not just tried, else
// another one.
func (s *sender) pick(ctx context.Context) (string, error) {
	if s.owner != "" && s.tried != s.owner {
		return s.owner, nil
	}
	return s.client.pick(ctx, s.call.Path, s.tried)
}

// send sends once and reports whether the outcome is settled.
func (s *sender) send(ctx context.Context, address string) bool {
	s.tried = address
	s.last.Sends++
	sends := s.last.Sends
	answer, sent, err := s.client.exchange(ctx, address, s.call, s.key)
	if err != nil {
		s.mayHaveRun = s.mayHaveRun || sent
		s.last = Answer{Outcome: NotRun, Reason: err.Error(), Key: s.key, Sends: sends}
		if s.mayHaveRun {
			s.last.Outcome = Unknown
		} else {
			s.key = ""
			s.owner = ""
		}
		s.client.forget(s.call.Path)
		return false
	}
	answer.Key = s.key
	answer.Sends = sends
	s.last = answer
	switch answer.Outcome {
	case Done:
		return true
	case NotRun:
		return s.notRun()
	default:
		s.mayHaveRun = true
		return s.unsettled()
	}
}

// notRun handles the response that the request did not run. A request with this
// key never will, so a new key may be used.
func (s *sender) notRun() bool {
	s.mayHaveRun = false
	s.key = ""
	s.owner = ""
	switch s.last.Reason {
	case "no-route", "bad-deadline", "body-too-large", "body-unreadable", "region-forbidden", "suspect":
		return true
	}
	s.client.forget(s.call.Path)
	return false
}

// unsettled reports whether a retry cannot determine the outcome.
func (s *sender) unsettled() bool {
	if s.call.Idempotent {
		s.mayHaveRun = false
		return s.last.Reason == "server-broke"
	}
	switch s.last.Reason {
	case "key-owner-gone", "key-window-closed", "server-broke", "server-silent":
		return true
	}
	return false
}

// exchange sends a request to one host. sent reports whether it may have arrived.
func (c *Client) exchange(ctx context.Context, address string, call Call, key string) (answer Answer, sent bool, err error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, false, fmt.Errorf("create request: %w", err)
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	if c.tenant != "" {
		req.Header.Set(headerTenant, c.tenant)
	}
	if key != "" {
		req.Header.Set(headerKey, key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, !isDial(err), fmt.Errorf("send to %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, true, fmt.Errorf("read response of %s: %w", address, err)
	}
	answer = Answer{
		Outcome: Outcome(resp.Header.Get(headerOutcome)), Reason: resp.Header.Get(headerReason),
		Status: resp.StatusCode, Header: resp.Header, Body: body,
	}
	if answer.Outcome == "" {
		return Answer{}, true, fmt.Errorf("response of %s has no %s header", address, headerOutcome)
	}
	return answer, true, nil
}

// isDial reports whether a connection could not be made, so that nothing was sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sleep waits for d, with jitter, and reports false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	jitter, err := rand.Int(rand.Reader, big.NewInt(int64(d)))
	if err == nil {
		d = d/2 + time.Duration(jitter.Int64())/2
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
