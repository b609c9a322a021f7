// Package chivehillstore is a client of the platform's object store.
package chivehillstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// Names of objects.
const (
	ConfigurationObject = "chivehill-configuration"
	MembershipObject    = "chivehill-membership"
)

// Headers of the store's protocol.
const (
	HeaderVersion   = "Object-Version"
	HeaderIfVersion = "If-Version"
)

// MaxObjectBytes is the largest object that the store holds.
const MaxObjectBytes = 1 << 20

// Errors of the store.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object was changed by another")
	ErrNotModified = errors.New("object has not changed")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("no answer to a write")
)

// Object is one version of a stored object.
type Object struct {
	// Version is 0 for an object that does not exist.
	Version uint64
	Data    []byte
}

// Client reads and writes objects. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the store at an address.
func NewClient(address string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	return &Client{base: "http://" + address + "/v1/objects/", http: &http.Client{Transport: transport}}
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	return c.read(ctx, name, c.base+name)
}

// Watch waits until the object is newer than version after, at most for wait.
// It returns ErrNotModified if it is not.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait chivehillclock.Millis) (Object, error) {
	url := fmt.Sprintf("%s%s?after=%d&wait-ms=%d", c.base, name, after, int(wait))
	return c.read(ctx, name, url)
}

func (c *Client) read(ctx context.Context, name, url string) (Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Object{}, fmt.Errorf("store read %s: %w", name, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Object{}, fmt.Errorf("store read %s: %w", name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Object{}, fmt.Errorf("store read %s: %w", name, ErrNotFound)
	case http.StatusNotModified:
		return Object{}, ErrNotModified
	default:
		return Object{}, fmt.Errorf("store read %s: status %d", name, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxObjectBytes+1))
	if err != nil {
		return Object{}, fmt.Errorf("store read %s: %w", name, err)
	}
	version, err := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return Object{}, fmt.Errorf("store read %s: version: %w", name, err)
	}
	return Object{Version: version, Data: data}, nil
}

// Put replaces an object if its version is still expect; 0 creates it.
func (c *Client) Put(ctx context.Context, name string, data []byte, expect uint64) error {
	if len(data) > MaxObjectBytes {
		return fmt.Errorf("store write %s: %d bytes; allowed: at most %d", name, len(data), MaxObjectBytes)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+name, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("store write %s: %w", name, err)
	}
	req.Header.Set(HeaderIfVersion, strconv.FormatUint(expect, 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("store write %s: %w: %w", name, ErrUncertain, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("store write %s: %w", name, ErrConflict)
	case http.StatusTooManyRequests:
		return fmt.Errorf("store write %s: rate limit", name)
	}
	return fmt.Errorf("store write %s: %w: status %d", name, ErrUncertain, resp.StatusCode)
}
