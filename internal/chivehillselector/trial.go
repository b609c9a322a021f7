package chivehillselector

import (
	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillrollout"
)

const (
	// trialShareUsed is the part of the permitted share that requests under trial use, so that
	// the bound holds even where some normal requests do not reach their server.
	trialShareUsed = 0.9
	// maxTrialTokens is how many requests under trial one host may send at once to a service.
	maxTrialTokens = 4
	percent        = 100
)

// trials holds the stages of versions and this host's shares of the requests under trial. Its
// fields are set before the table is used, or under the table's lock.
type trials struct {
	// stages is nil in a deployment without roll-outs, where all servers stay normal.
	stages *chivehillrollout.Stages
	// share is the part of a service's requests that may reach a version under trial.
	share float64
	// shares holds what this host may send, for each service with a version under trial.
	shares map[chivehillid.ServiceID]*chivehillbudget.Share
}

// UseTrials makes the table hold the stages of versions. It is called before the table is used.
func (t *Table) UseTrials(stages *chivehillrollout.Stages, share float64) {
	t.trials.stages, t.trials.share = stages, share
}

// assign sets the stage of each server, chooses the servers whose answers are compared, and
// opens a share for each service that has a version under trial.
func (t *trials) assign(v chivehillcatalog.View, servers map[chivehillid.ServerID]*serverState) {
	if t.stages == nil {
		return
	}
	t.stages.Update(v)
	type group struct {
		service chivehillid.ServiceID
		stage   chivehillrollout.Stage
	}
	stageOf := make(map[chivehillid.ServerID]chivehillrollout.Stage, len(servers))
	groups := make(map[group][]chivehillcatalog.Server)
	shares := make(map[chivehillid.ServiceID]*chivehillbudget.Share)
	for id, e := range v.Servers {
		stage := t.stages.Stage(e.Service, e.Version)
		stageOf[id] = stage
		if !e.Draining && !v.Withdrawn[e.Domain] {
			groups[group{e.Service, stage}] = append(groups[group{e.Service, stage}], e)
		}
		if stage == chivehillrollout.Trial && shares[e.Service] == nil {
			shares[e.Service] = t.shareOf(e.Service)
		}
	}
	t.shares = shares
	sampled := make(map[chivehillid.ServerID]bool)
	for g, members := range groups {
		if shares[g.service] == nil || g.stage == chivehillrollout.Withheld {
			continue
		}
		for id := range chivehillrollout.Sample(members, t.share) {
			sampled[id] = true
		}
	}
	for id, s := range servers {
		s.setStage(stageOf[id], sampled[id])
	}
}

// shareOf returns the share that is open for a service, or a new one without tokens.
func (t *trials) shareOf(service chivehillid.ServiceID) *chivehillbudget.Share {
	if open := t.shares[service]; open != nil {
		return open
	}
	return chivehillbudget.NewEmptyShare(t.share*trialShareUsed*percent, maxTrialTokens)
}

func (s *serverState) setStage(stage chivehillrollout.Stage, sampled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage, s.sampled = stage, sampled
}

// spend reports whether a request may be sent to a server as far as its stage goes. A request
// under trial takes a token, a normal one adds a part of a token. The caller holds the table's
// and the server's lock.
func (t *trials) spend(s *serverState) bool {
	share := t.shares[s.entry.Service]
	switch s.stage {
	case chivehillrollout.Withheld:
		return false
	case chivehillrollout.Trial:
		return share != nil && share.Take()
	case chivehillrollout.Normal:
	}
	if share != nil {
		share.Deposit()
	}
	return true
}

// wants reports whether servers of a stage are wanted.
func (r Requirements) wants(stage chivehillrollout.Stage) bool {
	if r.Trial {
		return stage == chivehillrollout.Trial
	}
	return stage == chivehillrollout.Normal
}

// admits reports whether a server's stage permits it as a candidate. Requests under trial go
// to the servers whose answers are compared, and once to each other one, by the host that is
// responsible for it, so that none stays unused. The caller holds the server's lock.
func (t *Table) admits(requirements Requirements, s *serverState) bool {
	if !requirements.wants(s.stage) {
		return false
	}
	return !requirements.Trial || s.sampled || !s.used && t.share(s.entry, 1) > 0
}

// MayTry reports whether a request of a service may go to a version under trial.
func (t *Table) MayTry(service chivehillid.ServiceID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	share := t.trials.shares[service]
	return share != nil && share.Open()
}

// IsWarm reports whether a server is known not to be cold.
func (t *Table) IsWarm(id chivehillid.ServerID) bool {
	s := t.get(id)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.mayBeCold(t.clock.Now())
}
