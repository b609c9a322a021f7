package chivehillrollout

import (
	"maps"
	"slices"
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Stage states which requests the servers of a version may get.
type Stage int

// The stages.
const (
	// Normal servers get all requests.
	Normal Stage = iota
	// Trial servers get a share of the requests.
	Trial
	// Withheld servers get nothing.
	Withheld
)

// Ruling is what was found of a version under trial. A bad one outranks a good one.
type Ruling struct {
	Order Order
	// Good is set if the version takes over all requests, else it gets no more.
	Good bool
	// Reason is for operators.
	Reason string
}

// maxRulings is the number of rulings and final states that are remembered at most.
const maxRulings = 256

// Stages decides the stage of each version of each service, from the listed servers, the
// orders and what was found of their versions. It is safe for concurrent use.
type Stages struct {
	mu sync.Mutex
	// established holds the versions of each service that take all requests, as far as no
	// order says otherwise.
	established map[chivehillid.ServiceID]map[chivehillid.SoftwareVersion]bool
	// rulings and finals remember what was found and recorded, also if the store comes back
	// from a copy that lacks it. Of orders that are not listed any more they are kept as long
	// as there is room.
	rulings map[Order]Ruling
	finals  map[Order]chivehillcatalog.RolloutState
	// listed holds the orders of the last view in which they were listed, nil before that.
	listed map[Order]bool
	stages map[chivehillid.ServiceID]map[chivehillid.SoftwareVersion]Stage
}

// NewStages returns stages without any version.
func NewStages() *Stages {
	return &Stages{
		established: make(map[chivehillid.ServiceID]map[chivehillid.SoftwareVersion]bool),
		rulings:     make(map[Order]Ruling), finals: make(map[Order]chivehillcatalog.RolloutState),
	}
}

// Rule records a ruling and reports whether it is news. A good ruling does not replace a bad
// one, nor a ruling a final state. The stages change with the next Update.
func (s *Stages) Rule(r Ruling) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.rulings[r.Order]
	if found && (!old.Good || r.Good) || s.finals[r.Order].Final() {
		return false
	}
	if !found && !makeRoom(s.rulings, s.listed) {
		return false
	}
	s.rulings[r.Order] = r
	return true
}

// makeRoom reports whether there is room to remember something of one more order. If there
// is none, it forgets the orders that are not listed any more.
func makeRoom[V any](remembered map[Order]V, listed map[Order]bool) bool {
	if len(remembered) >= maxRulings && listed != nil {
		maps.DeleteFunc(remembered, func(o Order, _ V) bool { return !listed[o] })
	}
	return len(remembered) < maxRulings
}

// Rulings returns the rulings on orders that are not final.
func (s *Stages) Rulings() []Ruling {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Collect(maps.Values(s.rulings)), func(r Ruling) bool { return s.finals[r.Order].Final() })
}

// Ruling returns the ruling on an order.
func (s *Stages) Ruling(o Order) (ruling Ruling, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ruling, found = s.rulings[o]
	return ruling, found
}

// State returns the state of a roll-out. A final state that was seen before holds, also if
// the record no longer shows it.
func (s *Stages) State(r chivehillcatalog.Rollout) chivehillcatalog.RolloutState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateLocked(r)
}

func (s *Stages) stateLocked(r chivehillcatalog.Rollout) chivehillcatalog.RolloutState {
	if final, found := s.finals[OrderOf(r)]; found {
		return final
	}
	return r.State
}

// Stage returns the stage of a version of a service. One that was not in the last view is
// withheld.
func (s *Stages) Stage(service chivehillid.ServiceID, version chivehillid.SoftwareVersion) Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	stage, found := s.stages[service][version]
	if !found {
		return Withheld
	}
	return stage
}

// Update computes the stages anew from a view of the catalog.
func (s *Stages) Update(v chivehillcatalog.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.RolloutsSynced {
		s.listed = make(map[Order]bool, len(v.Rollouts))
		for _, r := range v.Rollouts {
			s.listed[OrderOf(r)] = true
		}
	}
	s.rememberFinals(v.Rollouts)
	s.stages = make(map[chivehillid.ServiceID]map[chivehillid.SoftwareVersion]Stage)
	for service, counts := range countVersions(v.Servers) {
		s.stages[service] = s.stagesOf(service, counts, v)
	}
}

func (s *Stages) rememberFinals(rollouts map[chivehillid.ServiceID]chivehillcatalog.Rollout) {
	for _, r := range rollouts {
		if !r.State.Final() || s.finals[OrderOf(r)].Final() || !makeRoom(s.finals, s.listed) {
			continue
		}
		s.finals[OrderOf(r)] = r.State
	}
}

