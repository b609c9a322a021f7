package chivehillrelay

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillrollout"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Trials connects the relay with what this host knows of versions under trial.
type Trials struct {
	Evidence *chivehillrollout.Evidence
	// Rulings returns the rulings on orders that are not final.
	Rulings func() []chivehillrollout.Ruling
	// Rule records a ruling of a peer and reports whether it is news.
	Rule func(chivehillrollout.Ruling) bool
}

// quietEvidenceInterval is the interval of reports without news, which show that a host is in
// touch.
const quietEvidenceInterval = chivehillclock.Second

// sendEvidence sends what has changed in the evidence to the peers that gather it.
func (r *Relay) sendEvidence(now chivehillclock.Millis, sameRegionDue, crossRegionDue bool) {
	if r.Trials == nil {
		return
	}
	for _, l := range r.allLinks() {
		due := crossRegionDue
		if l.host.Region == r.Self.Region {
			due = sameRegionDue
		}
		matches, ofAll, gathers := r.evidenceFor(l, l.state(now))
		if due && gathers {
			l.widenEvidence(ofAll)
			r.sendEvidenceTo(l, now, matches)
		}
	}
}

// widenEvidence makes the link send all evidence once more if the peer gets that of all hosts
// from now on: what was passed over before may not change again.
func (l *link) widenEvidence(ofAll bool) {
	if ofAll && !l.evidenceOfAll {
		l.evidenceSent = 0
	}
	l.evidenceOfAll = ofAll
}

// evidenceFor returns which hosts' evidence a peer gets from this host, whether that is of all
// hosts, and whether it gets any. A host sends all to the leader that it follows and to those of its region that watch the
// store. The leaders send that of their failure domain to one another, across regions only to
// those that watch the store.
func (r *Relay) evidenceFor(l *link, peer PeerState) (matches func(chivehillid.HostID) bool, ofAll, gathers bool) {
	sameRegion := l.host.Region == r.Self.Region
	switch {
	case l.host.Domain == r.Self.Domain && l.dialed, sameRegion && peer.Watching:
		return func(chivehillid.HostID) bool { return true }, true, true
	case l.host.Domain != r.Self.Domain && (sameRegion || peer.Watching):
		hosts := r.Catalog.View().Hosts
		return func(id chivehillid.HostID) bool { return id == r.Self.ID || hosts[id].Domain == r.Self.Domain }, false, true
	}
	return nil, false, false
}

func (r *Relay) sendEvidenceTo(l *link, now chivehillclock.Millis, matches func(chivehillid.HostID) bool) {
	reports, last := r.Trials.Evidence.Since(now, l.evidenceSent, matches)
	if len(reports) == 0 || last == l.evidenceSent && now-l.evidenceSentAt < quietEvidenceInterval {
		return
	}
	l.evidenceSent, l.evidenceSentAt = last, now
	encoded := make([]chivehillwire.RelayEvidence, len(reports))
	for i, e := range reports {
		encoded[i] = encodeReport(e)
	}
	l.add(func(m *chivehillwire.RelayMessage) { m.Evidence = append(m.Evidence, encoded...) })
}

func encodeReport(e chivehillrollout.Report) chivehillwire.RelayEvidence {
	encoded := chivehillwire.RelayEvidence{
		Service: e.Order.Service, Target: e.Order.Target, Created: e.Order.Created,
		Host: e.Source.Host, Incarnation: e.Source.Incarnation, AgeMs: e.Age,
	}
	for c, t := range e.Tallies {
		encoded.Tallies = append(encoded.Tallies, chivehillwire.RelayTally{
			Server: c.Server, Route: c.Route, Trial: c.Trial, Answered: t.Answered, Failed: t.Failed, Times: encodeTimes(t.Times),
		})
	}
	return encoded
}

// encodeTimes leaves out the empty buckets at the end.
func encodeTimes(times chivehillrollout.Times) []int {
	n := len(times)
	for n > 0 && times[n-1] == 0 {
		n--
	}
	return times[:n]
}

func decodeReport(e chivehillwire.RelayEvidence) chivehillrollout.Report {
	report := chivehillrollout.Report{
		Order:  chivehillrollout.Order{Service: e.Service, Target: e.Target, Created: e.Created},
		Source: chivehillrollout.Source{Host: e.Host, Incarnation: e.Incarnation}, Age: e.AgeMs,
		Tallies: make(map[chivehillrollout.Cell]chivehillrollout.Tally, len(e.Tallies)),
	}
	for _, t := range e.Tallies {
		tally := chivehillrollout.Tally{Answered: t.Answered, Failed: t.Failed}
		copy(tally.Times[:], t.Times)
		report.Tallies[chivehillrollout.Cell{Server: t.Server, Route: t.Route, Trial: t.Trial}] = tally
	}
	return report
}

// receiveTrials takes over what a peer tells of versions under trial. A ruling that is news is
// passed on.
func (r *Relay) receiveTrials(from *link, m chivehillwire.RelayMessage) {
	if r.Trials == nil {
		return
	}
	now := r.Clock.Now()
	for _, e := range m.Evidence {
		r.Trials.Evidence.Merge(now, decodeReport(e))
	}
	for _, e := range m.Rulings {
		ruling := decodeRuling(e)
		if r.Trials.Rule(ruling) {
			r.sendRuling(from, ruling)
		}
	}
}

// ReportRuling reports a ruling of this host to all peers.
func (r *Relay) ReportRuling(ruling chivehillrollout.Ruling) { r.sendRuling(nil, ruling) }

func (r *Relay) sendRuling(except *link, ruling chivehillrollout.Ruling) {
	encoded := encodeRuling(ruling)
	r.addToOthers(except, func(m *chivehillwire.RelayMessage) { m.Rulings = append(m.Rulings, encoded) })
}

// sendAllRulings tells a peer that has just connected all rulings.
func (r *Relay) sendAllRulings(l *link) {
	if r.Trials == nil {
		return
	}
	for _, ruling := range r.Trials.Rulings() {
		encoded := encodeRuling(ruling)
		l.add(func(m *chivehillwire.RelayMessage) { m.Rulings = append(m.Rulings, encoded) })
	}
}

func encodeRuling(r chivehillrollout.Ruling) chivehillwire.RelayRuling {
	return chivehillwire.RelayRuling{Service: r.Order.Service, Target: r.Order.Target, Created: r.Order.Created, Good: r.Good, Reason: r.Reason}
}

func decodeRuling(e chivehillwire.RelayRuling) chivehillrollout.Ruling {
	return chivehillrollout.Ruling{Order: chivehillrollout.Order{Service: e.Service, Target: e.Target, Created: e.Created}, Good: e.Good, Reason: e.Reason}
}
