package chivehillrelay

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Publish tells news to the peers: the news itself to those of the region that
// follow this host, and only that there is some to those of other regions.
func (r *Relay) Publish(c chivehillcatalog.Collection, fresh chivehillcatalog.Update) {
	if len(fresh.Records) == 0 {
		return
	}
	add, err := adder(encodeUpdate(c, fresh))
	if err != nil {
		r.Log.Error().Str("step", "pack news").Str("collection", string(c)).Err(err).Msg("relay: news not passed on.")
		return
	}
	for _, l := range r.all() {
		if l.host.Region == r.Self.Region && (l.host.Domain != r.Self.Domain || !l.dialed) {
			l.add(add)
		}
	}
	r.beat(func(l *link) bool { return l.host.Region != r.Self.Region })
}

// adder returns what adds an update to a message: a large one is packed once for
// all peers.
func adder(u chivehillwire.RelayUpdate) (func(*chivehillwire.RelayMessage), error) {
	size := 0
	for _, e := range u.Records {
		size += len(e.Data)
	}
	if size < packBytes {
		return func(m *chivehillwire.RelayMessage) { m.Updates = append(m.Updates, u) }, nil
	}
	packed, err := pack(chivehillwire.RelayMessage{Updates: []chivehillwire.RelayUpdate{u}})
	return func(m *chivehillwire.RelayMessage) { m.Packed = append(m.Packed, packed) }, err
}

func encodeUpdate(c chivehillcatalog.Collection, u chivehillcatalog.Update) chivehillwire.RelayUpdate {
	e := chivehillwire.RelayUpdate{Collection: c, Full: u.Full, Since: u.Since, AsOf: u.AsOf}
	for _, record := range u.Records {
		e.Records = append(e.Records, chivehillwire.RelayRecord{
			Name: record.Name, Revision: record.Revision, Data: record.Data, Deleted: record.Deleted,
		})
	}
	return e
}

func decodeUpdate(u chivehillwire.RelayUpdate) chivehillcatalog.Update {
	d := chivehillcatalog.Update{Full: u.Full, Since: u.Since, AsOf: u.AsOf}
	for _, e := range u.Records {
		d.Records = append(d.Records, chivehillcatalog.Record{Name: e.Name, Revision: e.Revision, Data: e.Data, Deleted: e.Deleted})
	}
	return d
}

// receive acts on one message of a peer.
func (r *Relay) receive(l *link, m chivehillwire.RelayMessage) {
	for _, u := range m.Updates {
		if !slices.Contains(chivehillcatalog.Collections, u.Collection) {
			continue
		}
		r.Publish(u.Collection, r.Catalog.Apply(u.Collection, decodeUpdate(u)))
	}
	for _, s := range m.Suspects {
		r.hearSuspect(l, s)
	}
	for _, c := range m.Want {
		r.answerWant(l, c)
	}
	r.catchUp(l)
}

func (r *Relay) answerWant(l *link, c chivehillcatalog.Collection) {
	if !slices.Contains(chivehillcatalog.Collections, c) {
		return
	}
	packed, err := r.snapshots.get(r.Catalog, c)
	if err != nil {
		r.Log.Error().Str("step", "pack collection").Str("collection", string(c)).Err(err).Msg("relay: peer not answered.")
	}
	if packed != nil {
		l.add(func(m *chivehillwire.RelayMessage) { m.Packed = append(m.Packed, packed) })
	}
}

// catchUp asks a peer for the collections that it knows more of.
func (r *Relay) catchUp(l *link) {
	now := r.Clock.Now()
	var want []chivehillcatalog.Collection
	for _, e := range l.collections() {
		if !slices.Contains(chivehillcatalog.Collections, e.Collection) {
			continue
		}
		r.Catalog.Confirm(e.Collection, e.AsOf, e.Digest)
		asOf, digest := r.Catalog.State(e.Collection)
		behind := e.AsOf > asOf && (e.Digest != digest || asOf == 0)
		lags := l.lags(e.Collection, behind, now)
		if behind && (lags || asOf == 0 && r.mayTeach(l, e.Collection, now)) && r.mayAsk(e.Collection, now) {
			want = append(want, e.Collection)
		}
	}
	if len(want) == 0 {
		return
	}
	l.add(func(m *chivehillwire.RelayMessage) { m.Want = append(m.Want, want...) })
}

const (
	// askTime is how long a peer that was asked for a collection has until
	// another one is asked.
	askTime = 700 * chivehillclock.Millisecond
	// teachTime is how long after its start a host that knows nothing of a
	// collection asks only the hosts that it is to follow.
	teachTime = 800 * chivehillclock.Millisecond
)

// mayTeach reports whether a host that knows nothing of a collection should ask
// a peer for it. The others of its failure domain follow the same host, which
// is chosen for it; a seed may be the smallest host of all.
func (r *Relay) mayTeach(l *link, c chivehillcatalog.Collection, now chivehillclock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c == chivehillcatalog.Hosts || r.decision.Keep[l.host.ID] || now-r.started >= teachTime
}

// mayAsk reports whether no peer was asked for a collection just now, and notes
// that one is.
func (r *Relay) mayAsk(c chivehillcatalog.Collection, now chivehillclock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, asked := r.askedAt[c]; asked && now-at < askTime {
		return false
	}
	r.askedAt[c] = now
	return true
}

// Suspect tells all peers that servers were down after a request.
func (r *Relay) Suspect(f chivehillid.Fingerprint, kills int) {
	r.tellSuspect(nil, chivehillwire.RelaySuspect{Fingerprint: f, Host: r.Self.ID, Kills: kills, LeftMs: chivehillsuspect.Hold})
}

// hearSuspect takes over what a peer tells of a request and passes it on if it
// is news.
func (r *Relay) hearSuspect(from *link, s chivehillwire.RelaySuspect) {
	now := r.Clock.Now()
	before := r.Suspects.Kills(now, s.Fingerprint)
	r.Suspects.Merge(now, s.Fingerprint, s.Host, s.Kills, s.LeftMs)
	if r.Suspects.Kills(now, s.Fingerprint) > before {
		r.tellSuspect(from, s)
	}
}

func (r *Relay) tellSuspect(except *link, s chivehillwire.RelaySuspect) {
	for _, l := range r.all() {
		if l != except {
			l.add(func(m *chivehillwire.RelayMessage) { m.Suspects = append(m.Suspects, s) })
		}
	}
}
