package chivehillselector

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// initialBoundShare is the share of a route's bound that is taken as its service time
	// until a request was observed.
	initialBoundShare = 0.4
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

// Typical returns the estimated service time of a route. bound is the smaller of the
// route's objective and timeout.
func (s *ServiceTimes) Typical(route chivehillid.RouteID, bound chivehillclock.Millis) chivehillclock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	if estimate, found := s.median[route]; found {
		return estimate
	}
	return bound * initialBoundShare
}

// Observe records how long a request took that did not have to wait for a slot.
func (s *ServiceTimes) Observe(route chivehillid.RouteID, bound, took chivehillclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	median, found := s.median[route]
	if !found {
		median = bound * initialBoundShare
	}
	if took > median {
		median *= 1 + medianStep
	} else {
		median *= 1 - medianStep
	}
	s.median[route] = median
}
