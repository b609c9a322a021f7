package chivehillbudget

import "sync/atomic"

const (
	bytesPerMB = 1 << 20
	// uncountedBytes is for what Go's own limit does not count: the program's text and the
	// stacks of system threads.
	uncountedBytes = 16 * bytesPerMB
	// uncountedShare is the share of the memory that is left free for the same, and for what
	// is allocated until a collection has ended.
	uncountedShare = 1.0 / 12
	// ownBytes is for what a host holds for itself: the catalog, peers, metrics.
	ownBytes = 16 * bytesPerMB
	// heldShare is the share of the rest that may be in use. What remains is for memory that
	// is no longer in use and not yet collected.
	heldShare = 0.65
	// minGoShare and minHeldShare are the smallest shares of the memory for Go and for others,
	// on machines that are too small for the fixed parts.
	minGoShare   = 1.0 / 2
	minHeldShare = 1.0 / 8
	// largeShare and responseShare are the shares of what is held for others up to which
	// large requests and responses of servers may use it.
	largeShare    = 0.8
	responseShare = 0.92
	// connectionShare is the share of Go's memory that connections of callers may use.
	connectionShare = 0.25
	// ConnectionBytes is what an idle connection of a caller takes: the stacks of its
	// goroutines and its buffer.
	ConnectionBytes = 16 << 10
)

// Plan divides the memory of a host. All that it holds for others counts towards one limit,
// up to which each kind may use it to a different part: what is large or has not run gives
// way first.
type Plan struct {
	// GoLimit is the limit for Go's runtime, in bytes.
	GoLimit int64
	// Small is for requests that are small, up to the whole limit.
	Small *Memory
	// Large is for long bodies and long heads.
	Large *Memory
	// Responses is for responses of servers.
	Responses *Memory
	// Connections is for the connections themselves.
	Connections *Memory
	// MaxConnections is how many connections of callers the memory has room for.
	MaxConnections int
}

// Descriptors divides the descriptors of a process among the connections that it opens and
// accepts without a bound of their own. A Memory counts them like bytes.
type Descriptors struct {
	// Callers is for connections of callers.
	Callers *Memory
	// Servers is for connections to servers.
	Servers *Memory
}

const (
	// callerDescriptorShare and serverDescriptorShare are the shares of the descriptors up to
	// which connections of both kinds together leave room for one more. The rest is for
	// peers, the store and operators.
	callerDescriptorShare = 3.0 / 4
	serverDescriptorShare = 13.0 / 16
)

// NewDescriptors returns the division of so many descriptors.
func NewDescriptors(count int) Descriptors {
	total := new(atomic.Int64)
	return Descriptors{
		Callers: share(total, int64(float64(count)*callerDescriptorShare)),
		Servers: share(total, int64(float64(count)*serverDescriptorShare)),
	}
}

// NewPlan returns the plan for a machine with so much memory.
func NewPlan(memoryMB float64) Plan {
	memory := memoryMB * bytesPerMB
	goLimit := max(memory*(1-uncountedShare)-uncountedBytes, memory*minGoShare)
	held := max((goLimit-ownBytes)*heldShare, memory*minHeldShare)
	total := new(atomic.Int64)
	return Plan{
		GoLimit:        int64(goLimit),
		Small:          share(total, int64(held)),
		Large:          share(total, int64(held*largeShare)),
		Responses:      share(total, int64(held*responseShare)),
		Connections:    share(total, int64(held)),
		MaxConnections: int(goLimit * connectionShare / ConnectionBytes),
	}
}
