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

// dropped holds the headers that concern one connection only (RFC 9110, 7.6.1)
// and those that the system itself reads or writes on a hop.
var dropped = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	DeadlineMs: true, Forwarded: true, Outcome: true, Reason: true, NotRun: true, ServerState: true,
}

// CopyEndToEnd copies the headers that travel the whole way. The values are
// shared, so neither side may change them in place.
func CopyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if !dropped[name] {
			to[name] = values
		}
	}
	for _, list := range from["Connection"] {
		for _, h := range splitList(list) {
			to.Del(h)
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
