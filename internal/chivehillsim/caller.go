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
func (h *host) serve(c *call, sendID string, key string, forwarded bool, reply func(answer)) {
	refusalOutcome := chivehillreason.NotRun
	var parsed chivehillkey.Key
	if key != "" {
		refusalOutcome = chivehillreason.Unknown
		parsed, _ = chivehillkey.Parse(key)
	}
	view := h.view()
	if view == nil {
		reply(answer{refusalOutcome, chivehillreason.ConfigMissing})
		return
	}
	c.regions = view.Regions("run", c.tenant)
	if h.world.disabled == RegionCheck {
		c.regions = chivehillregion.Everywhere()
	}
	if !c.regions.Allows(h.endpoint.location.region) {
		reply(answer{refusalOutcome, chivehillreason.RegionForbidden})
		return
	}
	if key == "" {
		if h.isSuspect(c) {
			reply(answer{chivehillreason.NotRun, chivehillreason.Suspect})
			return
		}
		h.trackInFlight(reply, func(done func(answer)) { h.startRequest(c, sendID, done) })
		return
	}
	if h.world.disabled == KeyOwnership {
		h.trackInFlight(reply, func(done func(answer)) { h.startRequest(c, key, done) })
		return
	}
	if !h.cluster.table.Owns(parsed) {
		h.forwardToOwner(c, sendID, parsed, forwarded, reply)
		return
	}
	h.serveKeyed(c, parsed, reply)
}

// trackInFlight counts a request in flight, so that the host does not leave
// before it is answered.
func (h *host) trackInFlight(reply func(answer), do func(done func(answer))) {
	c := h.cluster
	c.inFlight++
	do(func(a answer) {
		c.inFlight--
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
		if h.isSuspect(c) {
			end(answer{chivehillreason.NotRun, chivehillreason.Suspect})
			return
		}
		h.trackInFlight(end, func(done func(answer)) { h.startRequest(c, text, done) })
	}
}

// forwardToOwner forwards a request to the host that owns its key.
func (h *host) forwardToOwner(c *call, sendID string, key chivehillkey.Key, forwarded bool, reply func(answer)) {
	if a, known := h.cluster.adopted.Answer(h.world.engine.now, key); known {
		reply(answer{a.Outcome, a.Reason})
		return
	}
	owner, found := h.keyOwner(key)
	if !found || forwarded || !c.regions.Allows(h.world.regionOfHost(owner)) {
		reply(answer{chivehillreason.Unknown, chivehillreason.KeyOwnerGone})
		return
	}
	h.world.checkBound(c, h.world.regionOfHost(owner), "forward")
	answered := false
	replyOnce := func(a answer) {
		if !answered {
			answered = true
			reply(a)
		}
	}
	generation := h.generation
	peer := h.world.host(owner)
	h.sendToPeer(owner, messageBytes, func(to *host) {
		if to.cluster.closed {
			return
		}
		to.serve(c, sendID, key.String(), true, func(a answer) {
			h.world.network.send(peer.endpoint, h.endpoint, messageBytes, func() { h.execute(generation, func() { replyOnce(a) }) })
		})
	})
	h.later(c.deadline-h.world.engine.now, func() {
		replyOnce(answer{chivehillreason.Unknown, chivehillreason.KeyOwnerUnreachable})
	})
}

// answerList collects the answers to one key or transmission.
type answerList struct {
	answers []answer
}

// generator is the load generator: it sends calls and retries them, as callers do.
type generator struct {
	world *world
	// answers holds the answers by key or transmission.
	answers map[string]*answerList
	// calls counts calls by their last answer.
	calls     map[chivehillreason.Outcome]int
	total     int
	open      int
	latencies []chivehillclock.Millis
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

// start starts a call.
func (d *generator) start(c *call) {
	d.total++
	d.open++
	s := &clientCall{generator: d, call: c}
	s.send()
}

// clientCall is a call with its retries.
type clientCall struct {
	generator *generator
	call      *call
	key       string
	sendCount int
	ended     bool
	// attempt numbers the transmissions, so that a stale timer has no effect.
	attempt int
}

// send transmits the call through a random live host.
func (s *clientCall) send() {
	w := s.generator.world
	if s.ended {
		return
	}
	hosts := w.liveHosts(s.call.origin.region)
	if s.sendCount >= maxResends || len(hosts) == 0 {
		s.end(answer{outcome: chivehillreason.Unknown})
		return
	}
	h := hosts[w.engine.random.IntN(len(hosts))]
	s.sendCount++
	s.attempt++
	attempt := s.attempt
	s.call.deadline = w.engine.now + callDeadline
	if !s.call.idempotent && s.key == "" && h.cluster != nil && !h.paused {
		s.key = fmt.Sprintf("%sc%d-%d", h.cluster.table.Prefix(w.engine.now), s.call.id, s.sendCount)
	}
	name := s.key
	if s.call.idempotent {
		name = fmt.Sprintf("%d/%d", s.call.id, s.sendCount)
	}
	s.transmit(h, name, attempt)
	w.engine.after(resendAfter, func() {
		if s.attempt == attempt && !s.ended {
			s.send()
		}
	})
	const duplicateShare = 0.02
	if !s.call.idempotent && w.engine.random.Float64() < duplicateShare {
		s.transmit(hosts[w.engine.random.IntN(len(hosts))], name, attempt)
	}
}

// transmit sends the call to one host.
func (s *clientCall) transmit(h *host, name string, attempt int) {
	w := s.generator.world
	copied := *s.call
	if !s.call.idempotent && name == "" {
		return
	}
	generation, key := h.generation, s.key
	caller := endpoint{name: "callers", location: s.call.origin}
	w.network.send(caller, endpoint{name: h.endpoint.name, location: s.call.origin}, 0, func() {
		if h.dead || h.cluster == nil || h.cluster.closed {
			w.engine.after(resendPause, func() { s.connectionRefused(attempt) })
			return
		}
		h.execute(generation, func() {
			h.serve(&copied, name, key, false, func(a answer) {
				w.engine.after(delayCaller, func() { s.answered(name, a, attempt) })
			})
		})
	})
}

// connectionRefused retries the call through another host.
func (s *clientCall) connectionRefused(attempt int) {
	if s.attempt == attempt && !s.ended {
		s.send()
	}
}

func (s *clientCall) answered(name string, a answer, attempt int) {
	d := s.generator
	if d.answers[name] == nil {
		d.answers[name] = &answerList{}
	}
	d.answers[name].answers = append(d.answers[name].answers, a)
	if s.ended || attempt != s.attempt {
		return
	}
	switch {
	case a.outcome == chivehillreason.Done, a.reason == chivehillreason.Suspect, a.reason == chivehillreason.RegionForbidden:
		s.end(a)
	case a.outcome == chivehillreason.NotRun:
		s.key = ""
		d.world.engine.after(resendPause, s.send)
	case a.reason == chivehillreason.KeyOwnerGone, a.reason == chivehillreason.ServerBroke && !s.call.idempotent:
		s.end(a)
	default:
		d.world.engine.after(resendPause, s.send)
	}
}

func (s *clientCall) end(a answer) {
	if s.ended {
		return
	}
	s.ended = true
	s.generator.open--
	s.generator.calls[a.outcome]++
	if s.generator.ended != nil {
		s.generator.ended(s.call, a)
	}
	if a.outcome == chivehillreason.Done {
		s.generator.latencies = append(s.generator.latencies, s.generator.world.engine.now-s.call.sentAt)
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
		w.addViolation("home-region", fmt.Sprintf("%s of a bound request to %s", step, region))
	}
}
