package chivehillplace

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// Outcome is the result of a request or a health check. It is one of Served,
// Refused, Failed, Unreachable, Moved and GivenUp.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Served means that the server responded.
type Served struct{ Remarks chivehillupstream.Remarks }

// Refused means that the server did not run the request because of its load.
type Refused struct{ Remarks chivehillupstream.Remarks }

// Failed means that the server closed the connection early, sent an invalid
// response, did not respond to a request in time or reported a failure.
type Failed struct{}

// Unreachable means that no connection could be opened.
type Unreachable struct{}

// Moved means that the address now belongs to another server.
type Moved struct{}

// GivenUp means that the request was abandoned without a result for the server.
type GivenUp struct{}

func (Served) outcome()      {}
func (Refused) outcome()     {}
func (Failed) outcome()      {}
func (Unreachable) outcome() {}
func (Moved) outcome()       {}
func (GivenUp) outcome()     {}

// Released records the end and the outcome of a claimed request.
func (t *Table) Released(id chivehillid.ServerID, o Outcome) {
	s := t.get(id)
	if s == nil {
		return
	}
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	t.recordOutcome(id, s, o)
}

// Checked records the outcome of a health check. healthy is false if the server
// reports that it is unhealthy or shutting down.
func (t *Table) Checked(id chivehillid.ServerID, healthy bool, o Outcome) {
	s := t.get(id)
	if s == nil {
		return
	}
	t.recordOutcome(id, s, o)
	served, ok := o.(Served)
	if !ok {
		return
	}
	now := t.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = now + served.Remarks.ColdLeft
	if s.coldUnknown {
		t.log.Info().Str("server", string(id)).Float64("cold-left-ms", float64(served.Remarks.ColdLeft)).Msg("place: health check confirmed the remaining cold time.")
	}
	s.coldUnknown = false
	if !healthy {
		s.ejectedUntil = max(s.ejectedUntil, now+unreachableEjectionTime)
	}
}

// recordOutcome updates the state of a server with the outcome of a request or a
// health check.
func (t *Table) recordOutcome(id chivehillid.ServerID, s *serverState, o Outcome) {
	now := t.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o := o.(type) {
	case Served:
		s.recordResponse(now, o.Remarks)
		s.recordSuccess()
	case Refused:
		s.recordResponse(now, o.Remarks)
		s.refusedUntil = now + refusalPenaltyTime
	case Failed:
		s.coldUnknown = true
		if s.recordFailure(now) {
			t.log.Warn().Str("server", string(id)).Msg("place: failing server ejected.")
		}
	case Unreachable:
		s.coldUnknown = true
		s.ejectedUntil = max(s.ejectedUntil, now+unreachableEjectionTime)
	case Moved:
		s.coldUnknown = true
		s.ejectedUntil = max(s.ejectedUntil, now+ejectionTime)
		t.log.Info().Str("server", string(id)).Msg("place: address belongs to another server.")
	case GivenUp:
	}
}

// recordResponse stores the load and the cold time that a response reports.
func (s *serverState) recordResponse(now chivehillclock.Millis, r chivehillupstream.Remarks) {
	s.lastResponseAt, s.hasResponded, s.newlyAvailable = now, true, false
	if r.ColdLeft > 0 {
		s.coldUntil = max(s.coldUntil, now+r.ColdLeft)
	}
	if !r.HasLoad {
		return
	}
	s.load, s.loadAt, s.hasLoad = r.Load, now, true
}
