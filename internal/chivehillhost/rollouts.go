package chivehillhost

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillgateway"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillrelay"
	"github.com/chivehill/chivehill/internal/chivehillrollout"
	"github.com/chivehill/chivehill/internal/chivehillwatcher"
)

const (
	// rolloutInterval is the interval at which the next action of each roll-out is decided.
	rolloutInterval = 250 * chivehillclock.Millisecond
	// recordTimeout bounds one attempt to record a state.
	recordTimeout = chivehillclock.Second
	// recordRetryDelay is the time after the start of an attempt before the next one.
	recordRetryDelay = 400 * chivehillclock.Millisecond
	// recordTurn is how much later the watching host of each further region records a state.
	recordTurn = 700 * chivehillclock.Millisecond
	// maxReportAge is the age of the newest report of a failure domain up to which the domain
	// counts as heard of.
	maxReportAge = 3500 * chivehillclock.Millisecond
)

// rollouts is what a host does for roll-outs: it gathers evidence, judges and records.
type rollouts struct {
	host     *Host
	stages   *chivehillrollout.Stages
	evidence *chivehillrollout.Evidence

	mu sync.Mutex
	// ongoing holds the roll-outs that are not final, or whose final state is to be recorded
	// again.
	ongoing map[chivehillrollout.Order]*ongoing
}

// ongoing is what a host remembers of a roll-out while it goes on.
type ongoing struct {
	judge   *chivehillrollout.Judge
	verdict chivehillrollout.Verdict
	// ruledAt is when the host learnt of the ruling on the order, 0 if there is none.
	ruledAt chivehillclock.Millis
	action  chivehillrollout.Action
	// dueSince is when action became the next one.
	dueSince chivehillclock.Millis
	// inUse is set if the target took all requests when the order was first seen.
	inUse     bool
	recording bool
	// attemptedAt is when the host last tried to record a state.
	attemptedAt chivehillclock.Millis
}

func newRollouts(h *Host) *rollouts {
	self := chivehillrollout.Source{Host: h.self.ID, Incarnation: h.self.Incarnation}
	return &rollouts{
		host: h, stages: chivehillrollout.NewStages(), evidence: chivehillrollout.NewEvidence(self),
		ongoing: make(map[chivehillrollout.Order]*ongoing),
	}
}

// trials returns what the relay exchanges for roll-outs, nil in a deployment without.
func (r *rollouts) trials() *chivehillrelay.Trials {
	if r == nil {
		return nil
	}
	return &chivehillrelay.Trials{Evidence: r.evidence, Rulings: r.stages.Rulings, Rule: r.rule}
}

// onAnswer returns the function that counts answers, nil in a deployment without roll-outs.
func (r *rollouts) onAnswer() func(chivehillgateway.Answer) {
	if r == nil {
		return nil
	}
	return r.observe
}

// observe counts an answer of a server whose service has a roll-out.
func (r *rollouts) observe(a chivehillgateway.Answer) {
	rollout, found := r.host.catalog.View().Rollouts[a.Server.Service]
	trial := a.Stage == chivehillrollout.Trial
	if !found || trial != (a.Server.Version == rollout.Target) {
		return
	}
	result := "usable"
	if a.Failed {
		result = "failed"
	}
	r.host.metrics.TrialAnswers.WithLabelValues(string(a.Server.Service), string(a.Server.Version), result).Inc()
	cell := chivehillrollout.Cell{Server: a.Server.ID, Route: a.Route, Trial: trial}
	r.evidence.Observe(r.host.clock.Now(), chivehillrollout.OrderOf(rollout), cell, a.Failed, a.Took)
}

// rule takes over a ruling, of a peer or of this host, and reports whether it is news.
func (r *rollouts) rule(ruling chivehillrollout.Ruling) bool {
	if !r.stages.Rule(ruling) {
		return false
	}
	r.host.table.Sync(r.host.catalog.View)
	r.host.log.Info().Str("service", string(ruling.Order.Service)).Str("target", string(ruling.Order.Target)).
		Bool("good", ruling.Good).Str("reason", ruling.Reason).Msg("rollout: version was ruled on.")
	return true
}

// run decides and carries out the next action of each roll-out until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	chivehillclock.Every(ctx, rolloutInterval, func() { r.step(ctx) })
}

