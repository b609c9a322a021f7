package chivehillplace

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// Outcome is what became of a request or a health check. It is one of Served,
// Refused, Failed, Unreachable, Moved and GivenUp.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Served means that the server answered.
type Served struct{ Remarks chivehillupstream.Remarks }

// Refused means that the server did not run the request for its load.
type Refused struct{ Remarks chivehillupstream.Remarks }

// Failed means that the server broke off, answered with what is no answer, or
// answered that it failed.
type Failed struct{}

// Unreachable means that no connection could be opened.
type Unreachable struct{}

// Moved means that another server has the address.
type Moved struct{}

// GivenUp means that nothing was learnt of the server.
type GivenUp struct{}

func (Served) outcome()      {}
func (Refused) outcome()     {}
func (Failed) outcome()      {}
func (Unreachable) outcome() {}
func (Moved) outcome()       {}
func (GivenUp) outcome()     {}

// Released ends a claimed request.
func (t *Table) Released(id chivehillid.ServerID, o Outcome) {
	s := t.get(id)
	if s == nil {
		return
	}
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	t.learn(id, s, o)
}

// Checked takes over what a health check told. healthy is false if the server
// says that it is not well or leaves.
func (t *Table) Checked(id chivehillid.ServerID, healthy bool, o Outcome) {
	s := t.get(id)
	if s == nil {
		return
	}
	t.learn(id, s, o)
	served, ok := o.(Served)
	if !ok {
		return
	}
	now := t.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = now + served.Remarks.ColdLeft
	if s.doubtful {
		t.log.Info().Str("server", string(id)).Float64("cold-left-ms", float64(served.Remarks.ColdLeft)).Msg("place: coldness confirmed.")
	}
	s.doubtful = false
	if !healthy {
		s.asideUntil = max(s.asideUntil, now+unreachableTime)
	}
}

func (t *Table) learn(id chivehillid.ServerID, s *state, o Outcome) {
	now := t.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o := o.(type) {
	case Served:
		s.observe(now, o.Remarks)
		s.succeed()
	case Refused:
		s.observe(now, o.Remarks)
		s.refusedUntil = now + refusedTime
	case Failed:
		s.doubtful = true
		if s.fail(now) {
			t.log.Warn().Str("server", string(id)).Msg("place: failing server set aside.")
		}
	case Unreachable:
		s.doubtful = true
		s.asideUntil = max(s.asideUntil, now+unreachableTime)
	case Moved:
		s.doubtful = true
		s.asideUntil = max(s.asideUntil, now+setAsideTime)
		t.log.Info().Str("server", string(id)).Msg("place: address has another server.")
	case GivenUp:
	}
}

func (s *state) observe(now chivehillclock.Millis, r chivehillupstream.Remarks) {
	s.heardAt, s.heard, s.awaited = now, true, false
	if r.ColdLeft > 0 {
		s.coldUntil = max(s.coldUntil, now+r.ColdLeft)
	}
	if !r.HasLoad {
		return
	}
	s.load, s.loadAt, s.hasLoad = r.Load, now, true
}
