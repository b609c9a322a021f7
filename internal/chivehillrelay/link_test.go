package chivehillrelay

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillcodec"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// nameDecoder decodes only the names of records.
type nameDecoder struct{}

func (nameDecoder) Configuration(chivehillcatalog.Record) (chivehillcatalog.Configuration, error) {
	return chivehillcatalog.Configuration{}, nil
}

func (nameDecoder) Server(r chivehillcatalog.Record) (chivehillcatalog.Server, error) {
	return chivehillcatalog.Server{ID: chivehillid.ServerID(r.Name)}, nil
}

func (nameDecoder) Withdrawal(r chivehillcatalog.Record) (chivehillid.DomainID, error) {
	return chivehillid.DomainID(r.Name), nil
}

func (nameDecoder) Host(r chivehillcatalog.Record) (chivehillcatalog.Host, error) {
	return chivehillcatalog.Host{ID: chivehillid.HostID(r.Name)}, nil
}

func (nameDecoder) Rollout(r chivehillcatalog.Record) (chivehillcatalog.Rollout, error) {
	return chivehillcatalog.Rollout{Service: chivehillid.ServiceID(r.Name)}, nil
}

func newTestRelay() *Relay {
	return New(Options{
		Self: chivehillcatalog.Host{ID: "self", Domain: "d", Region: "r"}, Clock: chivehillclock.NewManual(), Log: zerolog.Nop(),
		Catalog: chivehillcatalog.New(chivehillcatalog.Options{Decoder: nameDecoder{}, Log: zerolog.Nop()}),
		Contact: func() (chivehillclock.Millis, bool) { return 0, false }, StoreUnreachable: func() bool { return false },
		SetWatch: func(bool) {}, DownChanged: func() {}, Suspects: chivehillsuspect.New(), LeavingInstances: func() []chivehillcatalog.Instance { return nil },
	})
}

func (l *link) requestedCollections() []chivehillcatalog.Collection {
	if m := l.takePending(); m != nil {
		return m.Want
	}
	return nil
}

// TestCatchUpRequestsOverdueCollections guards against missing updates: a missing
// collection is requested at once, a newer one only after a pushed update is overdue.
func TestCatchUpRequestsOverdueCollections(t *testing.T) {
	r := newTestRelay()
	r.decision.Keep = map[chivehillid.HostID]bool{"peer": true}
	l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
	receiveHeartbeat := func(asOf chivehillcatalog.Revision, digest chivehillcatalog.Digest) {
		l.recordReceived(chivehillwire.RelayMessage{Beat: &chivehillwire.RelayBeat{Collections: []chivehillwire.RelayState{
			{Collection: chivehillcatalog.Servers, AsOf: asOf, Digest: digest},
		}}})
		r.catchUp(l)
	}
	receiveHeartbeat(5, 7)
	qt.Assert(t, l.requestedCollections(), qt.DeepEquals, []chivehillcatalog.Collection{chivehillcatalog.Servers}, qt.Commentf("a missing collection is requested at once"))
	r.receive(l, chivehillwire.RelayMessage{Updates: []chivehillwire.RelayUpdate{
		{Collection: chivehillcatalog.Servers, Full: true, AsOf: 5, Records: []chivehillwire.RelayRecord{{Name: "i", Revision: 4}}},
	}})
	_, digest := r.Catalog.State(chivehillcatalog.Servers)
	receiveHeartbeat(9, digest)
	qt.Assert(t, l.requestedCollections(), qt.HasLen, 0)
	qt.Assert(t, r.Catalog.AsOf(chivehillcatalog.Servers), qt.Equals, chivehillcatalog.Revision(9), qt.Commentf("an equal digest confirms the newer revision"))
	receiveHeartbeat(11, digest+1)
	qt.Assert(t, l.requestedCollections(), qt.HasLen, 0, qt.Commentf("an update may still arrive"))
	r.Clock.Advance(max(updateTimeout, snapshotRequestTimeout))
	receiveHeartbeat(11, digest+1)
	qt.Assert(t, l.requestedCollections(), qt.HasLen, 1, qt.Commentf("the update is overdue"))
	receiveHeartbeat(8, digest+1)
	r.Clock.Advance(updateTimeout)
	receiveHeartbeat(8, digest+1)
	qt.Assert(t, l.requestedCollections(), qt.HasLen, 0, qt.Commentf("the peer has an older revision"))
}

