package chivehillcatalog

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// versionDecoder decodes a configuration whose data is its version.
type versionDecoder struct{}

func (versionDecoder) Configuration(r Record) (Configuration, error) {
	version, err := strconv.ParseUint(string(r.Data), 10, 64)
	return Configuration{Version: chivehillid.Version(version)}, err
}

func (versionDecoder) Server(r Record) (Server, error) {
	if len(r.Data) == 0 {
		return Server{}, errors.New("empty")
	}
	return Server{ID: chivehillid.ServerID(r.Name)}, nil
}

func (versionDecoder) Withdrawal(r Record) (chivehillid.DomainID, error) {
	return chivehillid.DomainID(r.Name), nil
}

func (versionDecoder) Host(r Record) (Host, error) { return Host{ID: chivehillid.HostID(r.Name)}, nil }

func (versionDecoder) Rollout(r Record) (Rollout, error) {
	return Rollout{Service: chivehillid.ServiceID(r.Name)}, nil
}

// TestOlderVersionReplacesTheRecordOfANewerOne checks what peers get from this host.
func TestOlderVersionReplacesTheRecordOfANewerOne(t *testing.T) {
	c := newVersionCatalog()
	for _, u := range []Update{
		{Full: true, FromStore: true, AsOf: 9, Records: []Record{{Name: "main", Revision: 9, Data: []byte("12")}}},
		{Full: true, FromStore: true, AsOf: NewRevision(1, 6), Records: []Record{{Name: "main", Revision: NewRevision(1, 5), Data: []byte("8")}}},
	} {
		c.Apply(Configurations, u)
	}
	c.Settle(Configurations, 1)
	qt.Check(t, c.View().Configuration.Version, qt.Equals, chivehillid.Version(12))
	held, _ := c.Record(Configurations, "main")
	qt.Check(t, string(held.Data), qt.Equals, "12")
	c.Apply(Configurations, Update{FromStore: true, Since: NewRevision(1, 6), AsOf: NewRevision(1, 7), Records: []Record{{Name: "main", Revision: NewRevision(1, 7), Data: []byte("13")}}})
	qt.Check(t, c.View().Configuration.Version, qt.Equals, chivehillid.Version(13))
}

func TestNewestDecodableConfigurationIsInForce(t *testing.T) {
	tests := []struct {
		about string
		data  []string
		want  chivehillid.Version
	}{
		{"newer", []string{"3", "5"}, 5},
		{"older version in a newer revision of the record", []string{"5", "3"}, 5},
		{"unreadable", []string{"5", "x"}, 5},
		{"same version again", []string{"5", "5"}, 5},
	}
	for _, tt := range tests {
		c := newVersionCatalog()
		for i, data := range tt.data {
			revision := Revision(i + 1)
			c.Apply(Configurations, Update{Full: true, AsOf: revision, Records: []Record{{Name: "main", Revision: revision, Data: []byte(data)}}})
		}
		qt.Check(t, c.View().Configuration.Version, qt.Equals, tt.want, qt.Commentf("%s", tt.about))
	}
}

// TestRecordThatIsWrittenAgainAtOnceIsMissing guards against a record that all hosts drop, because
// it was removed and written again within one answer of the store. A peer gets the changes from
// this host, another one everything that it holds.
func TestRecordThatIsWrittenAgainAtOnceIsMissing(t *testing.T) {
	inView := map[Collection]func(View) bool{
		Configurations: func(v View) bool { return v.Configuration.Version == 4 },
		Servers:        func(v View) bool { return v.Servers["a"].ID == "a" },
		Withdrawals:    func(v View) bool { return v.Withdrawn["a"] },
		Hosts:          func(v View) bool { return v.Hosts["a"].ID == "a" },
	}
	list := Update{Full: true, FromStore: true, AsOf: 19, Records: []Record{{Name: "a", Revision: 19, Data: []byte("3")}}}
	answer := Update{FromStore: true, Since: 19, AsOf: 21, Records: []Record{{Name: "a", Revision: 20, Deleted: true}, {Name: "a", Revision: 21, Data: []byte("4")}}}
	for _, name := range Collections {
		watching, follower, behind := newVersionCatalog(), newVersionCatalog(), newVersionCatalog()
		for _, c := range []*Catalog{watching, follower, behind} {
			c.Apply(name, list)
		}
		follower.Apply(name, watching.Apply(name, answer))
		behind.Apply(name, follower.Snapshot(name))
		for i, c := range []*Catalog{watching, follower, behind} {
			held, _ := c.Record(name, "a")
			qt.Check(t, held.Revision, qt.Equals, Revision(21), qt.Commentf("%s, catalog %d", name, i))
			qt.Check(t, inView[name](c.View()), qt.IsTrue, qt.Commentf("%s, catalog %d", name, i))
		}
	}
}

