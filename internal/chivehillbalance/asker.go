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
	// maxOwnersAsked is the number of owners that one request asks for a slot before it is refused.
	maxOwnersAsked     = 4
	regionAdvertPeriod = 200 * chivehillclock.Millisecond
	linkAdvertPeriod   = chivehillclock.Second
	// roundTripWeight converts the round trip to another owner into an equivalent
	// local wait: the slot is idle while the grant, the request and the release travel.
	roundTripWeight = 6
	// fanoutDelay is how long a request waits at one owner before it also asks others.
	fanoutDelay = 2 * chivehillclock.Millisecond
)

// peerView is the last known state of a peer.
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
	// slotRequests holds every owner that was asked for a slot; the value is true
	// until that owner answers or the request is withdrawn.
	slotRequests map[chivehillid.HostID]bool
	// lastReason is the reason given by the most recent denial.
	lastReason chivehillreason.Reason
}

func (w *waiter) openRequests() int {
	n := 0
	for _, open := range w.slotRequests {
		if open {
			n++
		}
	}
	return n
}

// submit finds a slot for a request: an idle one of a server that this host
// owns, else one from the owner with the lowest cost, which may be a peer.
func (p *Pool) submit(now chivehillclock.Millis, r Request) {
	w := &waiter{request: r, since: now, slotRequests: make(map[chivehillid.HostID]bool, p.config.Fanout), lastReason: chivehillreason.NoServer}
	p.waiters[r.ID] = w
	if now >= r.Deadline {
		p.refuse(r.ID, chivehillreason.DeadlinePassed)
		return
	}
	if p.takeIdle(now, w) {
		return
	}
	p.requestSlots(now, w, 1)
}

// takeIdle uses an idle slot of an owned server if no other request is queued for it.
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
	p.grantSlot(now, s, p.newEntry(w))
	return true
}

func (p *Pool) newEntry(w *waiter) *entry {
	return &entry{
		key:       slotRequestKey{from: p.config.Self, ask: chivehillid.AskID(w.request.ID)},
		waitUntil: w.request.WaitUntil, requestDeadline: w.request.Deadline, tenant: w.request.Tenant, exclude: w.request.Exclude,
	}
}

// eligible reports whether a request may ask a peer for a slot.
func (p *Pool) eligible(w *waiter, v *peerView) bool {
	if _, asked := w.slotRequests[v.peer.Host]; asked {
		return false
	}
	if v.load.Limit == 0 || !w.request.Regions.Allows(v.peer.Region) {
		return false
	}
	if v.peer.Region == p.config.Region {
		return true
	}
	// A slot granted to another region is idle during the round trips, so a request
	// asks only for slots that the other region does not need itself.
	return w.request.LinkOpen && v.load.Idle > 0
}

// candidate is an owner that a request can ask for a slot; this host can be one.
type candidate struct {
	host chivehillid.HostID
	cost chivehillclock.Millis
}

// candidates returns the owners that a request can ask, lowest cost first.
func (p *Pool) candidates(now chivehillclock.Millis, w *waiter) []candidate {
	var found []candidate
	_, askedSelf := w.slotRequests[p.config.Self]
	if load := p.load(now); !askedSelf && len(p.servers) > 0 && w.request.Regions.Allows(p.config.Region) {
		found = append(found, candidate{host: p.config.Self, cost: load.WaitMs})
	}
	for _, h := range p.peerOrder {
		v := p.peers[h]
		if p.eligible(w, v) {
			found = append(found, candidate{host: h, cost: v.wait() + roundTripWeight*v.peer.RoundTrip})
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return found
}

// requestSlots asks the candidates with the lowest cost for a slot until the
// request has maxOpen open slot requests.
func (p *Pool) requestSlots(now chivehillclock.Millis, w *waiter, maxOpen int) {
	for _, c := range p.candidates(now, w) {
		if _, waiting := p.waiters[w.request.ID]; !waiting {
			return
		}
		if w.openRequests() >= maxOpen || len(w.slotRequests) >= maxOwnersAsked {
			break
		}
		p.requestSlot(now, w, c.host)
	}
	if _, waiting := p.waiters[w.request.ID]; waiting && w.openRequests() == 0 {
		p.refuse(w.request.ID, w.lastReason)
	}
}

// fanOut sends slot requests to more owners for requests that have waited for
// at least fanoutDelay.
func (p *Pool) fanOut(now chivehillclock.Millis) {
	if p.config.Fanout < 2 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.waiters)) {
		w := p.waiters[id]
		if w != nil && now-w.since >= fanoutDelay && w.openRequests() < p.config.Fanout {
			p.requestSlots(now, w, p.config.Fanout)
		}
	}
}

