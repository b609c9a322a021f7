package chivehillbalance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// maxAsks bounds the owners that one request asks before it is refused.
	maxAsks            = 4
	regionAdvertPeriod = 200 * chivehillclock.Millisecond
	linkAdvertPeriod   = chivehillclock.Second
	// remoteCost weighs the round trip to another owner against waiting here: the
	// slot stands idle for the way of the grant, the request and the release.
	remoteCost = 6
	// widenAfter is the time for which a request waits at one owner before it
	// asks others.
	widenAfter = 2 * chivehillclock.Millisecond
)

// peerView is what this host knows of a peer's servers.
type peerView struct {
	peer Peer
	load chivehillwire.Load
}

// wait returns the expected wait of a new request at the peer.
func (v *peerView) wait() chivehillclock.Millis {
	if v.load.Idle > 0 {
		return 0
	}
	return v.load.WaitMs
}

// waiter is a request of this host that has no slot yet.
type waiter struct {
	request Request
	since   chivehillclock.Millis
	// asked holds every owner asked so far; the value is true while the ask is open.
	asked map[chivehillid.HostID]bool
	// lastReason is the reason of the newest denial.
	lastReason chivehillreason.Reason
}

func (w *waiter) open() int {
	n := 0
	for _, open := range w.asked {
		if open {
			n++
		}
	}
	return n
}

// submit finds a slot for a request: a free one of an own server, else the
// owner with the shortest expected wait, idle peers included.
func (p *Pool) submit(now chivehillclock.Millis, r Request) {
	w := &waiter{request: r, since: now, asked: make(map[chivehillid.HostID]bool, p.config.Fanout), lastReason: chivehillreason.NoServer}
	p.waiters[r.ID] = w
	if now >= r.Deadline {
		p.refuse(r.ID, chivehillreason.DeadlinePassed)
		return
	}
	if p.takeIdle(now, w) {
		return
	}
	p.wait(now, w, 1)
}

// takeIdle uses an idle slot of an own server if no other request waits for it.
func (p *Pool) takeIdle(now chivehillclock.Millis, w *waiter) bool {
	if !w.request.Regions.Allows(p.config.Region) || p.queue.len() > 0 {
		return false
	}
	slack := p.config.Slack
	if w.request.NoSlack {
		slack = 0
	}
	s := p.pick(now, w.request.Exclude, slack)
	if s == nil {
		return false
	}
	p.grantSlot(now, s, p.entryOf(w))
	return true
}

func (p *Pool) entryOf(w *waiter) *entry {
	return &entry{
		key:      askKey{from: p.config.Self, ask: chivehillid.AskID(w.request.ID)},
		deadline: w.request.WaitUntil, runUntil: w.request.Deadline, tenant: w.request.Tenant, exclude: w.request.Exclude,
	}
}

// eligible reports whether a request may use servers of a peer.
func (p *Pool) eligible(w *waiter, v *peerView) bool {
	if _, asked := w.asked[v.peer.Host]; asked {
		return false
	}
	if v.load.Limit == 0 || !w.request.Regions.Allows(v.peer.Region) {
		return false
	}
	if v.peer.Region == p.config.Region {
		return true
	}
	// A slot granted across the link stands idle for its round trips, so only
	// slots that nobody there needs are asked for.
	return w.request.LinkOpen && v.load.Idle > 0
}

// candidate is an owner at which a request can wait. The host itself is one.
type candidate struct {
	host chivehillid.HostID
	cost chivehillclock.Millis
}

