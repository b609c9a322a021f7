package chivehillselector

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// initialRegionRoundTrip and initialCrossRegionRoundTrip are the round trips to another failure
	// domain of the region and to one of another region until one was measured. They are rather
	// long: if the first probes were given up early, the first requests would find no server.
	initialRegionRoundTrip      = 5 * chivehillclock.Millisecond
	initialCrossRegionRoundTrip = 30 * chivehillclock.Millisecond
	// shorterWeight is the weight of a measured round trip that is shorter than the estimate.
	shorterWeight = 0.25
	// longerStep is the relative step by which the estimate grows with each longer one. It is small
	// because most are longer for a wait at the server or at this host.
	longerStep = 0.02
	// probeRoundTrips is how many round trips a probe may take: one to connect, one for the health
	// check, and one for what the network adds at times.
	probeRoundTrips = 3
)

// roundTrips estimates the least time between a request and its response by failure domain, from
// health checks on open connections. It is safe for concurrent use.
type roundTrips struct {
	mu       sync.Mutex
	byDomain map[chivehillid.DomainID]chivehillclock.Millis
}

func (r *roundTrips) observe(d chivehillid.DomainID, took chivehillclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	estimate, found := r.byDomain[d]
	switch {
	case !found:
		r.byDomain[d] = took
	case took < estimate:
		r.byDomain[d] = estimate + shorterWeight*(took-estimate)
	default:
		r.byDomain[d] = min(took, estimate*(1+longerStep))
	}
}

func (r *roundTrips) of(d chivehillid.DomainID) (estimate chivehillclock.Millis, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	estimate, found = r.byDomain[d]
	return estimate, found
}

// RecordRoundTrip records how long a server took to answer a health check on an open connection.
func (t *Table) RecordRoundTrip(s chivehillcatalog.Server, took chivehillclock.Millis) {
	if s.Domain != t.location.Domain {
		t.roundTrips.observe(s.Domain, took)
	}
}

// roundTrip returns the round trip to a failure domain; 0 for that of this host, to which
// the others are compared.
func (t *Table) roundTrip(d chivehillid.DomainID, distance Distance) chivehillclock.Millis {
	if distance == SameDomain {
		return 0
	}
	estimate, found := t.roundTrips.of(d)
	switch {
	case found:
		return estimate
	case distance == OtherRegion:
		return initialCrossRegionRoundTrip
	}
	return initialRegionRoundTrip
}

// ProbeTime returns how long the response to a probe of a server that is not full may take
// because of the distance.
func (c Candidate) ProbeTime() chivehillclock.Millis { return probeRoundTrips * c.RoundTrip }
