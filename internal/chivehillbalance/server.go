package chivehillbalance

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillinvariant"
)

const (
	// averageWeight is the weight of a new sample in a moving average. It spans
	// more requests than a slow spell of milliseconds delays.
	averageWeight = 0.02
	// slowFactor times the pool's typical time marks a server as a straggler.
	slowFactor = 3.0
	// minSamples is the number of responses before a server is compared with others.
	minSamples = 50
	// failuresToSuspend is the number of failed answers in a row that suspend a server.
	failuresToSuspend = 3

	minBackoff chivehillclock.Millis = 100
	maxBackoff chivehillclock.Millis = 5 * chivehillclock.Second
)

// server is the state of one owned server.
type server struct {
	id    chivehillid.ServerID
	slots chivehillid.Slots
	// out is set while the server's failure domain is out of service.
	out bool
	// draining is set from the first drain signal until a probe finds the server healthy.
	draining bool
	// warm is set once limit has reached slots by good responses.
	warm bool
	// limit is the number of requests allowed at once, from 1 to slots.
	limit chivehillid.Slots
	// inFlight counts granted slots. It is never negative.
	inFlight chivehillid.Slots
	// streak counts good responses in a row at the present limit.
	streak   int
	failures int
	samples  int
	took     float64
	// suspendedUntil is the time before which the server is sent nothing.
	suspendedUntil chivehillclock.Millis
	backoff        chivehillclock.Millis
	// needsProbe keeps work away until a health probe succeeds.
	needsProbe bool
	// adopted is set while limit is the word of a previous owner that no probe has confirmed.
	adopted bool
	// confirmedFrom is the time until which a previous owner may still act.
	confirmedFrom chivehillclock.Millis
}

func newServer(o Owned, c Config) *server {
	s := &server{id: o.Server, slots: o.Slots, out: o.Out, draining: o.KnownDraining, confirmedFrom: o.ConfirmedFrom}
	s.limit = min(max(c.ColdConcurrency, o.KnownLimit), s.slots)
	s.warm = o.KnownLimit >= s.slots || c.Off.Ramp
	if s.warm {
		s.limit = s.slots
	}
	// The server may drain, or have gone down together with its previous owner.
	s.needsProbe = true
	s.adopted = o.KnownLimit > c.ColdConcurrency && !c.Off.Ramp
	return s
}

// allowed returns how many requests may be in flight now.
func (s *server) allowed(now, confirmedUntil chivehillclock.Millis, c Config) chivehillid.Slots {
	if s.out || s.draining || s.needsProbe || now < s.suspendedUntil {
		return 0
	}
	contested := now < s.confirmedFrom
	if s.warm {
		if contested {
			return (s.slots + 1) / 2
		}
		return s.slots
	}
	if contested || now >= confirmedUntil {
		return min(c.ColdUnconfirmed, s.limit)
	}
	return s.limit
}

// allowedWithSlack adds the slack that a warm server may hold beyond its slots.
func (s *server) allowedWithSlack(now, confirmedUntil chivehillclock.Millis, slack chivehillid.Slots, c Config) chivehillid.Slots {
	n := s.allowed(now, confirmedUntil, c)
	if s.warm && n == s.slots {
		return n + slack
	}
	return n
}

// restartRamp returns the server to the start of the ramp.
func (s *server) restartRamp(c Config) {
	if c.Off.Ramp {
		return
	}
	s.warm = false
	s.adopted = false
	s.limit = min(c.ColdConcurrency, s.slots)
	s.streak = 0
}

// suspend keeps work away for a time that doubles with each failure in a row.
func (s *server) suspend(now chivehillclock.Millis) {
	s.backoff = min(max(minBackoff, 2*s.backoff), maxBackoff)
	s.suspendedUntil = now + s.backoff
}

// settle records the result of a request. typical is the pool's usual time.
func (s *server) settle(now chivehillclock.Millis, f Finish, typical float64, c Config) {
	chivehillinvariant.Assert(s.inFlight > 0, chivehillinvariant.SlotAccounting, "server %s gives back a slot that it never granted", s.id)
	s.inFlight--
	switch f.Result {
	case Good:
		s.good(f, typical, c)
	case Failed:
		s.failures++
		if s.failures >= failuresToSuspend {
			s.restartRamp(c)
			s.suspend(now)
		}
	case Killed:
		s.restartRamp(c)
		s.suspend(now)
		s.needsProbe = true
	case Shed:
		s.restartRamp(c)
	case Silent:
		// A request that started late says nothing of the server.
		if float64(f.Took) > slowFactor*typical {
			s.restartRamp(c)
		}
	case Drains:
		s.draining = true
	case Unused, Cancelled:
	}
	if f.Cold && !c.Off.Ramp {
		s.restartRamp(c)
	}
}

func (s *server) good(f Finish, typical float64, c Config) {
	s.failures = 0
	s.backoff = 0
	s.samples++
	if s.samples == 1 {
		s.took = float64(f.Took)
	}
	s.took += averageWeight * (float64(f.Took) - s.took)
	if s.straggles(typical, c) {
		s.restartRamp(c)
		return
	}
	s.streak++
	if s.warm || s.streak < c.RampSuccesses {
		return
	}
	s.streak = 0
	s.limit = min(s.limit+1, s.slots)
	s.warm = s.limit == s.slots
}

func (s *server) straggles(typical float64, c Config) bool {
	if c.Off.Ejection || s.samples < minSamples || typical <= 0 {
		return false
	}
	return s.took > slowFactor*typical
}