// countVersions returns the number of servers by service and version.
func countVersions(servers map[chivehillid.ServerID]chivehillcatalog.Server) map[chivehillid.ServiceID]map[chivehillid.SoftwareVersion]int {
	counts := make(map[chivehillid.ServiceID]map[chivehillid.SoftwareVersion]int)
	for _, e := range servers {
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[chivehillid.SoftwareVersion]int)
		}
		counts[e.Service][e.Version]++
	}
	return counts
}

// stagesOf returns the stages of the versions of one service. The caller holds s.mu.
func (s *Stages) stagesOf(service chivehillid.ServiceID, counts map[chivehillid.SoftwareVersion]int, v chivehillcatalog.View) map[chivehillid.SoftwareVersion]Stage {
	stages := make(map[chivehillid.SoftwareVersion]Stage, len(counts))
	if !v.RolloutsSynced {
		for version := range counts {
			stages[version] = Withheld
			if len(counts) == 1 {
				stages[version] = Normal
			}
		}
		return stages
	}
	established := s.establish(service, counts, v)
	rollout, ordered := v.Rollouts[service]
	for version := range counts {
		switch {
		case ordered && version == rollout.Target:
			stages[version] = s.targetStage(rollout, established)
		case established[version]:
			stages[version] = Normal
		case ordered && s.takesOver(rollout):
			stages[version] = Withheld
		default:
			stages[version] = Trial
		}
	}
	return stages
}

// targetStage returns the stage of an order's target. The caller holds s.mu.
func (s *Stages) targetStage(r chivehillcatalog.Rollout, established map[chivehillid.SoftwareVersion]bool) Stage {
	switch {
	case s.isBad(r):
		return Withheld
	case established[r.Target]:
		return Normal
	}
	return Trial
}

// isBad reports whether the target of an order must get nothing. The caller holds s.mu.
func (s *Stages) isBad(r chivehillcatalog.Rollout) bool {
	state := s.stateLocked(r)
	ruling, found := s.rulings[OrderOf(r)]
	return state == chivehillcatalog.RolloutRolledBack || found && !ruling.Good && state != chivehillcatalog.RolloutDone
}

// takesOver reports whether the target of an order takes all requests. The caller holds s.mu.
func (s *Stages) takesOver(r chivehillcatalog.Rollout) bool {
	ruling, found := s.rulings[OrderOf(r)]
	state := s.stateLocked(r)
	return state == chivehillcatalog.RolloutDone || found && ruling.Good && !state.Final()
}

// establish returns the established versions of a service, and remembers them as far as they
// do not depend on an order that is not final. The caller holds s.mu.
func (s *Stages) establish(service chivehillid.ServiceID, counts map[chivehillid.SoftwareVersion]int, v chivehillcatalog.View) map[chivehillid.SoftwareVersion]bool {
	rollout, ordered := v.Rollouts[service]
	if ordered && s.takesOver(rollout) {
		established := map[chivehillid.SoftwareVersion]bool{rollout.Target: true}
		if s.stateLocked(rollout) == chivehillcatalog.RolloutDone {
			s.established[service] = established
		}
		return established
	}
	known := s.established[service]
	if ordered && known[rollout.Target] && (s.isBad(rollout) || len(counts) > 1) {
		known = maps.Clone(known)
		delete(known, rollout.Target)
	}
	if !listsAny(counts, known) {
		known = s.firstEstablished(known, counts, rollout, ordered)
	}
	s.established[service] = known
	return known
}

// firstEstablished returns the versions that are taken for established where none of those
// known is listed: all but the target of an order or, if there is no other, the target
// itself, unless it is bad. Where versions were known before, it is the one with most servers.
// The caller holds s.mu.
func (s *Stages) firstEstablished(known map[chivehillid.SoftwareVersion]bool, counts map[chivehillid.SoftwareVersion]int, rollout chivehillcatalog.Rollout, ordered bool) map[chivehillid.SoftwareVersion]bool {
	var candidates []chivehillid.SoftwareVersion
	for version := range counts {
		if !ordered || version != rollout.Target {
			candidates = append(candidates, version)
		}
	}
	if len(candidates) == 0 && !s.isBad(rollout) {
		candidates = slices.Collect(maps.Keys(counts))
	}
	if len(known) > 0 && len(candidates) > 1 {
		slices.Sort(candidates)
		candidates = []chivehillid.SoftwareVersion{slices.MaxFunc(candidates, func(a, b chivehillid.SoftwareVersion) int { return counts[a] - counts[b] })}
	}
	established := make(map[chivehillid.SoftwareVersion]bool)
	for _, version := range candidates {
		established[version] = true
	}
	return established
}

// listsAny reports whether a server of one of the versions is listed.
func listsAny(counts map[chivehillid.SoftwareVersion]int, versions map[chivehillid.SoftwareVersion]bool) bool {
	for version := range versions {
		if counts[version] > 0 {
			return true
		}
	}
	return false
}
