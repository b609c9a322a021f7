package chivehillsim

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillnote"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// store is a fake of the platform's store: one configuration, one membership.
type store struct {
	world    *world
	endpoint endpoint
	// down makes the store answer nothing.
	down bool
	// delay is added to each answer.
	delay chivehillclock.Millis
	// loseAnswers makes writes take effect without an answer.
	loseAnswers   bool
	configuration chivehillwire.Configuration
	membership    chivehillwire.Membership
	reads, writes int
}

// serve runs do at the store for a host and passes the answer back.
func (s *store) serve(h *host, write bool, do func() func()) {
	w := s.world
	generation := h.generation
	w.network.send(h.endpoint, s.endpoint, 0, func() {
		if s.down {
			return
		}
		if write {
			s.writes++
		} else {
			s.reads++
		}
		answer := do()
		if write && s.loseAnswers {
			return
		}
		w.engine.after(s.delay, func() {
			w.network.send(s.endpoint, h.endpoint, 0, func() { h.execute(generation, answer) })
		})
	})
}

// read passes both objects to a host.
func (s *store) read(h *host, take func(chivehillwire.Configuration, chivehillwire.Membership)) {
	s.serve(h, false, func() func() {
		c, m := s.configuration, s.membership
		return func() { take(c, m) }
	})
}

// changeMembership applies a change in one conditional update.
func (s *store) changeMembership(h *host, change func(chivehillwire.Membership) (chivehillwire.Membership, bool)) {
	s.serve(h, true, func() func() {
		next, needed := change(s.membership)
		if needed {
			s.membership = next
		}
		m := s.membership
		return func() { h.cluster.state.SetMembership(h.world.engine.now, m) }
	})
}

// commit applies a note in one conditional update.
func (s *store) commit(h *host, n chivehillwire.Note, done func(chivehillwire.Configuration, error)) {
	s.serve(h, true, func() func() {
		if _, applied := chivehillnote.AppliedVersion(s.configuration, n.Note); applied {
			c := s.configuration
			return func() { done(c, nil) }
		}
		next, err := chivehillnote.Apply(s.configuration, n, simTopology)
		if err == nil {
			s.configuration = next
		}
		return func() { done(next, err) }
	})
}