// candidates returns the owners at which a request can wait, cheapest first.
func (p *Pool) candidates(now chivehillclock.Millis, w *waiter) []candidate {
	var found []candidate
	_, askedSelf := w.asked[p.config.Self]
	if load := p.load(now); !askedSelf && len(p.servers) > 0 && w.request.Regions.Allows(p.config.Region) {
		found = append(found, candidate{host: p.config.Self, cost: load.WaitMs})
	}
	for _, h := range p.peerOrder {
		v := p.peers[h]
		if p.eligible(w, v) {
			found = append(found, candidate{host: h, cost: v.wait() + remoteCost*v.peer.RoundTrip})
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return found
}

// wait asks the best owners for a place in their queues, until the request
// waits at most owners.
func (p *Pool) wait(now chivehillclock.Millis, w *waiter, most int) {
	for _, c := range p.candidates(now, w) {
		if _, waiting := p.waiters[w.request.ID]; !waiting {
			return
		}
		if w.open() >= most || len(w.asked) >= maxAsks {
			break
		}
		p.ask(now, w, c.host)
	}
	if _, waiting := p.waiters[w.request.ID]; waiting && w.open() == 0 {
		p.refuse(w.request.ID, w.lastReason)
	}
}

// widen lets requests that have waited for a while wait at more owners.
func (p *Pool) widen(now chivehillclock.Millis) {
	if p.config.Fanout < 2 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.waiters)) {
		w := p.waiters[id]
		if w != nil && now-w.since >= widenAfter && w.open() < p.config.Fanout {
			p.wait(now, w, p.config.Fanout)
		}
	}
}

// ask asks one owner, this host included.
func (p *Pool) ask(now chivehillclock.Millis, w *waiter, owner chivehillid.HostID) {
	w.asked[owner] = true
	if owner == p.config.Self {
		if reason := p.enqueue(now, p.entryOf(w)); reason != "" {
			w.asked[owner] = false
			w.lastReason = reason
		}
		return
	}
	v := p.peers[owner]
	v.load.Idle--
	v.load.Queued++
	wait := max(0, w.request.WaitUntil-now)
	if v.peer.Region != p.config.Region {
		wait = 0
	}
	p.out.to(owner).Asks = append(p.out.to(owner).Asks, chivehillwire.Ask{
		Ask: chivehillid.AskID(w.request.ID), LeftMs: w.request.Deadline - now, Tenant: w.request.Tenant,
		Exclude: w.request.Exclude, WaitMs: wait,
	})
}

// acceptGrant hands a slot to a request of this host and takes its other asks back.
func (p *Pool) acceptGrant(now chivehillclock.Millis, id RequestID, d Dispatch) {
	w := p.waiters[id]
	if w == nil || now >= d.ValidUntil {
		p.returnSlot(now, d)
		return
	}
	w.asked[d.Owner] = false
	p.dropWaiter(id)
	p.out.actions = append(p.out.actions, d)
}

// returnSlot returns a slot that this host has no use for.
func (p *Pool) returnSlot(now chivehillclock.Millis, d Dispatch) {
	p.finish(now, Finish{Owner: d.Owner, Grant: d.Grant, Result: Unused})
}

// dropWaiter forgets a request and takes its asks back.
func (p *Pool) dropWaiter(id RequestID) {
	w := p.waiters[id]
	if w == nil {
		return
	}
	delete(p.waiters, id)
	for _, h := range slices.Sorted(maps.Keys(w.asked)) {
		if !w.asked[h] {
			continue
		}
		if h == p.config.Self {
			p.queue.remove(askKey{from: h, ask: chivehillid.AskID(id)})
			continue
		}
		if p.peers[h] != nil {
			p.out.to(h).Withdrawals = append(p.out.to(h).Withdrawals, chivehillwire.AskWithdrawal{Ask: chivehillid.AskID(id)})
		}
	}
}

func (p *Pool) refuse(id RequestID, reason chivehillreason.Reason) {
	p.dropWaiter(id)
	p.out.actions = append(p.out.actions, Refuse{Request: id, Reason: reason})
}

// handleDenial handles the denial of an ask: the request asks elsewhere or is refused.
func (p *Pool) handleDenial(now chivehillclock.Millis, id RequestID, by chivehillid.HostID, reason chivehillreason.Reason) {
	w := p.waiters[id]
	if w == nil || !w.asked[by] {
		return
	}
	w.asked[by] = false
	w.lastReason = reason
	if w.open() > 0 {
		return
	}
	p.wait(now, w, 1)
}

func (p *Pool) expireWaiters(now chivehillclock.Millis) {
	for _, id := range slices.Sorted(maps.Keys(p.waiters)) {
		if now >= p.waiters[id].request.WaitUntil {
			p.refuse(id, chivehillreason.DeadlinePassed)
		}
	}
}

