package chivehillsim

import (
	"fmt"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillkey"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillregion"
)

// serve handles a request that arrives at a host, as the entry does. key is
// empty for an idempotent request. forwarded is set for a request that another
// host passed on.
func (h *host) serve(c *call, send string, key string, forwarded bool, reply func(answer)) {
	early := chivehillreason.NotRun
	var parsed chivehillkey.Key
	if key != "" {
		early = chivehillreason.Unknown
		parsed, _ = chivehillkey.Parse(key)
	}
	view := h.view()
	if view == nil {
		reply(answer{early, chivehillreason.ConfigMissing})
		return
	}
	c.regions = view.Regions("run", c.tenant)
	if h.world.off == RegionCheck {
		c.regions = chivehillregion.Everywhere()
	}
	if !c.regions.Allows(h.end.place.region) {
		reply(answer{early, chivehillreason.RegionForbidden})
		return
	}
	if key == "" {
		if h.suspect(c) {
			reply(answer{chivehillreason.NotRun, chivehillreason.Suspect})
			return
		}
		h.count(reply, func(done func(answer)) { h.begin(c, send, done) })
		return
	}
	if h.world.off == KeyOwnership {
		h.count(reply, func(done func(answer)) { h.begin(c, key, done) })
		return
	}
	if !h.cluster.table.Owns(parsed) {
		h.serveForeign(c, send, parsed, forwarded, reply)
		return
	}
	h.serveKeyed(c, parsed, reply)
}

// count keeps the host from leaving while a request is in flight.
func (h *host) count(reply func(answer), do func(done func(answer))) {
	c := h.cluster
	c.attempts++
	do(func(a answer) {
		c.attempts--
		reply(a)
	})
}

func (h *host) serveKeyed(c *call, key chivehillkey.Key, reply func(answer)) {
	cluster := h.cluster
	text := key.String()
	switch claim := cluster.table.Claim(key, 0, c.regions.Restricted()).(type) {
	case chivehillkey.Refused:
		reply(answer{claim.Refusal.Outcome, claim.Refusal.Reason})
	case chivehillkey.Repeat:
		select {
		case <-claim.Entry.Ended():
			a := cluster.table.Answer(key, claim.Entry)
			reply(answer{a.Outcome, a.Reason})
		default:
			cluster.waiting[text] = append(cluster.waiting[text], reply)
		}
	case chivehillkey.First:
		cluster.waiting[text] = append(cluster.waiting[text], reply)
		end := func(a answer) {
			cluster.table.End(key, claim.Entry, chivehillkey.Answer{Outcome: a.outcome, Reason: a.reason})
			for _, waiter := range cluster.waiting[text] {
				waiter(a)
			}
			delete(cluster.waiting, text)
		}
		if h.suspect(c) {
			end(answer{chivehillreason.NotRun, chivehillreason.Suspect})
			return
		}
		h.count(end, func(done func(answer)) { h.begin(c, text, done) })
	}
}

// serveForeign passes a request on to the host that owns its key.
func (h *host) serveForeign(c *call, send string, key chivehillkey.Key, forwarded bool, reply func(answer)) {
	if a, known := h.cluster.adopted.Answer(h.world.engine.now, key); known {
		reply(answer{a.Outcome, a.Reason})
		return
	}
	owner, found := h.member(key)
	if !found || forwarded || !c.regions.Allows(h.world.regionOfHost(owner)) {
		reply(answer{chivehillreason.Unknown, chivehillreason.KeyOwnerGone})
		return
	}
	h.world.checkBound(c, h.world.regionOfHost(owner), "forward")
	answered := false
	back := func(a answer) {
		if !answered {
			answered = true
			reply(a)
		}
	}
	life := h.life
	peer := h.world.host(owner)
	h.message(owner, messageBytes, func(to *host) {
		if to.cluster.closed {
			return
		}
		to.serve(c, send, key.String(), true, func(a answer) {
			h.world.network.send(peer.end, h.end, messageBytes, func() { h.act(life, func() { back(a) }) })
		})
	})
	h.later(c.deadline-h.world.engine.now, func() {
		back(answer{chivehillreason.Unknown, chivehillreason.KeyOwnerUnreachable})
	})
}

// outcomes collects the answers to one key or sending.
type outcomes struct {
	answers []answer
}

// driver sends calls and resends them, as callers do.
type driver struct {
	world *world
	// answers holds the answers by key or sending.
	answers map[string]*outcomes
	// calls counts calls by their last answer.
	calls map[chivehillreason.Outcome]int
	total int
	open  int
	times []chivehillclock.Millis
	// crashes counts servers broken by each call.
	crashes map[int]int
	// ended is called at the end of each call, nil for none.
	ended func(*call, answer)
}

