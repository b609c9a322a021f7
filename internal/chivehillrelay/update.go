package chivehillrelay

import (
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Publish sends an update of a collection to the peers of the region that follow
// this host: those of other failure domains, and those of its own that dialed it. A host
// that watches the store sends it to the host that it follows as well, in whose place it
// may be watching.
// Peers of other regions get only a heartbeat with the new collection state and
// request the collection if they need it.
func (r *Relay) Publish(c chivehillcatalog.Collection, update chivehillcatalog.Update) {
	r.announceComplete()
	if len(update.Records) == 0 {
		return
	}
	add, err := updateAdder(encodeUpdate(c, update))
	if err != nil {
		r.Log.Error().Str("step", "encode update").Str("collection", string(c)).Err(err).Msg("relay: failed to encode an update, which is not sent to peers.")
		return
	}
	watching := r.Watching()
	for _, l := range r.allLinks() {
		if l.host.Region == r.Self.Region && (l.host.Domain != r.Self.Domain || !l.dialed || watching) {
			l.add(add)
		}
	}
	r.sendHeartbeats(func(l *link) bool { return l.host.Region != r.Self.Region })
}

// announceComplete sends a heartbeat when this host has all collections for the first time.
// Hosts that started together and lack them request them then, not at the next heartbeat.
func (r *Relay) announceComplete() {
	r.mu.Lock()
	first := !r.complete && r.hasAllCollections()
	r.complete = r.complete || first
	r.mu.Unlock()
	if first {
		r.sendHeartbeats(func(*link) bool { return true })
	}
}

// updateAdder returns a function that adds an update to a message. A large update
// is packed once for all peers.
func updateAdder(u chivehillwire.RelayUpdate) (func(*chivehillwire.RelayMessage), error) {
	size := 0
	for _, record := range u.Records {
		size += len(record.Data)
	}
	if size < minPackBytes {
		return func(m *chivehillwire.RelayMessage) { m.Updates = append(m.Updates, u) }, nil
	}
	packed, err := pack(chivehillwire.RelayMessage{Updates: []chivehillwire.RelayUpdate{u}})
	return func(m *chivehillwire.RelayMessage) { m.Packed = append(m.Packed, packed) }, err
}

func encodeUpdate(c chivehillcatalog.Collection, u chivehillcatalog.Update) chivehillwire.RelayUpdate {
	encoded := chivehillwire.RelayUpdate{Collection: c, Full: u.Full, Since: u.Since, AsOf: u.AsOf, EraStart: u.EraStart, Settled: u.Settled}
	for _, record := range u.Records {
		encoded.Records = append(encoded.Records, chivehillwire.RelayRecord{
			Name: record.Name, Revision: record.Revision, Data: record.Data, Deleted: record.Deleted,
		})
	}
	return encoded
}

func decodeUpdate(u chivehillwire.RelayUpdate) chivehillcatalog.Update {
	decoded := chivehillcatalog.Update{Full: u.Full, Since: u.Since, AsOf: u.AsOf, EraStart: u.EraStart, Settled: u.Settled}
	for _, record := range u.Records {
		decoded.Records = append(decoded.Records, chivehillcatalog.Record{Name: record.Name, Revision: record.Revision, Data: record.Data, Deleted: record.Deleted})
	}
	return decoded
}

// receive processes one message from a peer. The peer's heartbeat may make this host ready, so
// the facts of the message come first.
func (r *Relay) receive(l *link, m chivehillwire.RelayMessage) {
	r.receiveFacts(l, m)
	if l.recordReceived(m) {
		r.Wake()
	}
	for _, u := range m.Updates {
		if !r.Catalog.Caches(u.Collection) {
			continue
		}
		r.Publish(u.Collection, r.Catalog.Apply(u.Collection, decodeUpdate(u)))
	}
	r.receiveTrials(l, m)
	for _, c := range m.Want {
		r.sendSnapshot(l, c)
	}
	r.catchUp(l)
}

func (r *Relay) sendSnapshot(l *link, c chivehillcatalog.Collection) {
	if !r.Catalog.Caches(c) {
		return
	}
	packed, err := r.snapshots.get(r.Catalog, c)
	if err != nil {
		r.Log.Error().Str("step", "encode collection").Str("collection", string(c)).Err(err).Msg("relay: failed to encode a collection that a peer requested.")
	}
	if packed != nil {
		l.add(func(m *chivehillwire.RelayMessage) { m.Packed = append(m.Packed, packed) })
	}
}

// catchUp requests from a peer the collections in which this host is behind it.
func (r *Relay) catchUp(l *link) {
	now := r.Clock.Now()
	var want []chivehillcatalog.Collection
	for _, state := range l.collections() {
		if !r.Catalog.Caches(state.Collection) {
			continue
		}
		r.Catalog.Confirm(state.Collection, state.AsOf, state.Digest)
		asOf, digest := r.Catalog.State(state.Collection)
		behind := state.AsOf > asOf && (state.Digest != digest || asOf == 0)
		overdue := l.overdue(state.Collection, behind, now)
		if behind && (overdue || asOf == 0 && r.isSnapshotSource(l, state.Collection, now)) && r.claimSnapshotRequest(state.Collection, now) {
			want = append(want, state.Collection)
		}
	}
	if len(want) == 0 {
		return
	}
	l.add(func(m *chivehillwire.RelayMessage) { m.Want = append(m.Want, want...) })
}

const (
	// snapshotRequestTimeout is how long a peer has to answer a request for a
	// collection before the collection is requested again.
	snapshotRequestTimeout = 700 * chivehillclock.Millisecond
	// preferredSourceTimeout is how long after its start a host without a collection
	// requests it only from the hosts whose connections its decision keeps.
	preferredSourceTimeout = 800 * chivehillclock.Millisecond
)

// isSnapshotSource reports whether a host without a collection should request it
// from the peer. The host that it is to follow is preferred, because it was selected
// by capacity to serve the whole failure domain, while a seed may be the smallest
// host of all. The host list is requested from any peer.
func (r *Relay) isSnapshotSource(l *link, c chivehillcatalog.Collection, now chivehillclock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c == chivehillcatalog.Hosts || r.decision.Keep[l.host.ID] || now-r.started >= preferredSourceTimeout
}

// claimSnapshotRequest reports whether a collection may be requested now and
// records the request. It reports false while an earlier request may still be
// answered.
func (r *Relay) claimSnapshotRequest(c chivehillcatalog.Collection, now chivehillclock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, requested := r.requestedAt[c]; requested && now-at < snapshotRequestTimeout {
		return false
	}
	r.requestedAt[c] = now
	return true
}

// addToOthers applies change to the pending messages of all links but one.
func (r *Relay) addToOthers(except *link, change func(*chivehillwire.RelayMessage)) {
	for _, l := range r.allLinks() {
		if l != except {
			l.add(change)
		}
	}
}