func (r *rollouts) step(ctx context.Context) {
	now := r.host.clock.Now()
	view := r.host.catalog.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := make(map[chivehillrollout.Order]*ongoing)
	var orders []chivehillrollout.Order
	for _, rollout := range view.Rollouts {
		order := chivehillrollout.OrderOf(rollout)
		if rollout.State.Final() && r.stages.State(rollout) == rollout.State {
			continue
		}
		kept[order] = r.ongoing[order]
		if kept[order] == nil {
			inUse := r.stages.Stage(rollout.Service, rollout.Target) == chivehillrollout.Normal
			kept[order] = &ongoing{judge: chivehillrollout.NewJudge(), dueSince: now, inUse: inUse}
			r.logOrder(rollout)
		}
		orders = append(orders, order)
	}
	r.ongoing = kept
	r.evidence.Retain(now, orders)
	for _, rollout := range view.Rollouts {
		if o := kept[chivehillrollout.OrderOf(rollout)]; o != nil {
			r.advance(ctx, now, view, rollout, o)
		}
	}
}

func (r *rollouts) logOrder(rollout chivehillcatalog.Rollout) {
	r.host.log.Info().Str("service", string(rollout.Service)).Str("target", string(rollout.Target)).
		Float64("duration-ms", float64(rollout.Duration)).Str("state", string(rollout.State)).Msg("rollout: ordered.")
}

// advance decides the next action of a roll-out and carries it out if that is up to this host.
// The caller holds r.mu.
func (r *rollouts) advance(ctx context.Context, now chivehillclock.Millis, view chivehillcatalog.View, rollout chivehillcatalog.Rollout, o *ongoing) {
	order := chivehillrollout.OrderOf(rollout)
	totals := r.evidence.Totals(order)
	o.verdict = o.judge.Judge(now, totals)
	ruling, ruled := r.stages.Ruling(order)
	if ruled && o.ruledAt == 0 {
		o.ruledAt = now
	}
	action := chivehillrollout.Next(chivehillrollout.Situation{
		Age: r.evidence.Age(now, order), Duration: rollout.Duration, Recorded: rollout.State, Known: r.stages.State(rollout),
		Ruled: ruled, Good: ruling.Good, RuledFor: now - o.ruledAt, Verdict: o.verdict,
		InUse:   o.inUse,
		Covered: totals.CoversRoutes() && r.heardOfAll(now, view, order),
	})
	if action != o.action {
		o.action, o.dueSince = action, now
	}
	watching := r.host.relay.Watching()
	switch action {
	case chivehillrollout.Wait:
	case chivehillrollout.Halt:
		if watching || r.host.relay.Leading() {
			r.decide(now, rollout, o, false)
		}
	case chivehillrollout.Promote:
		if watching && r.isTurn(now, view, rollout, o) {
			r.decide(now, rollout, o, true)
		}
	case chivehillrollout.RecordRunning, chivehillrollout.RecordDone, chivehillrollout.RecordRolledBack:
		if watching && !o.recording && now-o.attemptedAt >= recordRetryDelay && r.isTurn(now, view, rollout, o) {
			o.recording, o.attemptedAt = true, now
			r.host.tasks.Go(func() { r.record(ctx, rollout, o, action) })
		}
	}
}

// decide rules on a version under trial and tells the other hosts.
func (r *rollouts) decide(now chivehillclock.Millis, rollout chivehillcatalog.Rollout, o *ongoing, good bool) {
	ruling := chivehillrollout.Ruling{Order: chivehillrollout.OrderOf(rollout), Good: good, Reason: o.verdict.String()}
	if !r.rule(ruling) {
		return
	}
	o.ruledAt = now
	r.host.relay.ReportRuling(ruling)
	r.count(rollout, o.action)
	r.logEvidence(rollout, o).Str("action", string(o.action)).Msg("rollout: decided.")
}

func (r *rollouts) count(rollout chivehillcatalog.Rollout, action chivehillrollout.Action) {
	r.host.metrics.RolloutActions.WithLabelValues(string(rollout.Service), string(action)).Inc()
}

