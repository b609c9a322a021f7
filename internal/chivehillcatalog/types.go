// Package chivehillcatalog caches the state of the deployment on a host: the
// configuration in force, the servers, the failure domains that are taken out
// of service, and the other hosts. The state arrives as records with revisions;
// an older revision never replaces a newer one.
package chivehillcatalog

import (
	"crypto/sha256"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
)

// Era counts how often the store came back from an older copy of its content. The store
// then gives out revisions again that it gave out after the copy was made.
type Era uint64

// Revision is a revision of the store together with its era, which ranks first. So each
// state of the store has a higher revision than all states before it, also when the store
// came back from a copy. The zero Revision precedes all others.
type Revision uint64

// numberBits is the number of low bits that hold the store's own number.
const numberBits = 48

// NewRevision returns the revision with the number that the store states in an era.
func NewRevision(era Era, number uint64) Revision {
	return Revision(era)<<numberBits | Revision(min(number, 1<<numberBits-1))
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the store's own number of the revision.
func (r Revision) Number() uint64 { return uint64(r & (1<<numberBits - 1)) }

// Collection is the name of a set of records of one kind.
type Collection string

// The collections that a host watches.
const (
	Configurations Collection = "configurations"
	Servers        Collection = "servers"
	Withdrawals    Collection = "withdrawals"
	Hosts          Collection = "hosts"
	// Rollouts is watched only in deployments that have roll-outs.
	Rollouts Collection = "rollouts"
)

// Collections lists the collections that every host watches.
var Collections = []Collection{Configurations, Servers, Withdrawals, Hosts}

// Record is one object of a collection as the store holds it.
type Record struct {
	Name string
	// Revision is the revision of the last change of the object.
	Revision Revision
	// Data is the encoded object. It must not be modified once it is shared.
	Data    []byte
	Deleted bool
}

// Update is a full list of a collection or a batch of changes to it.
type Update struct {
	// Full is set if Records lists every object of the collection.
	Full bool
	// Since is the revision after which Records holds all changes. It does not
	// apply if Full is set.
	Since Revision
	// AsOf is the revision up to which Records is complete.
	AsOf Revision
	// Records is in the order of the changes, unless Full is set. A record may be changed more
	// than once. The revision of a removal may be that of the record that it removes.
	Records []Record
	// FromStore is set if the update is the store's own answer.
	FromStore bool
	// EraStart is the lowest revision of a first list of the store's newest era that the
	// sender knows of, 0 if it knows of none. Records up to it may stem from a copy that is
	// older than what the receiver knows.
	EraStart Revision
	// Settled is set if the sender has waited for the writers of what the store had lost, so
	// that the receiver need not wait again.
	Settled bool
}

// goneUntil returns, for each removal among the records, the revision up to which the record
// stays gone: the end of the update, or the revision before that of the next record of the
// same name. The records are in the order of their changes.
func (u Update) goneUntil() []Revision {
	until := make([]Revision, len(u.Records))
	rewritten := make(map[string]Revision)
	for i, e := range slices.Backward(u.Records) {
		until[i] = u.AsOf
		if next, found := rewritten[e.Name]; found {
			until[i] = min(u.AsOf, next-1)
		}
		if !e.Deleted {
			rewritten[e.Name] = e.Revision
		}
	}
	return until
}

// Target is a service that requests of a route are sent to.
type Target struct {
	Service chivehillid.ServiceID
	// Weight is positive. Requests are distributed in proportion to it.
	Weight float64
}

// Route defines how the requests of a host name and a path prefix are served.
type Route struct {
	ID       chivehillid.RouteID
	Hostname string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits; 0 means no limit.
	Timeout chivehillclock.Millis
	// Objective is the target latency: an answer within it is fully useful.
	Objective chivehillclock.Millis
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Targets is never empty.
	Targets []Target
	// MaxAttempts is the maximum number of servers to which a request is sent. It
	// is at least 1.
	MaxAttempts int
	Regions     chivehillregion.Set
	// Open is set if requests need no key.
	Open bool
}

// Service describes the servers of a service.
type Service struct {
	ID         chivehillid.ServiceID
	HealthPath string
	// MaxConnections is the maximum number of connections that a server accepts
	// from all hosts together.
	MaxConnections int
	// ColdDuration is how long a server is cold after its start.
	ColdDuration chivehillclock.Millis
	// ColdRequestsPerSecond is the number of requests a second that a cold server can handle.
	ColdRequestsPerSecond float64
}

// Limits bounds the size of requests, the time that callers take to send the
// header and the time that connections stay idle.
type Limits struct {
	HeaderBytes   chivehillid.Bytes
	BodyBytes     chivehillid.Bytes
	HeaderTimeout chivehillclock.Millis
	IdleTimeout   chivehillclock.Millis
}

// Quota bounds the rate of a workspace's requests over all hosts together.
type Quota struct {
	// PerSecond is the number of requests a second; 0 means no limit.
	PerSecond float64
	// Burst is how many requests may come at once beyond the rate.
	Burst float64
}

// Limited reports whether the quota bounds the rate.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Workspace is a customer of the deployment. The keys that select it are in
// Configuration.Keys.
type Workspace struct {
	ID chivehillid.WorkspaceID
	// Priority is the rank of the workspace's requests; 0 is the highest. It goes before
	// that of the route.
	Priority int
	Quota    Quota
	Regions  chivehillregion.Set
}

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Configuration is one version of the configuration that operators apply.
type Configuration struct {
	Version  chivehillid.Version
	Routes   []Route
	Services map[chivehillid.ServiceID]Service
	Limits   Limits
	// Workspaces is nil if the configuration has none: requests then need no key.
	Workspaces map[chivehillid.WorkspaceID]Workspace
	// Keys maps the digest of each key to the workspace that holds it.
	Keys map[KeyDigest]chivehillid.WorkspaceID
}

// Server is a server as it registered itself.
type Server struct {
	ID      chivehillid.ServerID
	Service chivehillid.ServiceID
	Address string
	Domain  chivehillid.DomainID
	Slots   chivehillid.Slots
	// Draining is set if the server must get no new requests.
	Draining bool
	// ColdRemaining is how much longer the server is cold, as of the last change of its record.
	ColdRemaining chivehillclock.Millis
	// Started identifies the run of the server: its start time in Unix
	// milliseconds, 0 if unknown.
	Started int64
	// Version is the version of the software that the server runs.
	Version chivehillid.SoftwareVersion
}

// RolloutState is the state of a roll-out.
type RolloutState string

// The states of a roll-out. Done and RolledBack are final.
const (
	// RolloutOrdered means that no host has recorded a state yet.
	RolloutOrdered    RolloutState = "ordered"
	RolloutRunning    RolloutState = "running"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "rolled-back"
)

// Final reports whether the state does not change any more.
func (s RolloutState) Final() bool { return s == RolloutDone || s == RolloutRolledBack }

// Rollout is an order to move a service to a version of its software, and how far it got.
type Rollout struct {
	Service chivehillid.ServiceID
	Target  chivehillid.SoftwareVersion
	// Duration is how long the roll-out may take from its order. It is positive.
	Duration chivehillclock.Millis
	State    RolloutState
	// Revision is the revision of the record.
	Revision Revision
	// Created is the revision at which the order was given, without its era. With the service
	// and the target it tells an order from an earlier one.
	Created Revision
}

// Instance identifies one run of a server. A server that starts again under its ID is
// another instance.
type Instance struct {
	Server  chivehillid.ServerID
	Started int64
}

// Instance returns the run of the server.
func (s Server) Instance() Instance { return Instance{Server: s.ID, Started: s.Started} }

// Host is an entry host: this one or another.
type Host struct {
	ID chivehillid.HostID
	// Incarnation is sent to peers only. The store entry leaves it out, so that the
	// entry does not change when its host restarts.
	Incarnation chivehillid.Incarnation
	Region      chivehillid.RegionID
	Domain      chivehillid.DomainID
	// CallerAddress, ReadyAddress and PeerAddress each hold an IP address and a port.
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	// Capacity weighs how much the host can serve to others, relative to other
	// hosts: its cores times the megabits a second of its link. Only store entries
	// hold it.
	Capacity float64
}
