// Package chivehillplace decides which server a request is sent to: it ranks
// the servers to ask, judges what they say, and bounds what cold servers get.
// It uses no network; the time is passed in.
//
// It answers load that shifts within milliseconds: what a server said more
// than a few milliseconds ago is only used to choose which servers to ask.
package chivehillplace

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// failureWeight is the weight of the newest outcome in the average of failures.
	failureWeight = 0.25
	// failureLimit is the average of failures above which a server is set aside.
	failureLimit = 0.4
	// setAsideTime is the time for which a failing server gets no work.
	setAsideTime = 2 * chivehillclock.Second
	// unreachableTime is the time for which a server that cannot be reached gets no work.
	unreachableTime = 500 * chivehillclock.Millisecond
	// refusedTime is the time for which a server that refused for load is asked last.
	refusedTime = 100 * chivehillclock.Millisecond
)

// state is what this host knows of one server beyond its entry.
type state struct {
	mu sync.Mutex
	// entry is replaced when the store has news.
	entry chivehillcatalog.Server
	// running is the number of requests that this host has running on the server.
	running int
	// asking is the number of health checks that are not answered yet, since
	// askingSince.
	asking      int
	askingSince chivehillclock.Millis
	load        chivehillupstream.Load
	loadAt      chivehillclock.Millis
	hasLoad     bool
	// heardAt is when the server answered last, heard whether it did.
	heardAt chivehillclock.Millis
	heard   bool
	// awaited is set from when the server came until it answers: it is asked
	// although this host has no connection with it.
	awaited bool
	// doubtful is set until a health check tells whether the server is cold.
	doubtful bool
	// coldUntil is when the server ceases to be cold, as it said last.
	coldUntil chivehillclock.Millis
	// coldTokens is the number of requests that may be sent while it is cold.
	coldTokens   float64
	coldRefillAt chivehillclock.Millis
	// failures is a moving average: 1 if all requests fail.
	failures     float64
	asideUntil   chivehillclock.Millis
	refusedUntil chivehillclock.Millis
}

// isCold reports whether the server must be spared.
func (s *state) isCold(now chivehillclock.Millis) bool {
	return s.doubtful || now < s.coldUntil
}

// silentTime is the time after which a health check without an answer shows
// that the server is full: health checks wait for a slot like other requests.
const silentTime = 10 * chivehillclock.Millisecond

// isSilent reports whether the server has not answered a health check for a while.
func (s *state) isSilent(now chivehillclock.Millis) bool {
	return s.asking > 0 && now-s.askingSince >= silentTime
}

// refill adds the tokens earned since the last call, at most burst.
func (s *state) refill(now chivehillclock.Millis, perSecond, burst float64) {
	elapsed := float64(now-s.coldRefillAt) / float64(chivehillclock.Second)
	s.coldTokens = min(burst, s.coldTokens+elapsed*perSecond)
	s.coldRefillAt = now
}

func (s *state) fail(now chivehillclock.Millis) (aside bool) {
	s.failures += failureWeight * (1 - s.failures)
	if s.failures < failureLimit || now < s.asideUntil {
		return false
	}
	s.asideUntil = now + setAsideTime
	s.failures = failureLimit / 2
	return true
}

func (s *state) succeed() {
	s.failures -= failureWeight * s.failures
}

// Distance tells how far a server is from this host.
type Distance int

// The distances, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a server that a request may be sent to.
type Candidate struct {
	Server   chivehillcatalog.Server
	Distance Distance
	// Cold candidates may be sent to only if Claim agrees.
	Cold bool
	// Doubtful candidates must be asked first: they may have turned cold.
	Doubtful bool
	// score orders candidates; the lowest is asked first.
	score float64
}

// ID returns the identifier of the server.
func (c Candidate) ID() chivehillid.ServerID { return c.Server.ID }