func (r *rollouts) logEvidence(rollout chivehillcatalog.Rollout, o *ongoing) *zerolog.Event {
	v := o.verdict
	return r.host.log.Info().Str("service", string(rollout.Service)).Str("target", string(rollout.Target)).
		Str("finding", string(v.Finding)).Str("sign", v.Sign).Str("route", string(v.Route)).
		Float64("trial-rate", v.Trial).Float64("control-rate", v.Control).Float64("strength", v.Strength).
		Int("answers", v.Answers).Int("servers", v.Servers).
		Float64("age-ms", float64(r.evidence.Age(r.host.clock.Now(), chivehillrollout.OrderOf(rollout))))
}

// record writes a state to the store. After a conflict it reads the records again.
func (r *rollouts) record(ctx context.Context, rollout chivehillcatalog.Rollout, o *ongoing, action chivehillrollout.Action) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout.Duration())
	defer cancel()
	state, _ := action.State()
	written, err := r.host.platform.Store.PutRolloutState(ctx, rollout, state)
	switch {
	case err == nil:
		r.count(rollout, action)
		r.host.learn(chivehillcatalog.Rollouts, chivehillcatalog.Update{Records: []chivehillcatalog.Record{written}})
	case errors.Is(err, chivehillwatcher.ErrConflict):
		if update, listErr := r.host.platform.Store.List(ctx, chivehillcatalog.Rollouts, func() {}); listErr == nil {
			r.host.learn(chivehillcatalog.Rollouts, update)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.recording = false
	r.logEvidence(rollout, o).Str("action", string(action)).Str("peer", "store").Err(err).Msg("rollout: attempted to record a state.")
}

// isTurn reports whether this host may act now. The watching hosts of the regions act one
// after the other, so that only one does if all are well.
func (r *rollouts) isTurn(now chivehillclock.Millis, view chivehillcatalog.View, rollout chivehillcatalog.Rollout, o *ongoing) bool {
	regions := make(map[chivehillid.RegionID]bool)
	for _, e := range view.Hosts {
		regions[e.Region] = true
	}
	rank := func(region chivehillid.RegionID) uint64 {
		return xxhash.Sum64String(string(rollout.Service) + "/" + string(region))
	}
	before := 0
	for region := range regions {
		if cmp.Less(rank(region), rank(r.host.self.Region)) {
			before++
		}
	}
	return now-o.dueSince >= chivehillclock.Millis(before)*recordTurn
}

// heardOfAll reports whether each failure domain with a host has reported lately.
func (r *rollouts) heardOfAll(now chivehillclock.Millis, view chivehillcatalog.View, order chivehillrollout.Order) bool {
	heard := make(map[chivehillid.DomainID]bool)
	for id := range r.evidence.HeardWithin(now, order, maxReportAge) {
		heard[view.Hosts[id].Domain] = true
	}
	for _, e := range view.Hosts {
		if !heard[e.Domain] {
			return false
		}
	}
	return true
}

// learn merges an update into the catalog and tells the peers.
func (h *Host) learn(c chivehillcatalog.Collection, u chivehillcatalog.Update) {
	h.relay.Publish(c, h.catalog.Apply(c, u))
}

// RolloutStatus describes a roll-out for operators.
type RolloutStatus struct {
	Service  chivehillid.ServiceID         `json:"service"`
	Target   chivehillid.SoftwareVersion   `json:"target"`
	State    chivehillcatalog.RolloutState `json:"state"`
	Age      chivehillclock.Millis         `json:"age-ms"`
	Duration chivehillclock.Millis         `json:"duration-ms"`
	Next     chivehillrollout.Action       `json:"next"`
	Ruling   string                        `json:"ruling"`
	Verdict  string                        `json:"verdict"`
}

// status describes all roll-outs that this host knows, by service.
func (r *rollouts) status() []RolloutStatus {
	if r == nil {
		return []RolloutStatus{}
	}
	now := r.host.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := []RolloutStatus{}
	for _, rollout := range r.host.catalog.View().Rollouts {
		order := chivehillrollout.OrderOf(rollout)
		s := RolloutStatus{Service: rollout.Service, Target: rollout.Target, State: r.stages.State(rollout), Duration: rollout.Duration, Next: chivehillrollout.Wait}
		if ruling, found := r.stages.Ruling(order); found {
			s.Ruling = ruling.Reason
		}
		if o := r.ongoing[order]; o != nil {
			s.Age, s.Next, s.Verdict = r.evidence.Age(now, order), o.action, o.verdict.String()
		}
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(a, b RolloutStatus) int { return cmp.Compare(a.Service, b.Service) })
	return statuses
}
