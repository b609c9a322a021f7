package chivehillnode

import (
	"context"
	"net/http"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillpeer"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	suspectEntryTTL = chivehillsuspect.EntryTTL
	// handoverTimeout bounds the wait for the successor.
	handoverTimeout = 3 * time.Second
	// handoverBytes bounds the kept answers in one part of a handover.
	handoverBytes = 512 << 10
	// handoverKeys bounds the keys in one part of a handover.
	handoverKeys = 2000
	// successorTime lets the news of the successor go out before the connections close.
	successorTime = 200 * time.Millisecond
	leaveTimeout  = 3 * time.Second
)

// stop leaves in order: tell all, let callers go elsewhere, finish what is in
// flight, hand over the keys, leave the membership.
func (n *Node) stop(callers *http.Server) {
	n.leaving.Store(true)
	n.log.Info().Msg("node: stopping.")
	n.beatNow()
	gone := n.self
	gone.Leaving = true
	n.changeMembership(chivehillmember.Join(gone))
	time.Sleep(n.settings.Limits.AnswerKeepMs.Duration())
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Limits.StopGraceMs.Duration())
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn().Str("step", "shutdown").Err(err).Msg("node: requests were still in flight.")
	}
	n.waitFor(ctx, n.entry.Wait)
	n.table.Stop()
	n.handOver()
	n.changeMembership(chivehillmember.Remove(n.self.Host, n.self.Incarnation))
}

func (n *Node) waitFor(ctx context.Context, wait func()) {
	done := make(chan struct{})
	go func() {
		wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (n *Node) changeMembership(c chivehillmember.Change) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.sync.ChangeMembership(ctx, c); err != nil {
		n.log.Warn().Str("step", "leave").Str("peer", "store").Err(err).Msg("member: leave failed.")
	}
}

// handOver gives the key table to a member of this region that stays, and
// tells all members which one it is.
func (n *Node) handOver() {
	keys := n.table.Export()
	successor, found := n.successor()
	if len(keys) == 0 && !found {
		return
	}
	if !found {
		n.log.Warn().Int("keys", len(keys)).Msg("node: no successor for the key table.")
		return
	}
	for _, part := range splitKeys(keys) {
		h := chivehillwire.Handover{Host: n.self.Host, Incarnation: n.self.Incarnation, Keys: part.keys, Last: part.last}
		for !n.sendHandover(successor, h) {
			time.Sleep(time.Millisecond)
		}
	}
	select {
	case <-n.taken:
	case <-time.After(handoverTimeout):
		n.log.Warn().Str("peer", string(successor)).Msg("node: successor did not confirm the key table.")
		return
	}
	news := chivehillwire.Successor{Host: n.self.Host, Incarnation: n.self.Incarnation, Successor: successor}
	n.mesh.Broadcast(chivehillpeer.Everyone, func(e *chivehillwire.Envelope) { e.Successors = append(e.Successors, news) })
	time.Sleep(successorTime)
}

// sendHandover queues one part unless one is queued already. It reports true
// as well when the connection is gone; the missing confirmation tells then.
func (n *Node) sendHandover(to chivehillid.HostID, h chivehillwire.Handover) bool {
	queued := false
	sent := n.mesh.Send(to, func(e *chivehillwire.Envelope) {
		if e.Handover == nil {
			e.Handover = &h
			queued = true
		}
	})
	return queued || !sent
}

func (n *Node) successor() (chivehillid.HostID, bool) {
	leaving := n.leavingPeers()
	for _, m := range n.mesh.Reachable() {
		if m.Region != n.self.Region {
			continue
		}
		stays := true
		for _, h := range leaving {
			stays = stays && h != m.Host
		}
		if stays {
			return m.Host, true
		}
	}
	return "", false
}

type keyPart struct {
	keys []chivehillwire.KeptKey
	last bool
}

// splitKeys divides a key table into parts of bounded size.
func splitKeys(keys []chivehillwire.KeptKey) []keyPart {
	var parts []keyPart
	start, size := 0, 0
	for i, k := range keys {
		if i > start && (size+len(k.Body) > handoverBytes || i-start >= handoverKeys) {
			parts = append(parts, keyPart{keys: keys[start:i]})
			start, size = i, 0
		}
		size += len(k.Body)
	}
	return append(parts, keyPart{keys: keys[start:], last: true})
}

// takeHandover takes over a part of the key table of a host that leaves.
func (n *Node) takeHandover(from chivehillwire.Member, h chivehillwire.Handover) {
	now := n.clock.Now()
	keep := 2*n.settings.Limits.KeyWindowMs + n.settings.Limits.KeyKeepMs
	if !n.adopted.Add(now, keep, h) {
		return
	}
	n.log.Info().Str("peer", string(from.Host)).Msg("node: took over a key table.")
	n.mesh.Send(from.Host, func(e *chivehillwire.Envelope) { e.HandoverTaken = h.Incarnation })
}

func (n *Node) handoverTaken() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.taken:
	default:
		close(n.taken)
	}
}

func (n *Node) takeSuccessor(s chivehillwire.Successor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.successors[s.Incarnation] = s.Successor
}

// inForce returns the version in force at each member; members that were not
// heard of within the silence time are left out.
func (n *Node) inForce() map[chivehillid.HostID]chivehillid.Version {
	versions := map[chivehillid.HostID]chivehillid.Version{n.self.Host: n.state.Version()}
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for h, b := range n.beats {
		if now-b.at < linkBeats*n.settings.Limits.PeerSilenceMs {
			versions[h] = b.beat.Version
		}
	}
	return versions
}

// since returns the age of a time.
func (n *Node) since(t chivehillclock.Millis) chivehillclock.Millis {
	return n.clock.Now() - t
}