// TestRecordThatWasRemovedReturnsWithALateUpdate guards against a record that a host holds until
// the store's next change, although it knows the collection up to its removal: it never saw the
// record, and a source that lags behind brings it.
func TestRecordThatWasRemovedReturnsWithALateUpdate(t *testing.T) {
	known := Record{Name: "known", Revision: 5, Data: []byte("x")}
	added := Record{Name: "a", Revision: 10, Data: []byte("x")}
	upTo12 := func(c *Catalog, name Collection) {
		// A peer that saw the record come and go has the same records as before.
		_, digest := c.State(name)
		c.Confirm(name, 12, digest)
	}
	tests := []struct {
		about string
		learn func(*Catalog, Collection)
		late  Update
		held  bool
	}{
		{"confirmed by a peer, late answer of the store", upTo12, Update{FromStore: true, Since: 9, AsOf: 10, Records: []Record{added}}, false},
		{"confirmed by a peer, late update of another peer", upTo12, Update{Since: 9, AsOf: 10, Records: []Record{added}}, false},
		{"confirmed by a peer, update of a peer that holds it by mistake", upTo12, Update{Since: 12, AsOf: 12, Records: []Record{added}}, false},
		{"confirmed by a peer, late list", upTo12, Update{Full: true, FromStore: true, AsOf: 10, Records: []Record{known, added}}, false},
		{"listed, late update", func(c *Catalog, name Collection) {
			c.Apply(name, Update{Full: true, FromStore: true, AsOf: 12, Records: []Record{known}})
		}, Update{FromStore: true, Since: 9, AsOf: 10, Records: []Record{added}}, false},
		{"news", upTo12, Update{FromStore: true, Since: 12, AsOf: 13, Records: []Record{{Name: "a", Revision: 13, Data: []byte("x")}}}, true},
		{"news after a gap", upTo12, Update{Since: 14, AsOf: 15, Records: []Record{{Name: "a", Revision: 15, Data: []byte("x")}}}, true},
		{"newer list with an older record", upTo12, Update{Full: true, AsOf: 13, Records: []Record{known, added}}, true},
		{"own entry, without a revision up to which it is complete", upTo12, Update{Records: []Record{{Name: "a", Revision: 13, Data: []byte("x")}}}, true},
	}
	for _, tt := range tests {
		for _, name := range newVersionCatalog().Collections() {
			c := newVersionCatalog()
			c.Apply(name, Update{Full: true, FromStore: true, AsOf: 9, Records: []Record{known}})
			tt.learn(c, name)
			passedOn := c.Apply(name, tt.late)
			_, held := c.Record(name, "a")
			qt.Check(t, held, qt.Equals, tt.held, qt.Commentf("%s: %s", name, tt.about))
			if tt.held {
				qt.Check(t, len(passedOn.Records) > 0, qt.IsTrue, qt.Commentf("%s: %s", name, tt.about))
				continue
			}
			// Peers learn once that it is gone, and nothing else.
			removal := []Record{{Name: "a", Revision: 10, Deleted: true}}
			qt.Check(t, passedOn, qt.DeepEquals, Update{Since: 12, AsOf: 12, Records: removal}, qt.Commentf("%s: %s", name, tt.about))
			qt.Check(t, c.Apply(name, tt.late).Records, qt.HasLen, 0, qt.Commentf("%s: %s, again", name, tt.about))
		}
	}
}

func newVersionCatalog() *Catalog {
	return New(Options{Decoder: versionDecoder{}, Log: zerolog.Nop(), Rollouts: true})
}

func TestUndecodableServersAreIgnored(t *testing.T) {
	c := newVersionCatalog()
	c.Apply(Servers, Update{Full: true, AsOf: 2, Records: []Record{{Name: "a", Revision: 1, Data: []byte("x")}, {Name: "b", Revision: 2}}})
	view := c.View()
	qt.Assert(t, view.Servers, qt.HasLen, 1)
	qt.Assert(t, view.ServersSynced, qt.IsTrue)
}

func TestConfirmNeedsTheSameDigest(t *testing.T) {
	c := newVersionCatalog()
	c.Apply(Hosts, Update{Full: true, AsOf: 3, Records: []Record{{Name: "a", Revision: 2}}})
	_, digest := c.State(Hosts)
	c.Confirm(Hosts, 9, digest+1)
	qt.Assert(t, c.AsOf(Hosts), qt.Equals, Revision(3))
	c.Confirm(Hosts, 9, digest)
	qt.Assert(t, c.AsOf(Hosts), qt.Equals, Revision(9))
	c.Confirm(Servers, 9, 0)
	qt.Assert(t, c.AsOf(Servers), qt.Equals, Revision(0))
}

