package chivehillrelay

import (
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Facts are what the hosts know and the store does not: requests that crash servers, servers that
// leave by their own word, rulings on versions under trial. News is sent to all peers at once; a
// peer that connects is sent all that still holds.

// informTimeout is how long after its start a host waits for what its peers know before it
// serves callers.
const informTimeout = discoveryTime

// Informed reports whether this host knows what its peers know and the store does not, or has
// waited for it long enough to serve callers without.
func (r *Relay) Informed() bool {
	return r.informed.Load() || r.Clock.Now()-r.started >= informTimeout
}

// sendFacts sends a peer that has just connected all facts that still hold.
func (r *Relay) sendFacts(l *link) {
	var facts chivehillwire.RelayMessage
	for _, e := range r.Suspects.Reports(r.Clock.Now()) {
		facts.Suspects = append(facts.Suspects, chivehillwire.RelaySuspect{Fingerprint: e.Fingerprint, Host: e.Host, Kills: e.Kills, LeftMs: e.Left})
	}
	for _, i := range r.LeavingInstances() {
		facts.Leaving = append(facts.Leaving, encodeLeaving(i))
	}
	if len(facts.Suspects)+len(facts.Leaving) > 0 {
		r.Log.Info().Str("peer", string(l.host.ID)).Int("suspects", len(facts.Suspects)).Int("leaving", len(facts.Leaving)).Msg("relay: told a peer that connected what the store does not know.")
	}
	l.add(func(m *chivehillwire.RelayMessage) {
		m.Suspects = append(m.Suspects, facts.Suspects...)
		m.Leaving = append(m.Leaving, facts.Leaving...)
	})
	r.sendAllRulings(l)
}

// receiveFacts takes over what a peer tells of requests that crash servers and of servers that
// leave.
func (r *Relay) receiveFacts(l *link, m chivehillwire.RelayMessage) {
	for _, s := range m.Suspects {
		r.receiveSuspect(l, s)
	}
	for _, e := range m.Leaving {
		r.receiveLeaving(l, e)
	}
}

// ReportSuspect reports to all peers that servers went down after a request.
func (r *Relay) ReportSuspect(f chivehillid.Fingerprint, kills int) {
	r.sendSuspect(nil, chivehillwire.RelaySuspect{Fingerprint: f, Host: r.Self.ID, Kills: kills, LeftMs: chivehillsuspect.EntryTTL})
}

// receiveSuspect merges a peer's report of a suspect request into the local table
// and forwards it if it increased the number of servers that went down.
func (r *Relay) receiveSuspect(from *link, s chivehillwire.RelaySuspect) {
	now := r.Clock.Now()
	before := r.Suspects.Kills(now, s.Fingerprint)
	r.Suspects.Merge(now, s.Fingerprint, s.Host, s.Kills, s.LeftMs)
	if r.Suspects.Kills(now, s.Fingerprint) > before {
		r.sendSuspect(from, s)
	}
}

func (r *Relay) sendSuspect(except *link, s chivehillwire.RelaySuspect) {
	r.addToOthers(except, func(m *chivehillwire.RelayMessage) { m.Suspects = append(m.Suspects, s) })
}

// ReportLeaving reports to all peers that an instance of a server leaves.
func (r *Relay) ReportLeaving(i chivehillcatalog.Instance) {
	r.sendLeaving(nil, encodeLeaving(i))
}

// receiveLeaving records a peer's report of a leaving server and forwards it if it is news.
func (r *Relay) receiveLeaving(from *link, e chivehillwire.RelayLeaving) {
	if r.MarkLeaving(chivehillcatalog.Instance{Server: e.Server, Started: e.Started}) {
		r.sendLeaving(from, e)
	}
}

func (r *Relay) sendLeaving(except *link, e chivehillwire.RelayLeaving) {
	r.addToOthers(except, func(m *chivehillwire.RelayMessage) { m.Leaving = append(m.Leaving, e) })
}

func encodeLeaving(i chivehillcatalog.Instance) chivehillwire.RelayLeaving {
	return chivehillwire.RelayLeaving{Server: i.Server, Started: i.Started}
}
