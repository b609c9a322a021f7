// Package chivehillselector selects the server that a request is sent to: it ranks
// the servers to probe, estimates response times from the load they report, and
// limits the request rate to cold servers, which have not warmed up yet. It uses no
// network, and it reads the time from the clock that it is given. A probe is a health
// check that is sent to learn the load of a server.
//
// It is made for load that shifts within milliseconds: a load report that is more
// than a few milliseconds old is only used to choose which servers to probe.
package chivehillselector

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillrollout"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// failureWeight is the weight of the newest outcome in the moving average of failures.
	failureWeight = 0.25
	// failureThreshold is the failure rate from which a server is ejected.
	failureThreshold = 0.4
	// ejectionTime is how long a failing server gets no requests.
	ejectionTime = 2 * chivehillclock.Second
	// unreachableEjectionTime is how long an unreachable or unhealthy server gets no
	// requests.
	unreachableEjectionTime = 500 * chivehillclock.Millisecond
	// refusalPenaltyTime is how long a server that refused a request because of its load
	// is ranked last.
	refusalPenaltyTime = 100 * chivehillclock.Millisecond
)

// serverState is the state of one server as this host knows it.
type serverState struct {
	mu sync.Mutex
	// entry is replaced when the store has a newer one.
	entry chivehillcatalog.Server
	// stage is that of the entry's version, and sampled is set if the server is one of those
	// whose answers are compared while a version is under trial.
	stage   chivehillrollout.Stage
	sampled bool
	// used is set once this host has sent a request to the entry's instance.
	used bool
	// notice is that of the entry's instance. It has its own lock.
	notice *notice
	// running is the number of requests that this host has running on the server.
	running int
	// pendingProbes is the number of probes without a response. They are pending
	// since pendingProbesSince, which advances when one of them ends.
	pendingProbes      int
	pendingProbesSince chivehillclock.Millis
	load               chivehillupstream.Load
	loadAt             chivehillclock.Millis
	hasLoad            bool
	// lastResponseAt is the time of the server's last response. It is valid only if
	// hasResponded is set.
	lastResponseAt chivehillclock.Millis
	hasResponded   bool
	// newlyAvailable is set from when the server joins, restarts or returns to service
	// until its first response. Meanwhile it ranks without unconnectedPenalty: with it,
	// the server might never be probed beside idle servers that are connected.
	newlyAvailable bool
	// coldUnknown is set until a probe shows whether the server is cold.
	coldUnknown bool
	// coldUntil is when the server stops being cold, by its last report.
	coldUntil chivehillclock.Millis
	// coldBucket bounds the rate of requests to the server while it may be cold.
	coldBucket bucket
	// failureRate is a moving average of failed requests, between 0 and 1.
	failureRate  float64
	ejectedUntil chivehillclock.Millis
	refusedUntil chivehillclock.Millis
	// rateLimit is the limit that the server's last response stated; 0 if it stated none.
	rateLimit chivehillupstream.RequestsPerSecond
	// rateBucket bounds the rate of requests to the server while it states a limit.
	rateBucket bucket
}

// mayBeCold reports whether the server is cold or not known to be warm.
func (s *serverState) mayBeCold(now chivehillclock.Millis) bool {
	return s.coldUnknown || now < s.coldUntil
}

// unresponsiveAfter is the time after which a probe without a response shows
// that all slots are busy: probes wait for a slot like other requests. The time for the
// distance comes on top.
const unresponsiveAfter = 10 * chivehillclock.Millisecond

// isUnresponsive reports whether a probe has been pending for too long at a server with the
// given round trip.
func (s *serverState) isUnresponsive(now, roundTrip chivehillclock.Millis) bool {
	return s.pendingProbes > 0 && now-s.pendingProbesSince >= unresponsiveAfter+probeRoundTrips*roundTrip
}

// recordFailure raises the failure rate and reports whether the server is ejected for it.
func (s *serverState) recordFailure(now chivehillclock.Millis) (ejected bool) {
	s.failureRate += failureWeight * (1 - s.failureRate)
	if s.failureRate < failureThreshold || now < s.ejectedUntil {
		return false
	}
	s.ejectedUntil = now + ejectionTime
	s.failureRate = failureThreshold / 2
	return true
}

func (s *serverState) recordSuccess() {
	s.failureRate -= failureWeight * s.failureRate
}

// Distance is how far a server is from this host.
type Distance int

// The distances, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a server that is eligible for a request.
type Candidate struct {
	Server   chivehillcatalog.Server
	Distance Distance
	// RoundTrip is how much longer a round trip to the server takes than one within this host's
	// failure domain.
	RoundTrip chivehillclock.Millis
	// Cold is set if the server is cold. It gets a request only if Claim permits it.
	Cold bool
	// ColdUnknown is set if the server may have become cold. It needs a probe before
	// it gets a request.
	ColdUnknown bool
	// Stage is that of the server's version, and Sampled is set if the server's answers count
	// in the comparison of versions.
	Stage   chivehillrollout.Stage
	Sampled bool
	// score orders candidates; the lowest is probed first.
	score float64
}

// ID returns the identifier of the server.
func (c Candidate) ID() chivehillid.ServerID { return c.Server.ID }
