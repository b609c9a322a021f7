package chivehillbalance

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillinvariant"
)

const (
	// averageWeight is the weight of a new sample in a moving average. It is low
	// enough that the average covers more requests than a slowdown of a few
	// milliseconds affects.
	averageWeight = 0.02
	// slowFactor is the multiple of the pool's average latency above which a server
	// counts as a straggler.
	slowFactor = 3.0
	// minSamples is the number of responses before a server is compared with others.
	minSamples = 50
	// failuresToSuspend is the number of consecutive failures after which a server is suspended.
	failuresToSuspend = 3

	minBackoff chivehillclock.Millis = 100
	maxBackoff chivehillclock.Millis = 5 * chivehillclock.Second
)

// server is the state of one owned server.
type server struct {
	id    chivehillid.ServerID
	slots chivehillid.Slots
	// outOfService is set while the server's failure domain is out of service.
	outOfService bool
	// draining is set from the first drain signal until a probe finds the server healthy.
	draining bool
	// warm is set once successful responses have raised limit to slots.
	warm bool
	// limit is the maximum number of concurrent requests, from 1 to slots.
	limit chivehillid.Slots
	// inFlight counts granted slots. It is never negative.
	inFlight chivehillid.Slots
	// rampSuccesses counts successful responses since the limit last changed.
	rampSuccesses       int
	consecutiveFailures int
	samples             int
	averageLatency      float64
	// suspendedUntil is the time before which the server gets no requests.
	suspendedUntil chivehillclock.Millis
	backoff        chivehillclock.Millis
	// needsProbe is set while the server gets no requests until a health probe succeeds.
	needsProbe bool
	// limitUnverified is set while limit is as reported by the previous owner and no
	// probe has confirmed that the server is still warm.
	limitUnverified bool
	// exclusiveFrom is the time until which a previous owner may still grant slots.
	exclusiveFrom chivehillclock.Millis
}

func newServer(o Owned, c Config) *server {
	s := &server{id: o.Server, slots: o.Slots, outOfService: o.Out, draining: o.KnownDraining, exclusiveFrom: o.ConfirmedFrom}
	s.limit = min(max(c.ColdConcurrency, o.KnownLimit), s.slots)
	s.warm = o.KnownLimit >= s.slots || c.Off.Ramp
	if s.warm {
		s.limit = s.slots
	}
	// The server may be draining, or may have failed together with its previous owner.
	s.needsProbe = true
	s.limitUnverified = o.KnownLimit > c.ColdConcurrency && !c.Off.Ramp
	return s
}

// allowed returns the number of requests that may be in flight now.
func (s *server) allowed(now, confirmedUntil chivehillclock.Millis, c Config) chivehillid.Slots {
	if s.outOfService || s.draining || s.needsProbe || now < s.suspendedUntil {
		return 0
	}
	previousOwnerActive := now < s.exclusiveFrom
	if s.warm {
		if previousOwnerActive {
			return (s.slots + 1) / 2
		}
		return s.slots
	}
	if previousOwnerActive || now >= confirmedUntil {
		return min(c.ColdUnconfirmed, s.limit)
	}
	return s.limit
}

// allowedWithSlack is allowed plus the slack that a warm server may hold beyond its slots.
func (s *server) allowedWithSlack(now, confirmedUntil chivehillclock.Millis, slack chivehillid.Slots, c Config) chivehillid.Slots {
	n := s.allowed(now, confirmedUntil, c)
	if s.warm && n == s.slots {
		return n + slack
	}
	return n
}

// resetRamp makes the server cold, so that its limit starts from ColdConcurrency
// again. It does nothing if the ramp is disabled.
func (s *server) resetRamp(c Config) {
	if c.Off.Ramp {
		return
	}
	s.warm = false
	s.limitUnverified = false
	s.limit = min(c.ColdConcurrency, s.slots)
	s.rampSuccesses = 0
}

// suspend sends the server no requests for a time that doubles with each call
// until a request succeeds.
func (s *server) suspend(now chivehillclock.Millis) {
	s.backoff = min(max(minBackoff, 2*s.backoff), maxBackoff)
	s.suspendedUntil = now + s.backoff
}

// recordResult records the result of a request and frees its slot. poolLatency is the
// average latency of the pool.
func (s *server) recordResult(now chivehillclock.Millis, f Finish, poolLatency float64, c Config) {
	chivehillinvariant.Assert(s.inFlight > 0, chivehillinvariant.SlotAccounting, "server %s: a slot was released that was not granted", s.id)
	s.inFlight--
	switch f.Result {
	case Good:
		s.recordSuccess(f, poolLatency, c)
	case Failed:
		s.consecutiveFailures++
		if s.consecutiveFailures >= failuresToSuspend {
			s.resetRamp(c)
			s.suspend(now)
		}
	case Killed:
		s.resetRamp(c)
		s.suspend(now)
		s.needsProbe = true
	case Shed:
		s.resetRamp(c)
	case Silent:
		// A timeout shortly after the request was sent says nothing about the server.
		if float64(f.Took) > slowFactor*poolLatency {
			s.resetRamp(c)
		}
	case Drains:
		s.draining = true
	case Unused, Cancelled:
	}
	if f.Cold && !c.Off.Ramp {
		s.resetRamp(c)
	}
}

func (s *server) recordSuccess(f Finish, poolLatency float64, c Config) {
	s.consecutiveFailures = 0
	s.backoff = 0
	s.samples++
	if s.samples == 1 {
		s.averageLatency = float64(f.Took)
	}
	s.averageLatency += averageWeight * (float64(f.Took) - s.averageLatency)
	if s.isStraggler(poolLatency, c) {
		s.resetRamp(c)
		return
	}
	s.rampSuccesses++
	if s.warm || s.rampSuccesses < c.RampSuccesses {
		return
	}
	s.rampSuccesses = 0
	s.limit = min(s.limit+1, s.slots)
	s.warm = s.limit == s.slots
}

func (s *server) isStraggler(poolLatency float64, c Config) bool {
	if c.Off.Ejection || s.samples < minSamples || poolLatency <= 0 {
		return false
	}
	return s.averageLatency > slowFactor*poolLatency
}
