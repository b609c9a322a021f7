package chivehillclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	hostsPath  = "/.chivehill/hosts"
	askTimeout = 2 * time.Second
	maxAnswer  = 1 << 20
	// maxCached bounds the cached host lists.
	maxCached = 1024
)

// hostWeight is one entry of a host list.
type hostWeight struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Weight  int    `json:"weight"`
}

// answer is a host list, as an entry host returns it.
type answer struct {
	Hosts     []hostWeight `json:"hosts"`
	KeepMs    float64      `json:"keep-ms"`
	KeyPrefix string       `json:"key-prefix"`

	until time.Time
}

// cacheKey identifies a cached host list by the host that returned it and the
// path.
type cacheKey struct {
	// address is empty for a list from any of the seeds.
	address string
	path    string
}

// hostCache caches host lists until they expire.
type hostCache struct {
	mu sync.Mutex
	// answers holds at most maxCached entries.
	answers map[cacheKey]*answer
}

func (h *hostCache) get(k cacheKey) *answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.answers[k]
	if a == nil || time.Now().After(a.until) {
		return nil
	}
	return a
}

func (h *hostCache) put(k cacheKey, a *answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.answers) >= maxCached {
		clear(h.answers)
	}
	h.answers[k] = a
}

// forget removes the cached host lists for a path.
func (c *Client) forget(path string) {
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	for k := range c.hosts.answers {
		if k.path == pathOnly(path) {
			delete(c.hosts.answers, k)
		}
	}
}

func pathOnly(path string) string {
	u, err := url.Parse(path)
	if err != nil {
		return path
	}
	return u.Path
}

// pick returns a host for a path, by weight, other than avoid if there is one.
func (c *Client) pick(ctx context.Context, path, avoid string) (string, error) {
	a, err := c.ask(ctx, path)
	if err != nil {
		return "", err
	}
	return choose(a.Hosts, avoid), nil
}

// choose selects a random host by weight. Hosts of weight 0 are used only if there
// is no other.
func choose(hosts []hostWeight, avoid string) string {
	total := 0
	for _, h := range hosts {
		if h.Address != avoid {
			total += h.Weight
		}
	}
	if total == 0 {
		return chooseAny(hosts, avoid)
	}
	draw := rand.IntN(total)
	for _, h := range hosts {
		if h.Address == avoid {
			continue
		}
		draw -= h.Weight
		if draw < 0 {
			return h.Address
		}
	}
	return avoid
}

func chooseAny(hosts []hostWeight, avoid string) string {
	var others []string
	for _, h := range hosts {
		if h.Address != avoid {
			others = append(others, h.Address)
		}
	}
	if len(others) == 0 {
		return avoid
	}
	return others[rand.IntN(len(others))]
}

// ask returns the host list for a path, from the cache or from a seed.
func (c *Client) ask(ctx context.Context, path string) (*answer, error) {
	k := cacheKey{path: pathOnly(path)}
	if a := c.hosts.get(k); a != nil {
		return a, nil
	}
	last := errNoHost
	for _, i := range rand.Perm(len(c.seeds)) {
		a, err := c.askHost(ctx, c.seeds[i], k.path)
		if err == nil && len(a.Hosts) > 0 {
			c.hosts.put(k, a)
			return a, nil
		}
		if err != nil {
			last = err
		}
	}
	return nil, last
}

// prefix chooses a host and returns the key prefix that it issues.
func (c *Client) prefix(ctx context.Context, path, avoid string) (address, prefix string, err error) {
	address, err = c.pick(ctx, path, avoid)
	if err != nil {
		return "", "", err
	}
	k := cacheKey{address: address, path: pathOnly(path)}
	a := c.hosts.get(k)
	if a == nil {
		a, err = c.askHost(ctx, address, k.path)
		if err != nil {
			c.forget(path)
			return "", "", err
		}
		c.hosts.put(k, a)
	}
	if a.KeyPrefix == "" {
		c.forget(path)
		return "", "", fmt.Errorf("%s issues no keys for %s", address, path)
	}
	return address, a.KeyPrefix, nil
}

// askHost requests the host list from one host.
func (c *Client) askHost(ctx context.Context, address, path string) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := url.Values{"path": {path}, "tenant": {c.tenant}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+hostsPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask %s: status %d, %s", address, resp.StatusCode, resp.Header.Get(headerReason))
	}
	a := &answer{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, fmt.Errorf("ask %s: decode: %w", address, err)
	}
	a.until = time.Now().Add(time.Duration(a.KeepMs) * time.Millisecond)
	return a, nil
}
