// Package chivehillheader names the HTTP headers between callers, entry hosts
// and servers. docs/callers.md and docs/upstreams.md describe them.
package chivehillheader

import "net/http"

// Headers of requests.
const (
	// Tenant names the tenant on whose behalf a caller sends.
	Tenant = "Chivehill-Tenant"
	// DeadlineMs is the time left for an answer, in milliseconds.
	DeadlineMs = "Chivehill-Deadline-Ms"
	// Key is the idempotency key of a non-idempotent request.
	Key = "Chivehill-Key"
	// RequestID identifies a request in answers and logs.
	RequestID = "Chivehill-Request-Id"
	// Forwarded is set on a request that one entry host passes to another.
	Forwarded = "Chivehill-Forwarded"
)

// Headers of answers.
const (
	// Outcome is one of done, not-run, unknown.
	Outcome = "Chivehill-Outcome"
	// Reason tells why a request was refused.
	Reason = "Chivehill-Reason"
	// NotRun is set to "true" by a server that refuses a request before it starts it.
	NotRun = "Chivehill-Not-Run"
	// ServerState is a server's report of itself: warm, cold or draining.
	ServerState = "Chivehill-Server-State"
)

// Values of ServerState.
const (
	StateCold     = "cold"
	StateDraining = "draining"
)

// hopByHop lists the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// own lists the headers that the system itself reads or writes on a hop.
var own = []string{DeadlineMs, Forwarded, Outcome, Reason, NotRun, ServerState}

// CopyEndToEnd copies the headers that travel the whole way.
func CopyEndToEnd(to, from http.Header) {
	drop := make(map[string]bool, len(hopByHop))
	for _, h := range hopByHop {
		drop[h] = true
	}
	for _, h := range own {
		drop[h] = true
	}
	for _, list := range from.Values("Connection") {
		for _, h := range splitList(list) {
			drop[http.CanonicalHeaderKey(h)] = true
		}
	}
	for name, values := range from {
		if !drop[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}

func splitList(list string) []string {
	var items []string
	start := 0
	for i := 0; i <= len(list); i++ {
		if i < len(list) && list[i] != ',' && list[i] != ' ' {
			continue
		}
		if i > start {
			items = append(items, list[start:i])
		}
		start = i + 1
	}
	return items
}
