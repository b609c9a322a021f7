package chivehillselector

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// noticeRetention is how long a notice is kept after its server was last listed, since the
// entry of the server may come back.
const noticeRetention = 10 * chivehillclock.Minute

// notice is what one instance of a server has asked of this host, or of all hosts, in its
// responses. It outlives the entry of the server and holds whatever the store says of that
// instance. It ends when the server starts again.
type notice struct {
	mu sync.Mutex
	// leaving is set for good once the instance has said that it leaves.
	leaving bool
	// quietUntil is when the time ends for which the instance wants nothing from this host.
	quietUntil chivehillclock.Millis
	// listedAt is when the server was last in the table.
	listedAt chivehillclock.Millis
}

// forbids reports whether the instance must get no requests and no probes.
func (n *notice) forbids(now chivehillclock.Millis) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving || now < n.quietUntil
}

// isLeaving reports whether the instance has said that it leaves.
func (n *notice) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// quietEnd returns when the time ends for which the instance wants nothing from this host.
func (n *notice) quietEnd() chivehillclock.Millis {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.quietUntil
}

// extendQuiet reports whether the instance was not quiet before.
func (n *notice) extendQuiet(now, until chivehillclock.Millis) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	began := n.quietUntil <= now
	n.quietUntil = max(n.quietUntil, until)
	return began
}

// markLeaving reports whether the instance was not yet known to leave.
func (n *notice) markLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	news := !n.leaving
	n.leaving = true
	return news
}

// notices holds the notices of all instances. It is safe for concurrent use.
type notices struct {
	mu         sync.Mutex
	byInstance map[chivehillcatalog.Instance]*notice
}

// of returns the notice of an instance.
func (n *notices) of(now chivehillclock.Millis, i chivehillcatalog.Instance) *notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	found := n.byInstance[i]
	if found == nil {
		found = &notice{listedAt: now}
		n.byInstance[i] = found
	}
	return found
}

// leaving returns the instances that have said that they leave.
func (n *notices) leaving() []chivehillcatalog.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	var leaving []chivehillcatalog.Instance
	for i, e := range n.byInstance {
		if e.isLeaving() {
			leaving = append(leaving, i)
		}
	}
	return leaving
}

// prune drops the notices of instances that have not been listed for noticeRetention.
func (n *notices) prune(now chivehillclock.Millis, listed map[chivehillcatalog.Instance]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, e := range n.byInstance {
		switch {
		case listed[i]:
			e.listedAt = now
		case now-e.listedAt > noticeRetention:
			delete(n.byInstance, i)
		}
	}
}

// RecordNotice records what a server asks of its callers in a response. It reports whether
// this is the first that is known of the server leaving.
func (t *Table) RecordNotice(s chivehillcatalog.Server, r chivehillupstream.ResponseMetadata) (leaves bool) {
	now := t.clock.Now()
	if r.Quiet > 0 && t.notices.of(now, s.Instance()).extendQuiet(now, now+r.Quiet) {
		t.log.Info().Str("server", string(s.ID)).Float64("quiet-ms", float64(r.Quiet)).Msg("selector: server asks this host for quiet.")
	}
	return r.Leaving && t.MarkLeaving(s.Instance())
}

// MarkLeaving records that an instance of a server leaves, so that it gets no further
// requests, and reports whether that was not known.
func (t *Table) MarkLeaving(i chivehillcatalog.Instance) bool {
	news := t.notices.of(t.clock.Now(), i).markLeaving()
	if news {
		t.log.Info().Str("server", string(i.Server)).Int64("started", i.Started).Msg("selector: server leaves; it gets no further requests.")
	}
	return news
}

// LeavingInstances returns the instances of servers that are known to leave.
func (t *Table) LeavingInstances() []chivehillcatalog.Instance { return t.notices.leaving() }

// Notices returns how many servers leave by their own word, and from how many this host is
// asked for quiet.
func (t *Table) Notices() (leaving, quiet int) {
	now := t.clock.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.servers {
		switch n := s.currentNotice(); {
		case n.isLeaving():
			leaving++
		case n.forbids(now):
			quiet++
		}
	}
	return leaving, quiet
}

func (s *serverState) currentNotice() *notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notice
}

// QuietEnd returns when the first server ends its quiet, if all servers that could handle a
// request, whether tried or not, want nothing from this host. Otherwise allQuiet is false.
func (t *Table) QuietEnd(requirements Requirements) (first chivehillclock.Millis, allQuiet bool) {
	now := t.clock.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	groups := t.byService[requirements.Service]
	if groups == nil {
		return 0, false
	}
	for _, servers := range groups {
		for _, s := range servers {
			n, usable := t.usableNotice(s, requirements)
			switch end := n.quietEnd(); {
			case !usable:
			case end <= now:
				return 0, false
			case !allQuiet || end < first:
				first, allQuiet = end, true
			}
		}
	}
	return first, allQuiet
}

// usableNotice returns the notice of a server and whether the server could handle a request
// but for its quiet.
func (t *Table) usableNotice(s *serverState, requirements Requirements) (n *notice, usable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry
	region, known := t.location.Regions[e.Domain]
	usable = known && !e.Draining && requirements.wants(s.stage) && !t.withdrawn[e.Domain] && requirements.Regions.Allows(region) && !s.notice.isLeaving()
	return s.notice, usable
}