func TestLongestPathPrefixIsChosen(t *testing.T) {
	routes := newRouteTable([]Route{
		{ID: "short", Hostname: "H", PathPrefix: "/a/"}, {ID: "long", Hostname: "h", PathPrefix: "/a/b/"}, {ID: "other", Hostname: "o", PathPrefix: "/"},
	})
	tests := []struct {
		host, path string
		want       chivehillid.RouteID
	}{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"H", "/a/b/", "long"},
		{"h", "/a", ""},
		{"h", "/b/", ""},
		{"o", "/anything", "other"},
		{"x", "/a/", ""},
	}
	for _, tt := range tests {
		r, _ := routes.find(tt.host, tt.path)
		qt.Check(t, r.ID, qt.Equals, tt.want, qt.Commentf("%s%s", tt.host, tt.path))
	}
}

// countingDecoder counts the servers that it decodes.
type countingDecoder struct {
	versionDecoder
	servers *int
}

func (d countingDecoder) Server(r Record) (Server, error) {
	*d.servers++
	return d.versionDecoder.Server(r)
}

// TestOnlyChangedRecordsAreDecoded guards against decoding the whole collection
// on each update: an update decodes only the records that it changes, however many
// are held.
func TestOnlyChangedRecordsAreDecoded(t *testing.T) {
	const known = 100
	record := func(i int, revision Revision, data string) Record {
		return Record{Name: strconv.Itoa(i), Revision: revision, Data: []byte(data)}
	}
	all := Update{Full: true, AsOf: known}
	for i := range known {
		all.Records = append(all.Records, record(i, Revision(i+1), "x"))
	}
	removed := record(3, known+4, "x")
	removed.Deleted = true
	tests := []struct {
		about   string
		records []Record
		decoded int
		servers int
	}{
		{"record changed", []Record{record(1, known+1, "y")}, 1, known},
		{"record added", []Record{record(known, known+2, "x")}, 1, known + 1},
		{"record can no longer be decoded", []Record{record(2, known+3, "")}, 1, known},
		{"record removed", []Record{removed}, 0, known - 1},
		{"record without a newer revision", []Record{record(1, known+1, "y")}, 0, known - 1},
	}
	decoded := 0
	c := New(Options{Decoder: countingDecoder{servers: &decoded}, Log: zerolog.Nop()})
	c.Apply(Servers, all)
	qt.Assert(t, decoded, qt.Equals, known)
	for i, tt := range tests {
		decoded = 0
		before := c.View().Servers
		size := len(before)
		c.Apply(Servers, Update{Since: known, AsOf: Revision(known + 1 + i), Records: tt.records})
		qt.Check(t, decoded, qt.Equals, tt.decoded, qt.Commentf("%s", tt.about))
		qt.Check(t, c.View().Servers, qt.HasLen, tt.servers, qt.Commentf("%s", tt.about))
		qt.Check(t, before, qt.HasLen, size, qt.Commentf("%s: an earlier view must not change", tt.about))
	}
}

// TestInitialRecordLogsAreBounded counts the log lines of the first list of a
// collection: one line for the list, and one for each record only if the
// collection is small. Later changes are always logged.
func TestInitialRecordLogsAreBounded(t *testing.T) {
	tests := []struct {
		records, lines int
	}{
		{0, 1},
		{maxInitialRecordLogs, maxInitialRecordLogs + 1},
		{maxInitialRecordLogs + 1, 1},
	}
	for _, tt := range tests {
		var lines strings.Builder
		c := New(Options{Decoder: versionDecoder{}, Log: zerolog.New(&lines)})
		u := Update{Full: true, AsOf: 5}
		for i := range tt.records {
			u.Records = append(u.Records, Record{Name: strconv.Itoa(i), Revision: 1})
		}
		c.Apply(Hosts, u)
		qt.Check(t, strings.Count(lines.String(), "\n"), qt.Equals, tt.lines, qt.Commentf("%d", tt.records))
		before := strings.Count(lines.String(), "\n")
		c.Apply(Hosts, Update{Since: 5, AsOf: 6, Records: []Record{{Name: "new", Revision: 6}}})
		qt.Check(t, strings.Count(lines.String(), "\n"), qt.Equals, before+1, qt.Commentf("%d", tt.records))
	}
}

// TestHostServesWithoutItsOrders guards against a host with roll-outs that serves before it knows
// which versions are under trial.
func TestHostServesWithoutItsOrders(t *testing.T) {
	for _, rollouts := range []bool{false, true} {
		c := New(Options{Decoder: versionDecoder{}, Log: zerolog.Nop(), Rollouts: rollouts})
		for _, name := range c.Collections() {
			qt.Check(t, c.View().Loaded(), qt.Equals, !rollouts && name == Hosts, qt.Commentf("roll-outs: %v, before %s", rollouts, name))
			c.Apply(name, Update{Full: true, AsOf: 5, Records: []Record{{Name: "main", Revision: 1, Data: []byte("3")}}})
		}
	}
}
