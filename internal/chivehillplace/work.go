package chivehillplace

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// boundPart is the part of the time that a route's answers have that its work
	// is taken to need until some was seen.
	boundPart = 0.4
	// workStep is the part by which the median moves with each request.
	workStep = 0.02
)

// Work knows how long the work of each route takes. It is safe for concurrent use.
type Work struct {
	mu sync.Mutex
	// median moves a step towards each request, and so to their median.
	median map[chivehillid.RouteID]chivehillclock.Millis
}

// NewWork returns a Work that has seen nothing.
func NewWork() *Work {
	return &Work{median: make(map[chivehillid.RouteID]chivehillclock.Millis)}
}

// Typical returns how long the work of a route takes.
func (w *Work) Typical(route chivehillid.RouteID, bound chivehillclock.Millis) chivehillclock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	if seen, found := w.median[route]; found {
		return seen
	}
	return bound * boundPart
}

// Observe takes the time of a request over that found room at once.
func (w *Work) Observe(route chivehillid.RouteID, bound, took chivehillclock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	median, found := w.median[route]
	if !found {
		median = bound * boundPart
	}
	if took > median {
		median *= 1 + workStep
	} else {
		median *= 1 - workStep
	}
	w.median[route] = median
}
