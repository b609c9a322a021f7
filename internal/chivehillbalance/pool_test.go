package chivehillbalance

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const second = chivehillclock.Second

// newPool returns a pool that owns one server of two slots and has two peers.
func newPool(known chivehillid.Slots) *Pool {
	p := New(Config{
		Self: "self", Region: "east", Pool: "pool", ColdConcurrency: 1, RampSuccesses: 2, Slack: 1, BacklogSlack: 1, Fanout: 2, GrantValid: 100,
	})
	p.Handle(1, SetPeers{Peers: []Peer{{Host: "near", Region: "east", RoundTrip: 2}, {Host: "far", Region: "west", RoundTrip: 24}}})
	p.Handle(1, SetOwned{Servers: []Owned{{Server: "s", Slots: 2, KnownLimit: known}}})
	p.Handle(1, Confirm{Until: 100 * second})
	p.Handle(1, Probed{Server: "s", Healthy: true})
	return p
}

func request(id RequestID) Request {
	return Request{ID: id, Deadline: second, WaitUntil: second, Regions: chivehillregion.Everywhere(), LinkOpen: true}
}

func dispatches(actions []Action) []Dispatch {
	var ds []Dispatch
	for _, a := range actions {
		if d, ok := a.(Dispatch); ok {
			ds = append(ds, d)
		}
	}
	return ds
}

func sends(actions []Action) map[chivehillid.HostID]chivehillwire.PoolMessages {
	found := make(map[chivehillid.HostID]chivehillwire.PoolMessages)
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			found[s.To] = s.Messages
		}
	}
	return found
}

func TestColdServerGetsOneRequestAtATime(t *testing.T) {
	c := qt.New(t)
	p := newPool(0)
	first := dispatches(p.Handle(2, Submit{request(1)}))
	c.Assert(first, qt.HasLen, 1)
	c.Assert(first[0].Cold, qt.IsTrue)
	c.Assert(dispatches(p.Handle(3, Submit{request(2)})), qt.HasLen, 0)
	next := dispatches(p.Handle(4, Finish{Owner: "self", Grant: first[0].Grant, Result: Good, Took: 2}))
	c.Assert(next, qt.HasLen, 1)
	c.Assert(next[0].Request, qt.Equals, RequestID(2))
}

