// Package chivehillstate holds the configuration and the membership that a host
// uses, and when each was last known to be current.
package chivehillstate

import (
	"sync"
	"sync/atomic"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillconfig"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillinvariant"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// State holds the configuration and the membership in force. It is safe for
// concurrent use.
type State struct {
	// view is nil until a configuration is known. Its version never decreases.
	view atomic.Pointer[chivehillconfig.View]
	// membership is nil until a membership is known. Its epoch never decreases.
	membership atomic.Pointer[chivehillwire.Membership]

	mu sync.Mutex
	// configConfirmedAt is the last time at which the configuration in force was
	// known to be the newest.
	configConfirmedAt chivehillclock.Millis
	// membershipConfirmedAt is the last time at which the membership in force was
	// known to be the newest.
	membershipConfirmedAt chivehillclock.Millis
	// epochLearnedAt is the time at which the epoch in force was first seen.
	epochLearnedAt chivehillclock.Millis
	// storeReachedAt is the start time of the last successful read of the store.
	storeReachedAt chivehillclock.Millis
	onChange       func()
}

// New returns a state without configuration and membership. onChange is called
// after each change of either.
func New(onChange func()) *State {
	return &State{
		onChange: onChange, storeReachedAt: -chivehillclock.Minute,
		configConfirmedAt: -chivehillclock.Minute, membershipConfirmedAt: -chivehillclock.Minute,
	}
}

// View returns the configuration in force, or nil.
func (s *State) View() *chivehillconfig.View {
	return s.view.Load()
}

// Version returns the version of the configuration in force, or 0.
func (s *State) Version() chivehillid.Version {
	if v := s.View(); v != nil {
		return v.Version()
	}
	return 0
}

// Membership returns the membership in force. Epoch 0 means that none is known.
func (s *State) Membership() chivehillwire.Membership {
	if m := s.membership.Load(); m != nil {
		return *m
	}
	return chivehillwire.Membership{}
}

// SetConfiguration replaces the configuration in force if the new one has a
// higher version.
func (s *State) SetConfiguration(c chivehillwire.Configuration) {
	s.mu.Lock()
	if s.view.Load() != nil && c.Version <= s.Version() {
		s.mu.Unlock()
		return
	}
	old := s.Version()
	s.view.Store(chivehillconfig.NewView(c))
	chivehillinvariant.Assert(s.Version() > old || old == 0, chivehillinvariant.VersionMonotonic,
		"version went from %d to %d", old, s.Version())
	s.mu.Unlock()
	s.onChange()
}

// SetMembership replaces the membership in force if the new one has a higher
// epoch. now is the time at which it was received.
func (s *State) SetMembership(now chivehillclock.Millis, m chivehillwire.Membership) {
	s.mu.Lock()
	if m.Epoch <= s.Membership().Epoch {
		s.mu.Unlock()
		return
	}
	s.membership.Store(&m)
	s.epochLearnedAt = now
	s.mu.Unlock()
	s.onChange()
}

// ConfirmConfiguration records that version was the newest at the given time.
// Versions other than the one in force are ignored.
func (s *State) ConfirmConfiguration(at chivehillclock.Millis, version chivehillid.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == s.Version() {
		s.configConfirmedAt = max(s.configConfirmedAt, at)
	}
}

// ConfirmMembership records that epoch was the newest at the given time. Epochs
// other than the one in force are ignored.
func (s *State) ConfirmMembership(at chivehillclock.Millis, epoch chivehillid.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch == s.Membership().Epoch {
		s.membershipConfirmedAt = max(s.membershipConfirmedAt, at)
	}
}

// StoreReached records a successful read of the store that began at the given time.
func (s *State) StoreReached(at chivehillclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeReachedAt = max(s.storeReachedAt, at)
}

// Freshness holds the times at which the state was last known to be current.
type Freshness struct {
	ConfigConfirmedAt     chivehillclock.Millis
	MembershipConfirmedAt chivehillclock.Millis
	EpochLearnedAt        chivehillclock.Millis
	StoreReachedAt        chivehillclock.Millis
}

// Freshness returns the times at which the state was last known to be current.
func (s *State) Freshness() Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Freshness{
		ConfigConfirmedAt: s.configConfirmedAt, MembershipConfirmedAt: s.membershipConfirmedAt,
		EpochLearnedAt: s.epochLearnedAt, StoreReachedAt: s.storeReachedAt,
	}
}
