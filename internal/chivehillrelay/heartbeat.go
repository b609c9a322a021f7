package chivehillrelay

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// sendHeartbeats queues a heartbeat on the links that match accepts.
func (r *Relay) sendHeartbeats(match func(*link) bool) {
	links := slices.DeleteFunc(r.allLinks(), func(l *link) bool { return !match(l) })
	if len(links) == 0 {
		return
	}
	heartbeat := r.newHeartbeat()
	for _, l := range links {
		queueHeartbeat(l, heartbeat)
	}
}

func (r *Relay) allLinks() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	links := make([]*link, 0, len(r.links))
	for _, l := range r.links {
		links = append(links, l)
	}
	return links
}

func (r *Relay) queueHeartbeat(l *link) { queueHeartbeat(l, r.newHeartbeat()) }

func queueHeartbeat(l *link, heartbeat *chivehillwire.RelayBeat) {
	l.add(func(m *chivehillwire.RelayMessage) { m.Beat = heartbeat })
}

// newHeartbeat returns a heartbeat with the current state of this host. Links share
// it, so it must not be modified.
func (r *Relay) newHeartbeat() *chivehillwire.RelayBeat {
	at, hasContact := r.Contact()
	heartbeat := chivehillwire.RelayBeat{ContactAgeMs: -1}
	if hasContact {
		heartbeat.ContactAgeMs = r.Clock.Now() - at
	}
	for _, c := range r.Catalog.Collections() {
		asOf, digest := r.Catalog.State(c)
		heartbeat.Collections = append(heartbeat.Collections, chivehillwire.RelayState{Collection: c, AsOf: asOf, Digest: digest})
	}
	r.mu.Lock()
	heartbeat.Watching, heartbeat.Leaving, heartbeat.Lost, heartbeat.Delegate = r.watching, r.leaving, r.storeUnreachable, r.decision.Delegate
	heartbeat.Searching, heartbeat.Uninformed = r.decision.Searching, !r.informed.Load()
	for id := range r.decision.Down {
		heartbeat.Down = append(heartbeat.Down, id)
	}
	r.mu.Unlock()
	return &heartbeat
}
