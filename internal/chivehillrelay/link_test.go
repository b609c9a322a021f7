package chivehillrelay

import (
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

// plainDecoder decodes names only.
type plainDecoder struct{}

func (plainDecoder) Configuration(chivehillcatalog.Record) (chivehillcatalog.Configuration, error) {
	return chivehillcatalog.Configuration{}, nil
}

func (plainDecoder) Server(r chivehillcatalog.Record) (chivehillcatalog.Server, error) {
	return chivehillcatalog.Server{ID: chivehillid.ServerID(r.Name)}, nil
}

func (plainDecoder) Withdrawal(r chivehillcatalog.Record) (chivehillid.DomainID, error) {
	return chivehillid.DomainID(r.Name), nil
}

func (plainDecoder) Host(r chivehillcatalog.Record) (chivehillcatalog.Host, error) {
	return chivehillcatalog.Host{ID: chivehillid.HostID(r.Name)}, nil
}

func newRelay() *Relay {
	return New(Options{
		Self: chivehillcatalog.Host{ID: "self", Domain: "d", Region: "r"}, Clock: chivehillclock.NewManual(), Log: zerolog.Nop(),
		Catalog: chivehillcatalog.New(chivehillcatalog.Options{Decoder: plainDecoder{}, Log: zerolog.Nop()}),
		Contact: func() (chivehillclock.Millis, bool) { return 0, false }, Lost: func() bool { return false },
		Watch: func(bool) {}, Changed: func() {}, Suspects: chivehillsuspect.New(),
	})
}

func (l *link) wanted() []chivehillcatalog.Collection {
	if m := l.take(); m != nil {
		return m.Want
	}
	return nil
}

// TestCatchUp asks a peer for what it has known for longer and this host does not.
func TestCatchUp(t *testing.T) {
	r := newRelay()
	r.decision.Keep = map[chivehillid.HostID]bool{"peer": true}
	l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
	tell := func(asOf chivehillcatalog.Revision, digest chivehillcatalog.Digest) {
		l.hear(chivehillwire.RelayMessage{Beat: &chivehillwire.RelayBeat{Collections: []chivehillwire.RelayState{
			{Collection: chivehillcatalog.Servers, AsOf: asOf, Digest: digest},
		}}})
		r.catchUp(l)
	}
	tell(5, 7)
	qt.Assert(t, l.wanted(), qt.DeepEquals, []chivehillcatalog.Collection{chivehillcatalog.Servers}, qt.Commentf("unknown: at once"))
	r.receive(l, chivehillwire.RelayMessage{Updates: []chivehillwire.RelayUpdate{
		{Collection: chivehillcatalog.Servers, Full: true, AsOf: 5, Records: []chivehillwire.RelayRecord{{Name: "i", Revision: 4}}},
	}})
	_, digest := r.Catalog.State(chivehillcatalog.Servers)
	tell(9, digest)
	qt.Assert(t, l.wanted(), qt.HasLen, 0)
	qt.Assert(t, r.Catalog.AsOf(chivehillcatalog.Servers), qt.Equals, chivehillcatalog.Revision(9), qt.Commentf("the same digest confirms"))
	tell(11, digest+1)
	qt.Assert(t, l.wanted(), qt.HasLen, 0, qt.Commentf("the news may be on its way"))
	r.Clock.Advance(max(lagTime, askTime))
	tell(11, digest+1)
	qt.Assert(t, l.wanted(), qt.HasLen, 1, qt.Commentf("it is not"))
	tell(8, digest+1)
	r.Clock.Advance(lagTime)
	tell(8, digest+1)
	qt.Assert(t, l.wanted(), qt.HasLen, 0, qt.Commentf("the peer is behind"))
}

// TestOnePeerIsAsked connects a starting host with a seed and the host that it
// is to follow, which both know all.
func TestOnePeerIsAsked(t *testing.T) {
	r := newRelay()
	r.decision.Keep = map[chivehillid.HostID]bool{"head": true}
	seed := newLink(r, nil, chivehillcatalog.Host{ID: "seed", Domain: "d", Region: "r"}, true)
	head := newLink(r, nil, chivehillcatalog.Host{ID: "head", Domain: "d", Region: "r"}, true)
	beat := &chivehillwire.RelayBeat{Collections: []chivehillwire.RelayState{
		{Collection: chivehillcatalog.Servers, AsOf: 5, Digest: 7}, {Collection: chivehillcatalog.Hosts, AsOf: 5, Digest: 7},
	}}
	servers, hosts := chivehillcatalog.Servers, chivehillcatalog.Hosts
	steps := []struct {
		about  string
		from   *link
		passes chivehillclock.Millis
		want   []chivehillcatalog.Collection
	}{
		{"a seed is asked for the hosts", seed, 0, []chivehillcatalog.Collection{hosts}},
		{"the head for the rest", head, 0, []chivehillcatalog.Collection{servers}},
		{"nobody twice", head, askTime / 2, nil},
		{"nor another one meanwhile", seed, 0, nil},
		{"again after a while", seed, askTime, []chivehillcatalog.Collection{servers, hosts}},
	}
	for _, tt := range steps {
		r.Clock.Advance(tt.passes)
		tt.from.hear(chivehillwire.RelayMessage{Beat: beat})
		r.catchUp(tt.from)
		qt.Check(t, tt.from.wanted(), qt.DeepEquals, tt.want, qt.Commentf("%s", tt.about))
	}
}

// TestSnapshotsArePackedOnce asks for a collection on two connections.
func TestSnapshotsArePackedOnce(t *testing.T) {
	r := newRelay()
	first := newLink(r, nil, chivehillcatalog.Host{ID: "a", Domain: "d", Region: "r"}, false)
	second := newLink(r, nil, chivehillcatalog.Host{ID: "b", Domain: "d", Region: "r"}, false)
	r.answerWant(first, chivehillcatalog.Servers)
	qt.Assert(t, first.take(), qt.IsNil, qt.Commentf("nothing is known"))
	r.Catalog.Apply(chivehillcatalog.Servers, chivehillcatalog.Update{Full: true, AsOf: 5, Records: []chivehillcatalog.Record{{Name: "i", Revision: 4, Data: []byte("x")}}})
	r.answerWant(first, chivehillcatalog.Servers)
	r.answerWant(second, chivehillcatalog.Servers)
	a, b := first.take().Packed[0], second.take().Packed[0]
	qt.Assert(t, &a[0], qt.Equals, &b[0])
	m, err := unpack(a)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m.Updates, qt.HasLen, 1)
	qt.Assert(t, decodeUpdate(m.Updates[0]), qt.DeepEquals, r.Catalog.Snapshot(chivehillcatalog.Servers))
	r.Catalog.Apply(chivehillcatalog.Servers, chivehillcatalog.Update{Since: 5, AsOf: 6, Records: []chivehillcatalog.Record{{Name: "j", Revision: 6}}})
	r.answerWant(first, chivehillcatalog.Servers)
	m, err = unpack(first.take().Packed[0])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m.Updates[0].Records, qt.HasLen, 2, qt.Commentf("packed anew after a change"))
}

func TestUnpack(t *testing.T) {
	tests := []struct {
		about  string
		packed []byte
	}{
		{"nothing", nil},
		{"not compressed", []byte("message")},
		{"no message", deflate([]byte("message"))},
		{"too large", deflate(make([]byte, maxMessageBytes+1))},
	}
	for _, tt := range tests {
		_, err := unpack(tt.packed)
		qt.Check(t, err, qt.ErrorIs, chivehillcodec.ErrMalformed, qt.Commentf("%s", tt.about))
	}
}

func TestUnknownCollectionsAreIgnored(t *testing.T) {
	r := newRelay()
	l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
	r.receive(l, chivehillwire.RelayMessage{
		Updates: []chivehillwire.RelayUpdate{{Collection: "odd", Full: true, AsOf: 5}}, Want: []chivehillcatalog.Collection{"odd", chivehillcatalog.Servers},
		Beat: &chivehillwire.RelayBeat{Collections: []chivehillwire.RelayState{{Collection: "odd", AsOf: 9}}},
	})
	qt.Assert(t, l.take(), qt.IsNil)
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
		r := newRelay()
		l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
		l.hear(m)
		r.receive(l, m)
		Decide(r.situation())
	})
}