// TestCollectionIsRequestedFromOnePeerAtATime guards against a starting host that
// requests a collection from several peers at once. The host is connected to a seed
// and to its leader, which both have the collections. It must request only the host
// list from the seed and the rest from the leader until the request times out.
func TestCollectionIsRequestedFromOnePeerAtATime(t *testing.T) {
	r := newTestRelay()
	r.decision.Keep = map[chivehillid.HostID]bool{"leader": true}
	seed := newLink(r, nil, chivehillcatalog.Host{ID: "seed", Domain: "d", Region: "r"}, true)
	leader := newLink(r, nil, chivehillcatalog.Host{ID: "leader", Domain: "d", Region: "r"}, true)
	heartbeat := &chivehillwire.RelayBeat{Collections: []chivehillwire.RelayState{
		{Collection: chivehillcatalog.Servers, AsOf: 5, Digest: 7}, {Collection: chivehillcatalog.Hosts, AsOf: 5, Digest: 7},
	}}
	servers, hosts := chivehillcatalog.Servers, chivehillcatalog.Hosts
	steps := []struct {
		about   string
		from    *link
		elapsed chivehillclock.Millis
		want    []chivehillcatalog.Collection
	}{
		{"the host list is requested from a seed", seed, 0, []chivehillcatalog.Collection{hosts}},
		{"other collections are requested from the leader", leader, 0, []chivehillcatalog.Collection{servers}},
		{"no second request to the same peer", leader, snapshotRequestTimeout / 2, nil},
		{"no request to another peer meanwhile", seed, 0, nil},
		{"new request to another peer after the timeout", seed, snapshotRequestTimeout, []chivehillcatalog.Collection{servers, hosts}},
	}
	for _, tt := range steps {
		r.Clock.Advance(tt.elapsed)
		tt.from.recordReceived(chivehillwire.RelayMessage{Beat: heartbeat})
		r.catchUp(tt.from)
		qt.Check(t, tt.from.requestedCollections(), qt.DeepEquals, tt.want, qt.Commentf("%s", tt.about))
	}
}

// TestSnapshotsArePackedOnce checks that requests for an unchanged collection on
// two connections share one packed snapshot.
func TestSnapshotsArePackedOnce(t *testing.T) {
	r := newTestRelay()
	first := newLink(r, nil, chivehillcatalog.Host{ID: "a", Domain: "d", Region: "r"}, false)
	second := newLink(r, nil, chivehillcatalog.Host{ID: "b", Domain: "d", Region: "r"}, false)
	r.sendSnapshot(first, chivehillcatalog.Servers)
	qt.Assert(t, first.takePending(), qt.IsNil, qt.Commentf("the collection is missing"))
	r.Catalog.Apply(chivehillcatalog.Servers, chivehillcatalog.Update{Full: true, AsOf: 5, Records: []chivehillcatalog.Record{{Name: "i", Revision: 4, Data: []byte("x")}}})
	r.sendSnapshot(first, chivehillcatalog.Servers)
	r.sendSnapshot(second, chivehillcatalog.Servers)
	a, b := first.takePending().Packed[0], second.takePending().Packed[0]
	qt.Assert(t, &a[0], qt.Equals, &b[0])
	m, err := unpack(a)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m.Updates, qt.HasLen, 1)
	qt.Assert(t, decodeUpdate(m.Updates[0]), qt.DeepEquals, r.Catalog.Snapshot(chivehillcatalog.Servers))
	r.Catalog.Apply(chivehillcatalog.Servers, chivehillcatalog.Update{Since: 5, AsOf: 6, Records: []chivehillcatalog.Record{{Name: "j", Revision: 6}}})
	r.sendSnapshot(first, chivehillcatalog.Servers)
	m, err = unpack(first.takePending().Packed[0])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m.Updates[0].Records, qt.HasLen, 2, qt.Commentf("a changed collection is packed again"))
}

func TestUnpackRejectsMalformedMessages(t *testing.T) {
	tests := []struct {
		about  string
		packed []byte
	}{
		{"nothing", nil},
		{"not compressed", []byte("message")},
		{"not a message after decompression", deflate([]byte("message"))},
		{"too large after decompression", deflate(make([]byte, maxMessageBytes+1))},
	}
	for _, tt := range tests {
		_, err := unpack(tt.packed)
		qt.Check(t, err, qt.ErrorIs, chivehillcodec.ErrMalformed, qt.Commentf("%s", tt.about))
	}
}

func TestUnknownCollectionsAreIgnored(t *testing.T) {
	r := newTestRelay()
	l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
	r.receive(l, chivehillwire.RelayMessage{
		Updates: []chivehillwire.RelayUpdate{{Collection: "odd", Full: true, AsOf: 5}}, Want: []chivehillcatalog.Collection{"odd", chivehillcatalog.Servers},
		Beat: &chivehillwire.RelayBeat{Collections: []chivehillwire.RelayState{{Collection: "odd", AsOf: 9}}},
	})
	qt.Assert(t, l.takePending(), qt.IsNil)
}

