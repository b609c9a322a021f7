// Package chivehillbalance decides which server of a pool runs each request.
//
// Each server has one owner host, which knows how many requests run on it and
// grants its slots: to its own requests directly, to other hosts by a message.
// A request stays at the host where it arrived until that host holds a slot, so
// a request that still waits was not sent to any server.
//
// A Pool is a state machine for one pool at one host. It does no I/O and
// reads no clock: the caller passes the time with each event and carries out
// the returned actions. The same code runs in production, in randomised
// simulations and in the benchmark.
package chivehillbalance

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// RequestID identifies one attempt of a request within its host and pool.
type RequestID uint64

// Request is one attempt to run a request.
type Request struct {
	ID       RequestID
	Deadline chivehillclock.Millis
	Tenant   chivehillid.TenantID
	Regions  chivehillregion.Set
	// Exclude lists servers that must not be used.
	Exclude []chivehillid.ServerID
	// WaitUntil is the time until which the request may wait for a slot. It is at most Deadline.
	WaitUntil chivehillclock.Millis
	// NoSlack keeps the request from exceeding the slots of a server that this host owns.
	NoSlack bool
	// LinkOpen allows servers of other regions.
	LinkOpen bool
}

// Result is the outcome of a granted slot.
type Result string

// The results.
const (
	// Good is a complete response.
	Good Result = "good"
	// Failed is a response that reports a server error, or a failed connection attempt.
	Failed Result = "failed"
	// Shed means that the server rejected the request before it started it.
	Shed Result = "shed"
	// Killed is a connection that was lost while the server ran the request.
	Killed Result = "killed"
	// Silent means that the server did not respond by the deadline.
	Silent Result = "silent"
	// Drains is a response from a draining server.
	Drains Result = "draining"
	// Unused means that the slot was never used.
	Unused Result = "unused"
	// Cancelled means that the sender cancelled the request before its deadline.
	Cancelled Result = "cancelled"
)

// Owned describes a server that this host owns.
type Owned struct {
	Server chivehillid.ServerID
	Slots  chivehillid.Slots
	// Out is set while the server's failure domain is out of service.
	Out bool
	// KnownLimit is the limit that the previous owner last reported, 0 if unknown.
	KnownLimit chivehillid.Slots
	// KnownDraining is set if the previous owner saw the server drain.
	KnownDraining bool
	// ConfirmedFrom is the time until which a previous owner may still grant slots.
	ConfirmedFrom chivehillclock.Millis
}

// Peer describes another entry host.
type Peer struct {
	Host   chivehillid.HostID
	Region chivehillid.RegionID
	// RoundTrip is the expected round-trip time.
	RoundTrip chivehillclock.Millis
}

// Event is something that happened to a pool.
type Event interface{ event() }

// Submit requests a slot for an attempt.
type Submit struct{ Request Request }

// Cancel ends an attempt that has not been dispatched yet.
type Cancel struct{ Request RequestID }

// Finish releases the slot of a dispatched attempt.
type Finish struct {
	Owner  chivehillid.HostID
	Grant  chivehillid.GrantID
	Result Result
	Took   chivehillclock.Millis
	// Cold is set if the server reported a cold start.
	Cold bool
}

// Receive delivers messages from a peer about this pool.
type Receive struct {
	From     chivehillid.HostID
	Messages chivehillwire.PoolMessages
	// Issued is a time on this host's clock that is not after the messages were sent.
	Issued chivehillclock.Millis
}

// SetPeers replaces the set of reachable peers.
type SetPeers struct{ Peers []Peer }

// SetOwned replaces the set of owned servers.
type SetOwned struct{ Servers []Owned }

// Confirm extends the time until which this host's ownership is confirmed by the membership.
type Confirm struct{ Until chivehillclock.Millis }

// Probed carries the result of a health probe.
type Probed struct {
	Server   chivehillid.ServerID
	Healthy  bool
	Cold     bool
	Draining bool
}

// Disconnected reports that a server closed a kept-alive connection, as a restart does.
type Disconnected struct{ Server chivehillid.ServerID }

// Undisputed sets the time from which no other host can act as owner of a server.
type Undisputed struct {
	Server chivehillid.ServerID
	From   chivehillclock.Millis
	// KnownLimit is the limit that the previous owner reported, 0 if unknown.
	KnownLimit chivehillid.Slots
}

// Tick expires waiting requests and granted slots, and grants slots to queued entries.
type Tick struct{}

func (Disconnected) event() {}
func (Submit) event()       {}
func (Cancel) event()       {}
func (Finish) event()       {}
func (Receive) event()      {}
func (SetPeers) event()     {}
func (SetOwned) event()     {}
func (Confirm) event()      {}
func (Probed) event()       {}
func (Undisputed) event()   {}
func (Tick) event()         {}

// Action is something that the caller of a Pool must carry out.
type Action interface{ action() }

// Dispatch assigns a slot to a request of this host. The request must be sent
// before ValidUntil, or the slot released as Unused.
type Dispatch struct {
	Request    RequestID
	Owner      chivehillid.HostID
	Grant      chivehillid.GrantID
	Server     chivehillid.ServerID
	ValidUntil chivehillclock.Millis
	// Cold is set if the server is in a cold start.
	Cold bool
}

// Refuse ends an attempt that was never dispatched.
type Refuse struct {
	Request RequestID
	Reason  chivehillreason.Reason
}

// Send sends messages to a peer.
type Send struct {
	To       chivehillid.HostID
	Messages chivehillwire.PoolMessages
}

// Released reports that a server that this host no longer owns has no granted slots left.
type Released struct {
	Server   chivehillid.ServerID
	Limit    chivehillid.Slots
	Draining bool
}

func (Released) action() {}
func (Dispatch) action() {}
func (Refuse) action()   {}
func (Send) action()     {}

// Config holds the parameters of a pool at a host.
type Config struct {
	Self   chivehillid.HostID
	Region chivehillid.RegionID
	Pool   chivehillid.PoolID
	// ColdConcurrency is the number of concurrent requests of a cold server. It is at least 1.
	ColdConcurrency chivehillid.Slots
	// ColdUnconfirmed is the same while the ownership is not confirmed.
	ColdUnconfirmed chivehillid.Slots
	// RampSuccesses is the number of successful responses that raise the limit by one. It is at least 1.
	RampSuccesses int
	// Slack is the number of requests that a warm server may hold beyond its slots.
	Slack chivehillid.Slots
	// BacklogSlack is the same while more requests are queued than there are slots. It is at least Slack.
	BacklogSlack chivehillid.Slots
	// Fanout is the number of owners at which a request waits at the same time. It is at least 1.
	Fanout int
	// GrantValid is the time within which a granted slot must be used.
	GrantValid chivehillclock.Millis
	// Off disables mechanisms, for experiments.
	Off Switches
}

// Switches disables mechanisms, for experiments that measure the effect of each.
type Switches struct {
	Fairness  bool
	Admission bool
	Ramp      bool
	Ejection  bool
}

// Defaults of Config.
const (
	DefaultColdConcurrency chivehillid.Slots     = 1
	DefaultRampSuccesses                         = 8
	DefaultSlack           chivehillid.Slots     = 2
	DefaultBacklogSlack    chivehillid.Slots     = 4
	DefaultFanout                                = 3
	DefaultGrantValid      chivehillclock.Millis = 100
)
