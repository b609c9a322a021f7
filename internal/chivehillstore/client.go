// Package chivehillstore is an HTTP client for the platform's versioned object
// store. Reads can long-poll for a newer version; writes are conditional on the
// stored version.
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
	"github.com/chivehill/chivehill/internal/chivehillresponse"
)

// Names of the objects that Chivehill keeps in the store.
const (
	ConfigurationObject = "chivehill-configuration"
	MembershipObject    = "chivehill-membership"
)

// HTTP headers of the store's protocol: the version of a returned object, and
// the version that a conditional write expects.
const (
	HeaderVersion   = "Object-Version"
	HeaderIfVersion = "If-Version"
)

// MaxObjectBytes is the size limit of the store for one object.
const MaxObjectBytes = 1 << 20

// Errors that Get, Watch and Put return, wrapped or as they are.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object was changed by another writer")
	ErrNotModified = errors.New("object has no newer version")
	// ErrUncertain means that a write may or may not have taken effect: the
	// response was lost or had an unexpected status.
	ErrUncertain = errors.New("outcome of the write is unknown")
)

// Object is the content of a stored object at one version.
type Object struct {
	// Version is 0 for an object that does not exist.
	Version uint64
	Data    []byte
}

// Client reads and writes objects over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the store at address (host:port).
func NewClient(address string) *Client {
	return &Client{baseURL: "http://" + address + "/v1/objects/", httpClient: chivehillresponse.NewClient(&http.Transport{MaxIdleConnsPerHost: 8})}
}

// Get returns the current version of an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	return c.read(ctx, name, c.baseURL+name)
}

// Watch is a long poll: it returns the object once its version is newer than
// after, or ErrNotModified if the store has none within wait.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait chivehillclock.Millis) (Object, error) {
	url := fmt.Sprintf("%s%s?after=%d&wait-ms=%d", c.baseURL, name, after, int(wait))
	return c.read(ctx, name, url)
}

func (c *Client) read(ctx context.Context, name, url string) (Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Object{}, fmt.Errorf("store read %s: %w", name, err)
	}
	resp, err := c.httpClient.Do(req)
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
		return Object{}, fmt.Errorf("store read %s: unexpected status %d", name, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxObjectBytes+1))
	if err != nil {
		return Object{}, fmt.Errorf("store read %s: %w", name, err)
	}
	version, err := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return Object{}, fmt.Errorf("store read %s: parse object version: %w", name, err)
	}
	return Object{Version: version, Data: data}, nil
}

// Put replaces an object if its stored version is still expectedVersion, and
// returns ErrConflict otherwise. Version 0 creates the object.
func (c *Client) Put(ctx context.Context, name string, data []byte, expectedVersion uint64) error {
	if len(data) > MaxObjectBytes {
		return fmt.Errorf("store write %s: object has %d bytes; allowed: at most %d", name, len(data), MaxObjectBytes)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.baseURL+name, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("store write %s: %w", name, err)
	}
	req.Header.Set(HeaderIfVersion, strconv.FormatUint(expectedVersion, 10))
	resp, err := c.httpClient.Do(req)
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
		return fmt.Errorf("store write %s: rate limit of the store exceeded", name)
	}
	return fmt.Errorf("store write %s: %w: unexpected status %d", name, ErrUncertain, resp.StatusCode)
}
