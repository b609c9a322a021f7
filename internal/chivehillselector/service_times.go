package chivehillselector

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// initialLimitShare is the share of a route's time limit that is taken as its service
	// time until a request was observed.
	initialLimitShare = 0.4
	// medianStep is the relative step by which the median moves with each request.
	medianStep = 0.02
)

// ServiceTimes estimates the service time of each route: how long its requests run on an idle
// server. It is safe for concurrent use.
type ServiceTimes struct {
	mu sync.Mutex
	// median moves a step towards each observed time and thereby converges to the median.
	median map[chivehillid.RouteID]chivehillclock.Millis
}

// NewServiceTimes returns a ServiceTimes without observations.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{median: make(map[chivehillid.RouteID]chivehillclock.Millis)}
}

// Typical returns the estimated service time of a route. limit is the time within
// which the route usually has to respond.
func (w *ServiceTimes) Typical(route chivehillid.RouteID, limit chivehillclock.Millis) chivehillclock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	if estimate, found := w.median[route]; found {
		return estimate
	}
	return limit * initialLimitShare
}

// Observe records how long a request took that did not have to wait for a slot.
func (w *ServiceTimes) Observe(route chivehillid.RouteID, limit, took chivehillclock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	median, found := w.median[route]
	if !found {
		median = limit * initialLimitShare
	}
	if took > median {
		median *= 1 + medianStep
	} else {
		median *= 1 - medianStep
	}
	w.median[route] = median
}
