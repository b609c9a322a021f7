package chivehillselector

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// Outcome is the result of a request or a probe. It is one of Served,
// Refused, Failed, Unreachable, Moved and Abandoned.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Served means that the server responded.
type Served struct {
	Metadata chivehillupstream.ResponseMetadata
}

// Refused means that the server did not run the request because of its load.
type Refused struct {
	Metadata chivehillupstream.ResponseMetadata
}

// Failed means that the server closed the connection early, sent an invalid
// response, did not respond to a request in time or reported a failure.
type Failed struct{}

// Unreachable means that no connection could be opened.
type Unreachable struct{}

// Moved means that the address now belongs to another server.
type Moved struct{}

// Abandoned means that the request was abandoned without a result for the server.
type Abandoned struct{}

func (Served) outcome()      {}
func (Refused) outcome()     {}
func (Failed) outcome()      {}
func (Unreachable) outcome() {}
func (Moved) outcome()       {}
func (Abandoned) outcome()   {}

// Release records the end and the outcome of a claimed request.
func (t *Table) Release(id chivehillid.ServerID, o Outcome) {
	s := t.get(id)
	if s == nil {
		return
	}
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	t.recordOutcome(id, s, o, fromRequest)
}

// RecordProbe records the outcome of a probe. healthy is false if the server
// reports that it is unhealthy or shutting down.
func (t *Table) RecordProbe(id chivehillid.ServerID, healthy bool, o Outcome) {
	s := t.get(id)
	if s == nil {
		return
	}
	t.recordOutcome(id, s, o, fromProbe)
	served, ok := o.(Served)
	if !ok {
		return
	}
	now := t.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = now + served.Metadata.ColdRemaining
	if s.coldUnknown {
		t.log.Info().Str("server", string(id)).Float64("cold-left-ms", float64(served.Metadata.ColdRemaining)).Msg("selector: probe confirmed the remaining cold time.")
	}
	s.coldUnknown = false
	if !healthy {
		s.ejectedUntil = max(s.ejectedUntil, now+unreachableEjectionTime)
	}
}

// origin names what an outcome belongs to, in log lines.
type origin string

const (
	fromRequest origin = "request"
	fromProbe   origin = "probe"
)

// recordOutcome updates the state of a server with the outcome of a request or a
// probe.
func (t *Table) recordOutcome(id chivehillid.ServerID, s *serverState, o Outcome, from origin) {
	now := t.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o := o.(type) {
	case Served:
		t.recordResponse(now, s, o.Metadata)
		t.recordRateLimit(id, s, o.Metadata, from)
		s.recordSuccess()
	case Refused:
		t.recordResponse(now, s, o.Metadata)
		t.recordRateLimit(id, s, o.Metadata, from)
		s.refusedUntil = now + refusalPenaltyTime
	case Failed:
		s.coldUnknown = true
		if s.recordFailure(now) {
			t.log.Warn().Str("server", string(id)).Msg("selector: failing server ejected.")
		}
	case Unreachable:
		s.coldUnknown = true
		s.ejectedUntil = max(s.ejectedUntil, now+unreachableEjectionTime)
	case Moved:
		s.coldUnknown = true
		s.ejectedUntil = max(s.ejectedUntil, now+ejectionTime)
		t.log.Info().Str("server", string(id)).Msg("selector: address belongs to another server.")
	case Abandoned:
	}
}

// recordRateLimit stores the rate limit that a response states, and logs when a server
// begins or ceases to state one. The caller must hold the server's lock.
func (t *Table) recordRateLimit(id chivehillid.ServerID, s *serverState, r chivehillupstream.ResponseMetadata, from origin) {
	if (s.rateLimit > 0) != (r.RateLimit > 0) {
		t.log.Info().Str("server", string(id)).Str("from", string(from)).Float64("requests-per-second", float64(r.RateLimit)).
			Msg("selector: server began or ceased to state a rate limit.")
		s.rateBucket = bucket{refilledAt: t.clock.Now()}
	}
	s.rateLimit = r.RateLimit
}

// recordResponse stores the load and the cold time that a response reports. The caller must
// hold the server's lock.
func (t *Table) recordResponse(now chivehillclock.Millis, s *serverState, r chivehillupstream.ResponseMetadata) {
	s.lastResponseAt, s.hasResponded, s.newlyAvailable = now, true, false
	if r.ColdRemaining > 0 {
		s.coldUntil = max(s.coldUntil, now+r.ColdRemaining)
	}
	if !r.HasLoad {
		return
	}
	if s.hasLoad && s.load.Pace >= slowPace {
		t.persistence.observe(now-s.loadAt, r.Load.Pace)
	}
	s.load, s.loadAt, s.hasLoad = r.Load, now, true
}