func FuzzMessages(f *testing.F) {
	for _, m := range []chivehillwire.RelayMessage{
		{Hello: &chivehillwire.RelayHello{Host: "a"}},
		{Beat: &chivehillwire.RelayBeat{Collections: []chivehillwire.RelayState{{Collection: chivehillcatalog.Servers, AsOf: 3}}}},
		{Updates: []chivehillwire.RelayUpdate{{Collection: chivehillcatalog.Hosts, Full: true, AsOf: 3, Records: []chivehillwire.RelayRecord{{Name: "x", Revision: 2}}}}},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = unpack(data)
		m, err := chivehillcodec.Decode[chivehillwire.RelayMessage](data)
		if err != nil {
			return
		}
		r := newTestRelay()
		l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
		l.recordReceived(m)
		r.receive(l, m)
		Decide(r.collectState())
	})
}

func TestTaskStartsWhileTheStoppedRelayWaitsForItsTasks(t *testing.T) {
	r := newTestRelay()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r.Run(ctx)
	qt.Assert(t, r.start(func() { t.Error("task started") }), qt.IsFalse)
}

// TestLostConnectionToTheLeaderSendsAllHostsToTheStore resets the connection to a leader that
// the store has just answered. Until the connection is open again, what the leader reported
// holds: if each host fell back to its own contact of long ago, all would try the store.
func TestLostConnectionToTheLeaderSendsAllHostsToTheStore(t *testing.T) {
	r := newTestRelay()
	leader := chivehillcatalog.Host{ID: "leader", Domain: "d", Region: "r", Capacity: 2}
	hosts := []chivehillwire.RelayRecord{{Name: "leader", Revision: 1}, {Name: "self", Revision: 2}}
	l := newLink(r, nil, leader, true)
	for _, c := range chivehillcatalog.Collections {
		r.receive(l, chivehillwire.RelayMessage{Updates: []chivehillwire.RelayUpdate{{Collection: c, Full: true, AsOf: 5, Records: hosts}}})
	}
	r.Clock.Advance(20 * chivehillclock.Second)
	r.links[linkKey{id: "leader", dialed: true}] = l
	l.recordReceived(chivehillwire.RelayMessage{Beat: &chivehillwire.RelayBeat{ContactAgeMs: 50}})
	at, hasContact := r.Contact()
	qt.Assert(t, hasContact, qt.IsTrue)
	qt.Assert(t, at, qt.Equals, r.Clock.Now()-50)
	delete(r.links, linkKey{id: "leader", dialed: true})
	r.Clock.Advance(200 * chivehillclock.Millisecond)
	r.mu.Lock()
	s := r.collectState()
	r.mu.Unlock()
	qt.Assert(t, s.HasContact, qt.IsTrue)
	qt.Assert(t, s.ContactAt, qt.Equals, at)
	var d Decision
	d.ContactAt, d.HasContact = newestContact(s)
	qt.Assert(t, d.shouldTryStore(s, 1), qt.IsFalse)
	r.Clock.Advance(contactTimeout + contactStaggerStep)
	s.Now = r.Clock.Now()
	qt.Assert(t, d.shouldTryStore(s, 1), qt.IsTrue, qt.Commentf("the store is tried once the contact is old"))
}

// TestDelegateKeepsNewsFromItsLeader lets a host receive a change of the store that watches it
// in place of the leader that it follows.
func TestDelegateKeepsNewsFromItsLeader(t *testing.T) {
	for _, watching := range []bool{true, false} {
		r := newTestRelay()
		r.watching = watching
		leader := newLink(r, nil, chivehillcatalog.Host{ID: "leader", Domain: "d", Region: "r"}, true)
		r.links[linkKey{id: "leader", dialed: true}] = leader
		r.Publish(chivehillcatalog.Configurations, chivehillcatalog.Update{AsOf: 9, Records: []chivehillcatalog.Record{{Name: "main", Revision: 9}}})
		m := leader.takePending()
		sent := m != nil && len(m.Updates) == 1
		qt.Check(t, sent, qt.Equals, watching, qt.Commentf("watching: %v", watching))
	}
}

// TestHostsThatStartTogetherWaitForAHeartbeat guards against followers that learn only from the
// next heartbeat that the host that they follow has listed what they lack.
func TestHostsThatStartTogetherWaitForAHeartbeat(t *testing.T) {
	r := newTestRelay()
	follower := newLink(r, nil, chivehillcatalog.Host{ID: "follower", Domain: "d", Region: "r"}, false)
	r.links[linkKey{id: "follower"}] = follower
	beats := 0
	for range 2 {
		for _, c := range chivehillcatalog.Collections {
			r.Publish(c, r.Catalog.Apply(c, chivehillcatalog.Update{Full: true, AsOf: 5}))
			if m := follower.takePending(); m != nil && m.Beat != nil {
				beats++
				qt.Check(t, c, qt.Equals, chivehillcatalog.Collections[len(chivehillcatalog.Collections)-1])
			}
		}
	}
	qt.Assert(t, beats, qt.Equals, 1, qt.Commentf("one heartbeat when the last collection was listed"))
}
