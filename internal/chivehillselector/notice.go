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

// notice is what one instance of a server has asked of its callers in its responses. It
// outlives the entry of the server and holds whatever the store says of that instance. It
// ends when the server starts again.
type notice struct {
	mu sync.Mutex
	// leaving is set for good once the instance has said that it leaves.
	leaving bool
	// listedAt is when the server was last in the table.
	listedAt chivehillclock.Millis
}

// forbids reports whether the instance must get no requests and no probes.
func (n *notice) forbids() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
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

// Leaving returns the number of servers that leave by their own word.
func (t *Table) Leaving() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, s := range t.servers {
		if s.forbidden() {
			n++
		}
	}
	return n
}

// forbidden reports whether the server must get no requests and no probes.
func (s *serverState) forbidden() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notice.forbids()
}
