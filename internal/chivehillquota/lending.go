package chivehillquota

import (
	"context"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// unusedTime is how long a connection to another region stays open without requests.
const unusedTime = 5 * chivehillclock.Second

// lendLoop asks the owners of other regions for parts of the quotas that this owner
// lacks, until ctx ends.
func (s *Service) lendLoop(ctx context.Context) {
	sessions := make(map[chivehillid.RegionID]*session)
	chivehillclock.Every(ctx, LoanPeriod, func() {
		s.ownerMu.Lock()
		wants := s.owner.LoanWants(s.Clock.Now())
		s.ownerMu.Unlock()
		for _, r := range s.otherRegions(len(wants) > 0) {
			wants = s.borrow(ctx, sessions, r, wants)
		}
		s.closeUnused(sessions)
	})
	for _, p := range sessions {
		p.close()
	}
}

// otherRegions returns the other regions with hosts, if loans are wanted at all.
func (s *Service) otherRegions(wanted bool) []chivehillid.RegionID {
	var regions []chivehillid.RegionID
	if !wanted {
		return nil
	}
	for _, h := range s.View().Hosts {
		if h.Region != s.Self.Region && !slices.Contains(regions, h.Region) {
			regions = append(regions, h.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// borrow asks the owner of a region for parts and returns what is still wanted.
func (s *Service) borrow(ctx context.Context, sessions map[chivehillid.RegionID]*session, r chivehillid.RegionID, wants []chivehillwire.QuotaLoan) []chivehillwire.QuotaLoan {
	if len(wants) == 0 {
		return nil
	}
	p := s.lender(ctx, sessions, r)
	if p == nil {
		return wants
	}
	p.usedAt = s.Clock.Now()
	answer, err := p.exchange(ctx, chivehillwire.QuotaAsk{Loans: wants})
	if err != nil {
		s.Log.Info().Str("step", "borrow").Str("peer", string(p.owner)).Err(err).Msg("quota: owner of another region did not answer.")
		s.recordFailure(p.owner)
		p.close()
		delete(sessions, r)
		return wants
	}
	s.ownerMu.Lock()
	s.owner.Borrow(s.Clock.Now(), p.usedAt, p.owner, answer.Loans)
	s.ownerMu.Unlock()
	return remaining(wants, answer.Loans)
}

// remaining returns what is still wanted after loans.
func remaining(wants, lent []chivehillwire.QuotaLoan) []chivehillwire.QuotaLoan {
	var left []chivehillwire.QuotaLoan
	for _, w := range wants {
		for _, l := range lent {
			if l.Workspace == w.Workspace {
				w.Part -= l.Part
			}
		}
		if w.Part >= minLoan {
			left = append(left, w)
		}
	}
	return left
}

// lender returns a session with the owner of another region, nil if it is not reached.
func (s *Service) lender(ctx context.Context, sessions map[chivehillid.RegionID]*session, r chivehillid.RegionID) *session {
	owner, found := Choose(s.Live(), r, s.usable)
	p := sessions[r]
	if p != nil && (!found || p.owner != owner.ID) {
		p.close()
		delete(sessions, r)
		p = nil
	}
	if p != nil || !found {
		return p
	}
	p, err := s.connect(ctx, owner)
	if err != nil {
		s.recordFailure(owner.ID)
		s.Log.Info().Str("step", "connect").Str("peer", string(owner.ID)).Err(err).Msg("quota: owner of another region could not be reached.")
		return nil
	}
	sessions[r] = p
	return p
}

// closeUnused closes the connections that have not been used lately.
func (s *Service) closeUnused(sessions map[chivehillid.RegionID]*session) {
	for r, p := range sessions {
		if s.Clock.Now()-p.usedAt > unusedTime {
			p.close()
			delete(sessions, r)
		}
	}
}
