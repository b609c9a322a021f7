package chivehillowner

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// anyHost stands for an owner of the time before this process started.
const anyHost chivehillid.HostID = ""

// Tracker knows which other hosts may still act as owner of a server after
// the membership changed. A host confirms its ownership by reading the
// membership, for one lease time. An owner of an earlier epoch can therefore act
// until a lease after the new epoch was learned, and its last request can run
// for one deadline more, unless the earlier owner says that it is done.
type Tracker struct {
	owners map[chivehillid.ServerID]chivehillid.HostID
	// rivals holds for each server the hosts that may still act as its owner, and until when.
	rivals map[chivehillid.ServerID]map[chivehillid.HostID]chivehillclock.Millis
	// started is the end of the time in which an unknown earlier owner may act.
	started chivehillclock.Millis
}

// NewTracker returns a tracker of a process that starts now. wait is the lease
// time and the longest deadline.
func NewTracker(now, wait chivehillclock.Millis) *Tracker {
	return &Tracker{
		owners:  make(map[chivehillid.ServerID]chivehillid.HostID),
		rivals:  make(map[chivehillid.ServerID]map[chivehillid.HostID]chivehillclock.Millis),
		started: now + wait,
	}
}

// Update records the owners of an epoch that was learned at a time. wait is the
// lease time and the longest deadline.
func (t *Tracker) Update(learned, wait chivehillclock.Millis, owners map[chivehillid.ServerID]chivehillid.HostID) {
	for s, h := range owners {
		old, known := t.owners[s]
		if known && old != h {
			t.addRival(s, old, learned+wait)
		}
		if !known {
			t.addRival(s, anyHost, t.started)
		}
		delete(t.rivals[s], h)
		t.owners[s] = h
	}
}

func (t *Tracker) addRival(s chivehillid.ServerID, host chivehillid.HostID, until chivehillclock.Millis) {
	if t.rivals[s] == nil {
		t.rivals[s] = make(map[chivehillid.HostID]chivehillclock.Millis)
	}
	t.rivals[s][host] = max(t.rivals[s][host], until)
}

// Owner returns the owner of a server.
func (t *Tracker) Owner(s chivehillid.ServerID) chivehillid.HostID {
	return t.owners[s]
}

// Released records that a host no longer acts as owner of a server.
func (t *Tracker) Released(s chivehillid.ServerID, host chivehillid.HostID) {
	delete(t.rivals[s], host)
}

// ConfirmedFrom returns the time from which no other host can act as owner.
func (t *Tracker) ConfirmedFrom(s chivehillid.ServerID) chivehillclock.Millis {
	var from chivehillclock.Millis
	for _, until := range t.rivals[s] {
		from = max(from, until)
	}
	return from
}
