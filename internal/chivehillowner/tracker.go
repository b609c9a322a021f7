package chivehillowner

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// unknownHost stands for any owner from before this process started.
const unknownHost chivehillid.HostID = ""

// Tracker knows which other hosts may still act as owner of a server after
// the membership changed. A host confirms its ownership by reading the
// membership; that is valid for one lease time. An owner in an earlier epoch can
// therefore act until one lease time after the new epoch was learned, and its
// last request can run until its deadline after that, unless the earlier owner
// reports that it has released the server.
type Tracker struct {
	owners map[chivehillid.ServerID]chivehillid.HostID
	// previousOwners holds for each server the hosts that may still act as its owner, and until when.
	previousOwners map[chivehillid.ServerID]map[chivehillid.HostID]chivehillclock.Millis
	// unknownOwnerUntil is the time until which an owner from before this process
	// started may still act.
	unknownOwnerUntil chivehillclock.Millis
}

// NewTracker returns a tracker of a process that starts now. wait is the lease
// time plus the longest request deadline.
func NewTracker(now, wait chivehillclock.Millis) *Tracker {
	return &Tracker{
		owners:            make(map[chivehillid.ServerID]chivehillid.HostID),
		previousOwners:    make(map[chivehillid.ServerID]map[chivehillid.HostID]chivehillclock.Millis),
		unknownOwnerUntil: now + wait,
	}
}

// Update records the owners in an epoch that was learned at the given time. wait
// is the lease time plus the longest request deadline.
func (t *Tracker) Update(learned, wait chivehillclock.Millis, owners map[chivehillid.ServerID]chivehillid.HostID) {
	for s, h := range owners {
		old, known := t.owners[s]
		if known && old != h {
			t.addPreviousOwner(s, old, learned+wait)
		}
		if !known {
			t.addPreviousOwner(s, unknownHost, t.unknownOwnerUntil)
		}
		delete(t.previousOwners[s], h)
		t.owners[s] = h
	}
}

func (t *Tracker) addPreviousOwner(s chivehillid.ServerID, host chivehillid.HostID, until chivehillclock.Millis) {
	if t.previousOwners[s] == nil {
		t.previousOwners[s] = make(map[chivehillid.HostID]chivehillclock.Millis)
	}
	t.previousOwners[s][host] = max(t.previousOwners[s][host], until)
}

// Owner returns the owner of a server.
func (t *Tracker) Owner(s chivehillid.ServerID) chivehillid.HostID {
	return t.owners[s]
}

// Released records that a host no longer acts as owner of a server.
func (t *Tracker) Released(s chivehillid.ServerID, host chivehillid.HostID) {
	delete(t.previousOwners[s], host)
}

// ConfirmedFrom returns the time from which no other host can act as owner.
func (t *Tracker) ConfirmedFrom(s chivehillid.ServerID) chivehillclock.Millis {
	var from chivehillclock.Millis
	for _, until := range t.previousOwners[s] {
		from = max(from, until)
	}
	return from
}
