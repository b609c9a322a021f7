package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillfield"
)

const (
	operatorTimeout = 20 * time.Second
	// maxResponseBytes bounds the part of a response that is read.
	maxResponseBytes = 8 << 20
)

// operators is a client of the administration API of one entry host.
type operators struct {
	Operators string `required:"" help:"Address of the administration API, IP address and port."`
	Output    string `enum:"text,json" default:"text" help:"Output: text or json."`
}

// get requests path and decodes the JSON response.
func (o operators) get(path string, into any) error {
	return o.call(http.MethodGet, path, nil, "", into)
}

// text requests path and returns the response as text.
func (o operators) text(path string) (string, error) {
	data, status, err := o.exchange(http.MethodGet, path, nil, "")
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", fmt.Errorf("%s%s: status %d: %s", o.Operators, path, status, strings.TrimSpace(string(data)))
	}
	return string(data), nil
}

func (o operators) call(method, path string, body []byte, token string, into any) error {
	data, status, err := o.exchange(method, path, body, token)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		var refused struct {
			Error     string `json:"error"`
			Uncertain bool   `json:"uncertain"`
		}
		if json.Unmarshal(data, &refused) != nil || refused.Error == "" {
			refused.Error = strings.TrimSpace(string(data))
		}
		if refused.Uncertain {
			refused.Error += " (the note may have taken effect; apply it again to find out)"
		}
		return fmt.Errorf("%s: %s", o.Operators, refused.Error)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s%s: decode response: %w", o.Operators, path, err)
	}
	return nil
}

func (o operators) exchange(method, path string, body []byte, token string) ([]byte, int, error) {
	if err := chivehillfield.Address("--operators", o.Operators); err != nil {
		return nil, 0, usageError{err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.Operators+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, fmt.Errorf("%s%s: %w", o.Operators, path, err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("%s%s: %w", o.Operators, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("%s%s: %w", o.Operators, path, err)
	}
	return data, resp.StatusCode, nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