func TestServerStates(t *testing.T) {
	tests := []struct {
		name   string
		events []Event
		want   int
	}{
		{"warm: slots and slack", nil, 3},
		{"out of service", []Event{SetOwned{[]Owned{{Server: "s", Slots: 2, Out: true}}}}, 0},
		{"draining by probe", []Event{Probed{Server: "s", Draining: true}}, 0},
		{"unhealthy by probe", []Event{Probed{Server: "s"}}, 0},
		{"cold by probe", []Event{Probed{Server: "s", Healthy: true, Cold: true}}, 1},
		{"connection closed", []Event{Disconnected{Server: "s"}}, 0},
		{"connection closed, then healthy", []Event{Disconnected{Server: "s"}, Probed{Server: "s", Healthy: true}}, 1},
		{"no longer owned", []Event{SetOwned{}}, 0},
		{"previous owner may still act: half", []Event{Undisputed{Server: "s", From: 50 * second}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPool(2)
			for _, e := range tt.events {
				p.Handle(2, e)
			}
			got := 0
			for id := range RequestID(6) {
				got += len(dispatches(p.Handle(3, Submit{request(id + 1)})))
			}
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

func TestResultsOfRequests(t *testing.T) {
	tests := []struct {
		result Result
		took   chivehillclock.Millis
		cold   bool
		state  string
	}{
		{Good, 5, false, "warm"},
		{Good, 5, true, "cold"},
		{Failed, 1, false, "warm"},
		{Shed, 1, false, "cold"},
		{Killed, 1, false, "suspended"},
		{Silent, 900, false, "cold"},
		{Silent, 1, false, "warm"},
		{Drains, 1, false, "draining"},
		{Unused, 0, false, "warm"},
		{Cancelled, 9, false, "warm"},
	}
	for _, tt := range tests {
		t.Run(string(tt.result), func(t *testing.T) {
			p := newPool(2)
			d := dispatches(p.Handle(2, Submit{request(1)}))[0]
			p.Handle(3, Finish{Owner: "self", Grant: d.Grant, Result: tt.result, Took: tt.took, Cold: tt.cold})
			qt.Assert(t, p.Servers(4)[0].State, qt.Equals, tt.state)
		})
	}
}

func TestUnconfirmedOwnerDoesNotUseColdServers(t *testing.T) {
	c := qt.New(t)
	p := newPool(0)
	c.Assert(dispatches(p.Handle(101*second, Submit{Request{
		ID: 1, Deadline: 102 * second, WaitUntil: 102 * second, Regions: chivehillregion.Everywhere(),
	}})), qt.HasLen, 0)
}

func TestPauseRequiresProbeAndRamp(t *testing.T) {
	c := qt.New(t)
	p := newPool(2)
	p.Handle(5*second, Tick{})
	c.Assert(p.Servers(5 * second)[0].State, qt.Equals, "suspended")
	p.Handle(5*second, Probed{Server: "s", Healthy: true})
	c.Assert(p.Servers(5 * second)[0].State, qt.Equals, "cold")
}

func TestBusyHostRequestsSlotFromPeer(t *testing.T) {
	c := qt.New(t)
	p := newPool(2)
	idle := chivehillwire.PoolMessages{Load: &chivehillwire.Load{Idle: 2, Limit: 4}}
	p.Handle(2, Receive{From: "near", Messages: idle, Issued: 2})
	p.Handle(2, Receive{From: "far", Messages: idle, Issued: 2})
	for id := range RequestID(3) {
		p.Handle(2, Submit{request(id + 1)})
	}
	for id := range RequestID(40) {
		p.Handle(2, Submit{request(id + 10)})
	}
	sent := sends(p.Handle(2, Submit{request(99)}))
	c.Assert(sent["near"].Asks, qt.HasLen, 1)
	c.Assert(sent["near"].Asks[0].WaitMs > 0, qt.IsTrue)
	late := chivehillwire.PoolMessages{Load: idle.Load, Grants: []chivehillwire.Grant{{Ask: 99, Grant: 7, Server: "x", ValidMs: 100}}}
	actions := p.Handle(300, Receive{From: "near", Messages: late, Issued: 150})
	c.Assert(dispatches(actions), qt.HasLen, 0, qt.Commentf("the grant is too old to be used"))
	c.Assert(sends(actions)["near"].Releases, qt.HasLen, 1)
}

// TestLoadsAreExchanged checks that two hosts learn each other's load, whichever
// of them discovers the other first.
func TestLoadsAreExchanged(t *testing.T) {
	c := qt.New(t)
	p := New(Config{Self: "self", Region: "east", Pool: "pool"})
	p.Handle(1, Receive{From: "near", Messages: chivehillwire.PoolMessages{Load: &chivehillwire.Load{Limit: 4}}, Issued: 1})
	actions := p.Handle(2, SetPeers{Peers: []Peer{{Host: "near", Region: "east"}}})
	c.Assert(sends(actions)["near"].LoadWanted, qt.IsTrue)
	actions = p.Handle(3, Receive{From: "near", Messages: chivehillwire.PoolMessages{Load: &chivehillwire.Load{Limit: 4}, LoadWanted: true}, Issued: 3})
	c.Assert(sends(actions)["near"].Load, qt.IsNotNil)
	c.Assert(sends(actions)["near"].LoadWanted, qt.IsFalse)
}

func TestRegionBoundRequestAsksNoOtherRegion(t *testing.T) {
	c := qt.New(t)
	p := New(Config{Self: "self", Region: "east", Pool: "pool", Fanout: 2})
	p.Handle(1, SetPeers{Peers: []Peer{{Host: "far", Region: "west", RoundTrip: 24}}})
	p.Handle(1, Receive{From: "far", Messages: chivehillwire.PoolMessages{Load: &chivehillwire.Load{Idle: 2, Limit: 4}}, Issued: 1})
	r := request(1)
	r.Regions = chivehillregion.Only("east")
	c.Assert(p.Handle(2, Submit{r}), qt.DeepEquals, []Action{Refuse{Request: 1, Reason: chivehillreason.NoServer}})
	c.Assert(sends(p.Handle(2, Submit{request(2)}))["far"].Asks, qt.HasLen, 1)
}

func TestTenantsShareSlotsEvenly(t *testing.T) {
	c := qt.New(t)
	p := newPool(2)
	for id := range RequestID(13) {
		r := request(id + 1)
		r.Tenant = "flood"
		p.Handle(2, Submit{r})
	}
	r := request(100)
	r.Tenant = "small"
	p.Handle(2, Submit{r})
	var served []RequestID
	for grant := range chivehillid.GrantID(2) {
		for _, d := range dispatches(p.Handle(3, Finish{Owner: "self", Grant: grant + 1, Result: Good, Took: 5})) {
			served = append(served, d.Request)
		}
	}
	c.Assert(served, qt.Contains, RequestID(100), qt.Commentf("%v", served))
}

func TestServerIsReleasedAfterLastSlot(t *testing.T) {
	c := qt.New(t)
	p := newPool(2)
	d := dispatches(p.Handle(2, Submit{request(1)}))[0]
	for _, a := range p.Handle(3, SetOwned{}) {
		_, released := a.(Released)
		c.Assert(released, qt.IsFalse, qt.Commentf("released while a slot is still granted"))
	}
	actions := p.Handle(4, Finish{Owner: "self", Grant: d.Grant, Result: Good, Took: 2})
	c.Assert(actions, qt.DeepEquals, []Action{Released{Server: "s", Limit: 2}})
}