// finish gives a slot back to its owner.
func (p *Pool) finish(now chivehillclock.Millis, f Finish) {
	if f.Result == Good {
		p.typical += averageWeight * (float64(f.Took) - p.typical)
	}
	if f.Owner == p.config.Self {
		p.settle(now, p.config.Self, f)
		return
	}
	if p.peers[f.Owner] == nil {
		return
	}
	p.out.to(f.Owner).Releases = append(p.out.to(f.Owner).Releases, chivehillwire.Release{
		Grant: f.Grant, Result: string(f.Result), TookMs: f.Took, Cold: f.Cold,
	})
}

// receive applies the messages of a peer.
func (p *Pool) receive(now chivehillclock.Millis, e Receive) {
	v := p.peers[e.From]
	if v == nil {
		return
	}
	m := e.Messages
	if m.Load != nil {
		v.load = *m.Load
	}
	if m.LoadWanted {
		p.out.to(e.From)
	}
	for _, r := range m.Releases {
		p.settle(now, e.From, Finish{Grant: r.Grant, Result: Result(r.Result), Took: r.TookMs, Cold: r.Cold})
	}
	for _, w := range m.Withdrawals {
		p.queue.remove(askKey{from: e.From, ask: w.Ask})
	}
	for _, a := range m.Asks {
		p.handleAsk(now, e.From, a)
	}
	for _, g := range m.Grants {
		p.acceptGrant(now, RequestID(g.Ask), Dispatch{
			Request: RequestID(g.Ask), Owner: e.From, Grant: g.Grant, Server: g.Server, ValidUntil: e.Issued + g.ValidMs, Cold: g.Cold,
		})
	}
	for _, d := range m.Denials {
		p.handleDenial(now, RequestID(d.Ask), e.From, chivehillreason.Reason(d.Reason))
	}
}

// setPeers replaces the set of peers. Asks at a lost peer count as denied.
func (p *Pool) setPeers(now chivehillclock.Millis, peers []Peer) {
	old := p.peers
	p.peers = make(map[chivehillid.HostID]*peerView, len(peers))
	for _, peer := range peers {
		v := old[peer.Host]
		if v == nil {
			v = &peerView{}
			// The peer may have sent its load before this host knew it.
			p.out.to(peer.Host).LoadWanted = true
		}
		v.peer = peer
		p.peers[peer.Host] = v
	}
	p.peerOrder = slices.Sorted(maps.Keys(p.peers))
	p.shortenGrants(now)
	for _, e := range p.queue.all() {
		if e.key.from != p.config.Self && p.peers[e.key.from] == nil {
			p.queue.remove(e.key)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.waiters)) {
		w := p.waiters[id]
		if w == nil {
			continue
		}
		for _, h := range slices.Sorted(maps.Keys(w.asked)) {
			if w.asked[h] && h != p.config.Self && p.peers[h] == nil {
				p.handleDenial(now, id, h, chivehillreason.NoServer)
			}
		}
	}
}

// advertise tells peers about the owned servers when the number of idle slots
// changed between none and some, or the limit changed. Messages about requests
// carry the same news for free, so it is told seldom.
func (p *Pool) advertise(now chivehillclock.Millis) {
	p.advertiseTo(now, &p.regionAdvert, regionAdvertPeriod, func(v *peerView) bool { return v.peer.Region == p.config.Region })
	p.advertiseTo(now, &p.linkAdvert, linkAdvertPeriod, func(v *peerView) bool { return v.peer.Region != p.config.Region })
}

// advert is what some peers were last told unasked.
type advert struct {
	load chivehillwire.Load
	at   chivehillclock.Millis
}

func (p *Pool) advertiseTo(now chivehillclock.Millis, last *advert, period chivehillclock.Millis, include func(*peerView) bool) {
	load := p.load(now)
	if (load.Idle > 0) == (last.load.Idle > 0) && load.Limit == last.load.Limit || now-last.at < period {
		return
	}
	*last = advert{load: load, at: now}
	for _, h := range p.peerOrder {
		if include(p.peers[h]) {
			p.out.to(h)
		}
	}
}