const (
	callDeadline = 800 * chivehillclock.Millisecond
	// resendAfter is the time after which a caller sends again through another host.
	resendAfter = 300 * chivehillclock.Millisecond
	maxResends  = 4
	resendPause = 20 * chivehillclock.Millisecond
)

// start begins a call.
func (d *driver) start(c *call) {
	d.total++
	d.open++
	s := &sending{driver: d, call: c}
	s.next()
}

// sending is a call with its resends.
type sending struct {
	driver *driver
	call   *call
	key    string
	sends  int
	ended  bool
	// round numbers the sends, so that a late timer does nothing.
	round int
}

// next sends through a random live host.
func (s *sending) next() {
	w := s.driver.world
	if s.ended {
		return
	}
	hosts := w.liveHosts(s.call.origin.region)
	if s.sends >= maxResends || len(hosts) == 0 {
		s.end(answer{outcome: chivehillreason.Unknown})
		return
	}
	h := hosts[w.engine.random.IntN(len(hosts))]
	s.sends++
	s.round++
	round := s.round
	s.call.deadline = w.engine.now + callDeadline
	if !s.call.idempotent && s.key == "" && h.cluster != nil && !h.paused {
		s.key = fmt.Sprintf("%sc%d-%d", h.cluster.table.Prefix(w.engine.now), s.call.id, s.sends)
	}
	name := s.key
	if s.call.idempotent {
		name = fmt.Sprintf("%d/%d", s.call.id, s.sends)
	}
	s.transmit(h, name, round)
	w.engine.after(resendAfter, func() {
		if s.round == round && !s.ended {
			s.next()
		}
	})
	const duplicateShare = 0.02
	if !s.call.idempotent && w.engine.random.Float64() < duplicateShare {
		s.transmit(hosts[w.engine.random.IntN(len(hosts))], name, round)
	}
}

// transmit sends once to a host.
func (s *sending) transmit(h *host, name string, round int) {
	w := s.driver.world
	copied := *s.call
	if !s.call.idempotent && name == "" {
		return
	}
	life, key := h.life, s.key
	caller := end{name: "callers", place: s.call.origin}
	w.network.send(caller, end{name: h.end.name, place: s.call.origin}, 0, func() {
		if h.dead || h.cluster == nil || h.cluster.closed {
			w.engine.after(resendPause, func() { s.lost(round) })
			return
		}
		h.act(life, func() {
			h.serve(&copied, name, key, false, func(a answer) {
				w.engine.after(delayCaller, func() { s.answered(name, a, round) })
			})
		})
	})
}

// lost handles a refused connection.
func (s *sending) lost(round int) {
	if s.round == round && !s.ended {
		s.next()
	}
}

func (s *sending) answered(name string, a answer, round int) {
	d := s.driver
	if d.answers[name] == nil {
		d.answers[name] = &outcomes{}
	}
	d.answers[name].answers = append(d.answers[name].answers, a)
	if s.ended || round != s.round {
		return
	}
	switch {
	case a.outcome == chivehillreason.Done, a.reason == chivehillreason.Suspect, a.reason == chivehillreason.RegionForbidden:
		s.end(a)
	case a.outcome == chivehillreason.NotRun:
		s.key = ""
		d.world.engine.after(resendPause, s.next)
	case a.reason == chivehillreason.KeyOwnerGone, a.reason == chivehillreason.ServerBroke && !s.call.idempotent:
		s.end(a)
	default:
		d.world.engine.after(resendPause, s.next)
	}
}

func (s *sending) end(a answer) {
	if s.ended {
		return
	}
	s.ended = true
	s.driver.open--
	s.driver.calls[a.outcome]++
	if s.driver.ended != nil {
		s.driver.ended(s.call, a)
	}
	if a.outcome == chivehillreason.Done {
		s.driver.times = append(s.driver.times, s.driver.world.engine.now-s.call.sentAt)
	}
}

// boundTenant is the tenant whose requests are bound to one region.
const (
	boundTenant chivehillid.TenantID = "bound"
	boundRegion chivehillid.RegionID = "west"
)

// checkBound records a violation if a bound request goes elsewhere. It knows
// the rule by itself, not from the hosts.
func (w *world) checkBound(c *call, region chivehillid.RegionID, step string) {
	if c.tenant == boundTenant && region != boundRegion {
		w.violate("home-region", fmt.Sprintf("%s of a bound request to %s", step, region))
	}
}
