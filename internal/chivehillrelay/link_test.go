package chivehillrelay

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
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
	r.Clock.Advance(lagTime)
	tell(11, digest+1)
	qt.Assert(t, l.wanted(), qt.HasLen, 1, qt.Commentf("it is not"))
	tell(8, digest+1)
	r.Clock.Advance(lagTime)
	tell(8, digest+1)
	qt.Assert(t, l.wanted(), qt.HasLen, 0, qt.Commentf("the peer is behind"))
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
		var m chivehillwire.RelayMessage
		if decoder.Unmarshal(data, &m) != nil {
			return
		}
		r := newRelay()
		l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
		l.hear(m)
		r.receive(l, m)
		Decide(r.situation())
	})
}
