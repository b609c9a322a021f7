package chivehillrelay

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// factRelay is a relay that other relays can connect to.
type factRelay struct {
	*Relay
	leaving map[chivehillcatalog.Instance]bool
	address string
}

func newFactRelay(t *testing.T, id chivehillid.HostID) *factRelay {
	f := &factRelay{leaving: make(map[chivehillcatalog.Instance]bool)}
	o := newTestRelay().Options
	o.Self.ID, o.Clock = id, chivehillclock.New()
	o.MarkLeaving = func(i chivehillcatalog.Instance) bool {
		news := !f.leaving[i]
		f.leaving[i] = true
		return news
	}
	o.LeavingInstances = func() (leaving []chivehillcatalog.Instance) {
		for i := range f.leaving {
			leaving = append(leaving, i)
		}
		return leaving
	}
	f.Relay = New(o)
	server := httptest.NewServer(f.Relay)
	f.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		f.cancel()
		server.CloseClientConnections()
		server.Close()
		f.tasks.Wait()
	})
	return f
}

// TestPeerThatConnectsLaterKnowsNoFacts guards against facts that are told only to the peers that
// are connected when they become known: a host that starts, or was cut off, would never hear.
func TestPeerThatConnectsLaterKnowsNoFacts(t *testing.T) {
	first, second, third := newFactRelay(t, "first"), newFactRelay(t, "second"), newFactRelay(t, "third")
	const request = chivehillid.Fingerprint(7)
	server := chivehillcatalog.Instance{Server: "i-1", Started: 5}
	for range 2 {
		first.Suspects.Record(first.Clock.Now(), request, "first", chivehillregion.Everywhere())
	}
	first.MarkLeaving(server)
	first.informed.Store(true)
	for _, tt := range []struct {
		about    string
		from, to *factRelay
	}{
		{"dialed by the one that knows", first, second},
		{"dials one that was told itself", third, second},
	} {
		tt.from.connect(tt.to.address)
		knows := func(f *factRelay) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.Suspects.Kills(f.Clock.Now(), request) == 2
		}
		known := false
		for end := time.Now().Add(5 * time.Second); !known && time.Now().Before(end); time.Sleep(time.Millisecond) {
			known = knows(tt.from) && knows(tt.to)
		}
		qt.Check(t, known, qt.IsTrue, qt.Commentf("%s: request that crashes servers", tt.about))
		tt.to.tick()
	}
	for _, f := range []*factRelay{first, second, third} {
		f.cancel()
		f.tasks.Wait()
		qt.Check(t, f.leaving[server], qt.IsTrue, qt.Commentf("%s: server that leaves", f.Self.ID))
	}
}

// TestFactsLiveForEver guards against hosts that keep a fact alive by telling it to one another.
func TestFactsLiveForEver(t *testing.T) {
	r := newTestRelay()
	r.Suspects.Record(r.Clock.Now(), 7, "other", chivehillregion.Everywhere())
	r.Clock.Advance(chivehillsuspect.EntryTTL - chivehillclock.Second)
	l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
	r.sendFacts(l)
	told := l.takePending()
	qt.Assert(t, told.Suspects, qt.DeepEquals, []chivehillwire.RelaySuspect{{Fingerprint: 7, Host: "other", Kills: 1, LeftMs: chivehillclock.Second}})
	r.receive(l, *told)
	r.Clock.Advance(chivehillclock.Second)
	qt.Assert(t, r.Suspects.Kills(r.Clock.Now(), 7), qt.Equals, 0)
	r.sendFacts(l)
	qt.Assert(t, l.takePending().Suspects, qt.HasLen, 0)
}

// TestHostServesBeforeItIsInformed guards against a host that counts as informed by peers that
// have just started themselves, or that waits for peers that do not come.
func TestHostServesBeforeItIsInformed(t *testing.T) {
	tests := []struct {
		about      string
		peer       *chivehillwire.RelayBeat
		firstStart bool
		waited     chivehillclock.Millis
		informed   bool
	}{
		{about: "just started"},
		{about: "hears a peer that has just started as well", peer: &chivehillwire.RelayBeat{Uninformed: true}},
		{about: "hears a peer that knows", peer: &chivehillwire.RelayBeat{}, informed: true},
		{about: "the whole deployment starts for the first time", firstStart: true, informed: true},
		{about: "nobody tells it in time", waited: informTimeout, informed: true},
	}
	for _, tt := range tests {
		o := newTestRelay().Options
		o.FirstStart = tt.firstStart
		r := New(o)
		r.Catalog.Apply(chivehillcatalog.Hosts, chivehillcatalog.Update{Full: true, AsOf: 5, Records: []chivehillcatalog.Record{{Name: "peer", Revision: 1}}})
		l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
		r.links[linkKey{id: "peer", dialed: true}] = l
		if tt.peer != nil {
			r.receive(l, chivehillwire.RelayMessage{Beat: tt.peer})
		}
		r.tick()
		r.Clock.Advance(tt.waited)
		qt.Check(t, r.Informed(), qt.Equals, tt.informed, qt.Commentf("%s", tt.about))
		qt.Check(t, r.newHeartbeat().Uninformed, qt.Equals, !tt.informed || tt.waited > 0, qt.Commentf("%s: what its peers hear", tt.about))
	}
}

// TestFactsAreTooLongForAMessage guards against a message that a peer refuses, when as many facts
// hold as this host keeps.
func TestFactsAreTooLongForAMessage(t *testing.T) {
	r := newTestRelay()
	const hosts = 312
	for f := range chivehillid.Fingerprint(10_000) {
		r.Suspects.Record(r.Clock.Now(), 1<<63+f, chivehillid.HostID("host-of-a-large-deployment-"+string(rune('a'+f%26))), chivehillregion.Everywhere())
	}
	r.LeavingInstances = func() []chivehillcatalog.Instance {
		return make([]chivehillcatalog.Instance, 10*hosts)
	}
	l := newLink(r, nil, chivehillcatalog.Host{ID: "peer"}, true)
	r.sendFacts(l)
	m := l.takePending()
	data, err := cbor.Marshal(m)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(m.Suspects), qt.Equals, 10_000)
	qt.Assert(t, len(data) < maxMessageBytes, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	t.Logf("%d bytes, %d packed", len(data), len(deflate(data)))
}
