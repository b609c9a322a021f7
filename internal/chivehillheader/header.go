// Package chivehillheader defines the HTTP header fields that callers, entry
// hosts and servers exchange. docs/callers.md and docs/upstreams.md describe
// them.
package chivehillheader

import "net/http"

// Request header fields.
const (
	// Tenant is the tenant on whose behalf a caller sends the request.
	Tenant = "Chivehill-Tenant"
	// DeadlineMs is the time left for the response, in milliseconds.
	DeadlineMs = "Chivehill-Deadline-Ms"
	// Key is the idempotency key of a non-idempotent request.
	Key = "Chivehill-Key"
	// RequestID identifies a request in responses and logs.
	RequestID = "Chivehill-Request-Id"
	// Forwarded is set on a request that one entry host forwards to another.
	Forwarded = "Chivehill-Forwarded"
)

// Response header fields.
const (
	// Outcome is done, not-run or unknown.
	Outcome = "Chivehill-Outcome"
	// Reason is the reason for which a request was refused.
	Reason = "Chivehill-Reason"
	// NotRun is "true" if the server refused the request before running it.
	NotRun = "Chivehill-Not-Run"
	// ServerState is the state that a server reports: warm, cold or draining.
	ServerState = "Chivehill-Server-State"
)

// Values of ServerState.
const (
	StateCold     = "cold"
	StateDraining = "draining"
)

// hopFields are the header fields that are not forwarded: the hop-by-hop fields
// (RFC 9110, 7.6.1) and those that hosts set or read themselves on each hop.
var hopFields = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	DeadlineMs: true, Forwarded: true, Outcome: true, Reason: true, NotRun: true, ServerState: true,
}

// CopyEndToEnd copies the end-to-end header fields. The value slices are shared,
// so neither header may change them in place.
func CopyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if !hopFields[name] {
			to[name] = values
		}
	}
	for _, value := range from["Connection"] {
		for _, h := range splitTokens(value) {
			to.Del(h)
		}
	}
}

// splitTokens splits a list at commas and spaces and drops empty items.
func splitTokens(value string) []string {
	var tokens []string
	start := 0
	for i := 0; i <= len(value); i++ {
		if i < len(value) && value[i] != ',' && value[i] != ' ' {
			continue
		}
		if i > start {
			tokens = append(tokens, value[start:i])
		}
		start = i + 1
	}
	return tokens
}
