package chivehillcatalog

import (
	"errors"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// numbers decodes a configuration whose data is its version.
type numbers struct{}

func (numbers) Configuration(r Record) (Configuration, error) {
	version, err := strconv.ParseUint(string(r.Data), 10, 64)
	return Configuration{Version: chivehillid.Version(version)}, err
}

func (numbers) Server(r Record) (Server, error) {
	if len(r.Data) == 0 {
		return Server{}, errors.New("empty")
	}
	return Server{ID: chivehillid.ServerID(r.Name)}, nil
}

func (numbers) Withdrawal(r Record) (chivehillid.DomainID, error) {
	return chivehillid.DomainID(r.Name), nil
}

func (numbers) Host(r Record) (Host, error) { return Host{ID: chivehillid.HostID(r.Name)}, nil }

func TestConfigurationInForce(t *testing.T) {
	tests := []struct {
		about string
		data  []string
		want  chivehillid.Version
	}{
		{"newer", []string{"3", "5"}, 5},
		{"older version in a newer record", []string{"5", "3"}, 5},
		{"unreadable", []string{"5", "x"}, 5},
		{"the same again", []string{"5", "5"}, 5},
	}
	for _, tt := range tests {
		c := New(Options{Decoder: numbers{}, Log: zerolog.Nop()})
		for i, data := range tt.data {
			revision := Revision(i + 1)
			c.Apply(Configurations, Update{Full: true, AsOf: revision, Records: []Record{{Name: "main", Revision: revision, Data: []byte(data)}}})
		}
		qt.Check(t, c.View().Configuration.Version, qt.Equals, tt.want, qt.Commentf("%s", tt.about))
	}
}

func TestUnreadableRecordsNameNoServer(t *testing.T) {
	c := New(Options{Decoder: numbers{}, Log: zerolog.Nop()})
	c.Apply(Servers, Update{Full: true, AsOf: 2, Records: []Record{{Name: "a", Revision: 1, Data: []byte("x")}, {Name: "b", Revision: 2}}})
	view := c.View()
	qt.Assert(t, view.Servers, qt.HasLen, 1)
	qt.Assert(t, view.ServersKnown, qt.IsTrue)
}

func TestConfirm(t *testing.T) {
	c := New(Options{Decoder: numbers{}, Log: zerolog.Nop()})
	c.Apply(Hosts, Update{Full: true, AsOf: 3, Records: []Record{{Name: "a", Revision: 2}}})
	_, digest := c.State(Hosts)
	c.Confirm(Hosts, 9, digest+1)
	qt.Assert(t, c.AsOf(Hosts), qt.Equals, Revision(3))
	c.Confirm(Hosts, 9, digest)
	qt.Assert(t, c.AsOf(Hosts), qt.Equals, Revision(9))
	c.Confirm(Servers, 9, 0)
	qt.Assert(t, c.AsOf(Servers), qt.Equals, Revision(0))
}

func TestRoutes(t *testing.T) {
	routes := newTable([]Route{
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
