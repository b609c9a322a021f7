// Package chivehillcatalog holds what a host believes about the deployment:
// the configuration in force, the servers, the failure domains that are taken
// out, and the other hosts. Beliefs come as records with revisions and never
// regress.
package chivehillcatalog

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
)

// Revision is a revision of the store. It grows with each change of any object.
type Revision uint64

// Collection names a kind of records.
type Collection string

// The collections that a host follows.
const (
	Configurations Collection = "configurations"
	Servers        Collection = "servers"
	Withdrawals    Collection = "withdrawals"
	Hosts          Collection = "hosts"
)

// Collections lists all collections.
var Collections = []Collection{Configurations, Servers, Withdrawals, Hosts}

// Record is one object of a collection as the store holds it.
type Record struct {
	Name string
	// Revision is the revision of the last change of the object.
	Revision Revision
	// Data is the encoded object. It is never changed once shared.
	Data    []byte
	Deleted bool
}

// Update is news about a collection.
type Update struct {
	// Full is set if Records holds every object of the collection.
	Full bool
	// Since is the revision after which Records holds all changes, unless Full.
	Since Revision
	// AsOf is the revision up to which the records are complete.
	AsOf    Revision
	Records []Record
}

// Target is one of the services that serve a route.
type Target struct {
	Service chivehillid.ServiceID
	// Weight is positive. Requests are shared in proportion to it.
	Weight float64
}

// Route tells how the requests of a host name and a path prefix are served.
type Route struct {
	ID       chivehillid.RouteID
	Hostname string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits; 0 means no bound.
	Timeout chivehillclock.Millis
	// Objective is the time within which an answer is of full use.
	Objective chivehillclock.Millis
	// Priority is the rank; 0 goes first.
	Priority int
	// Targets is never empty.
	Targets []Target
	// MaxAttempts is the most servers to which a request is sent. It is at least 1.
	MaxAttempts int
	Regions     chivehillregion.Set
}

// Service describes the servers of a service.
type Service struct {
	ID         chivehillid.ServiceID
	HealthPath string
	// MaxConnections is the most connections that a server accepts from all hosts.
	MaxConnections int
	// ColdFor is the time for which a server is cold after its start.
	ColdFor chivehillclock.Millis
	// ColdPerSecond is the rate of requests that a cold server bears.
	ColdPerSecond float64
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   chivehillid.Bytes
	BodyBytes     chivehillid.Bytes
	HeaderTimeout chivehillclock.Millis
	IdleTimeout   chivehillclock.Millis
}

// Configuration is one version of what operators ask for.
type Configuration struct {
	Version  chivehillid.Version
	Routes   []Route
	Services map[chivehillid.ServiceID]Service
	Limits   Limits
}

// Server is a server as it registered itself.
type Server struct {
	ID      chivehillid.ServerID
	Service chivehillid.ServiceID
	Address string
	Domain  chivehillid.DomainID
	Slots   chivehillid.Slots
	// Draining servers get no new work.
	Draining bool
	// ColdLeft is how much longer the server is cold, as it said at Revision.
	ColdLeft chivehillclock.Millis
	// Started identifies the run of the server: its start in Unix milliseconds, 0 if unknown.
	Started int64
}

// Host is another entry host, or this one.
type Host struct {
	ID chivehillid.HostID
	// Incarnation is told to peers only: an entry does not change when its host
	// starts again.
	Incarnation chivehillid.Incarnation
	Region      chivehillid.RegionID
	Domain      chivehillid.DomainID
	// CallerAddress, ReadyAddress and PeerAddress are an IP address and a port.
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	// Capacity tells how well the host can serve others, against other hosts: its
	// cores times its link's megabits a second. Only entries hold it.
	Capacity float64
}