// requestSlot asks one owner, which may be this host, for a slot.
func (p *Pool) requestSlot(now chivehillclock.Millis, w *waiter, owner chivehillid.HostID) {
	w.slotRequests[owner] = true
	if owner == p.config.Self {
		if reason := p.enqueue(now, p.newEntry(w)); reason != "" {
			w.slotRequests[owner] = false
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

// acceptGrant dispatches a request of this host and withdraws its other slot requests.
func (p *Pool) acceptGrant(now chivehillclock.Millis, id RequestID, d Dispatch) {
	w := p.waiters[id]
	if w == nil || now >= d.ValidUntil {
		p.returnSlot(now, d)
		return
	}
	w.slotRequests[d.Owner] = false
	p.dropWaiter(id)
	p.out.actions = append(p.out.actions, d)
}

// returnSlot releases a granted slot unused.
func (p *Pool) returnSlot(now chivehillclock.Millis, d Dispatch) {
	p.finish(now, Finish{Owner: d.Owner, Grant: d.Grant, Result: Unused})
}

// dropWaiter removes a request and withdraws its open slot requests.
func (p *Pool) dropWaiter(id RequestID) {
	w := p.waiters[id]
	if w == nil {
		return
	}
	delete(p.waiters, id)
	for _, h := range slices.Sorted(maps.Keys(w.slotRequests)) {
		if !w.slotRequests[h] {
			continue
		}
		if h == p.config.Self {
			p.queue.remove(slotRequestKey{from: h, ask: chivehillid.AskID(id)})
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

// handleDenial handles a denied slot request: the request asks other owners or is refused.
func (p *Pool) handleDenial(now chivehillclock.Millis, id RequestID, by chivehillid.HostID, reason chivehillreason.Reason) {
	w := p.waiters[id]
	if w == nil || !w.slotRequests[by] {
		return
	}
	w.slotRequests[by] = false
	w.lastReason = reason
	if w.openRequests() > 0 {
		return
	}
	p.requestSlots(now, w, 1)
}

func (p *Pool) expireWaiters(now chivehillclock.Millis) {
	for _, id := range slices.Sorted(maps.Keys(p.waiters)) {
		if now >= p.waiters[id].request.WaitUntil {
			p.refuse(id, chivehillreason.DeadlinePassed)
		}
	}
}

// finish releases a slot to its owner.
func (p *Pool) finish(now chivehillclock.Millis, f Finish) {
	if f.Result == Good {
		p.averageLatency += averageWeight * (float64(f.Took) - p.averageLatency)
	}
	if f.Owner == p.config.Self {
		p.endGrant(now, p.config.Self, f)
		return
	}
	if p.peers[f.Owner] == nil {
		return
	}
	p.out.to(f.Owner).Releases = append(p.out.to(f.Owner).Releases, chivehillwire.Release{
		Grant: f.Grant, Result: string(f.Result), TookMs: f.Took, Cold: f.Cold,
	})
}

// receive applies messages from a peer.
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
		p.endGrant(now, e.From, Finish{Grant: r.Grant, Result: Result(r.Result), Took: r.TookMs, Cold: r.Cold})
	}
	for _, w := range m.Withdrawals {
		p.queue.remove(slotRequestKey{from: e.From, ask: w.Ask})
	}
	for _, a := range m.Asks {
		p.handleSlotRequest(now, e.From, a)
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

// setPeers replaces the set of peers. Slot requests to a removed peer count as denied.
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
		for _, h := range slices.Sorted(maps.Keys(w.slotRequests)) {
			if w.slotRequests[h] && h != p.config.Self && p.peers[h] == nil {
				p.handleDenial(now, id, h, chivehillreason.NoServer)
			}
		}
	}
}

// advertise sends the load of the owned servers to peers when the number of idle
// slots changed between none and some, or the limit changed. It is rate limited,
// since every other message to a peer also carries the load.
func (p *Pool) advertise(now chivehillclock.Millis) {
	p.advertiseTo(now, &p.regionAdvert, regionAdvertPeriod, func(v *peerView) bool { return v.peer.Region == p.config.Region })
	p.advertiseTo(now, &p.linkAdvert, linkAdvertPeriod, func(v *peerView) bool { return v.peer.Region != p.config.Region })
}

// advert is the load that was last advertised to a group of peers.
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
