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
	// handoverTimeout limits the wait for the successor's confirmation.
	handoverTimeout = 3 * time.Second
	// handoverBytes limits the size of the stored responses in one handover message.
	handoverBytes = 512 << 10
	// handoverKeys limits the number of keys in one handover message.
	handoverKeys = 2000
	// successorBroadcastDelay gives the successor announcement time to be sent
	// before the connections close.
	successorBroadcastDelay = 200 * time.Millisecond
	leaveTimeout            = 3 * time.Second
)

// stop shuts down gracefully: it announces the shutdown, gives callers time to
// move to other hosts, drains in-flight requests, hands over the key table and
// removes this host from the membership.
func (n *Node) stop(callers *http.Server) {
	n.leaving.Store(true)
	n.log.Info().Msg("node: shutting down.")
	n.sendHeartbeatToAll()
	leavingSelf := n.self
	leavingSelf.Leaving = true
	n.changeMembership(chivehillmember.Join(leavingSelf))
	time.Sleep(n.settings.Limits.AnswerKeepMs.Duration())
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Limits.StopGraceMs.Duration())
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn().Str("step", "shutdown").Err(err).Msg("node: requests were still in flight at the shutdown deadline.")
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
		n.log.Warn().Str("step", "leave").Str("peer", "store").Err(err).Msg("member: updating the membership for shutdown failed.")
	}
}

// handOver transfers the key table to a remaining member of this region and
// announces that successor to all members.
func (n *Node) handOver() {
	keys := n.table.Export()
	successor, found := n.successor()
	if len(keys) == 0 && !found {
		return
	}
	if !found {
		n.log.Warn().Int("keys", len(keys)).Msg("node: no successor is available for the key table.")
		return
	}
	for _, chunk := range chunkKeys(keys) {
		h := chivehillwire.Handover{Host: n.self.Host, Incarnation: n.self.Incarnation, Keys: chunk.keys, Last: chunk.last}
		for !n.sendHandover(successor, h) {
			time.Sleep(time.Millisecond)
		}
	}
	select {
	case <-n.handoverConfirmed:
	case <-time.After(handoverTimeout):
		n.log.Warn().Str("peer", string(successor)).Msg("node: successor did not confirm the key table in time.")
		return
	}
	announcement := chivehillwire.Successor{Host: n.self.Host, Incarnation: n.self.Incarnation, Successor: successor}
	n.mesh.Broadcast(chivehillpeer.Everyone, func(e *chivehillwire.Envelope) { e.Successors = append(e.Successors, announcement) })
	time.Sleep(successorBroadcastDelay)
}

// sendHandover queues one chunk unless another is still queued. It also returns
// true if the connection is closed; the missing confirmation then reveals the
// failure.
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

type keyChunk struct {
	keys []chivehillwire.KeptKey
	last bool
}

// chunkKeys splits a key table into chunks of at most handoverKeys keys and
// handoverBytes bytes of stored responses; a larger response gets its own chunk.
func chunkKeys(keys []chivehillwire.KeptKey) []keyChunk {
	var chunks []keyChunk
	start, size := 0, 0
	for i, k := range keys {
		if i > start && (size+len(k.Body) > handoverBytes || i-start >= handoverKeys) {
			chunks = append(chunks, keyChunk{keys: keys[start:i]})
			start, size = i, 0
		}
		size += len(k.Body)
	}
	return append(chunks, keyChunk{keys: keys[start:], last: true})
}

// receiveHandover stores one chunk of a departing host's key table and confirms
// the handover once it is complete.
func (n *Node) receiveHandover(from chivehillwire.Member, h chivehillwire.Handover) {
	now := n.clock.Now()
	keep := 2*n.settings.Limits.KeyWindowMs + n.settings.Limits.KeyKeepMs
	if !n.adopted.Add(now, keep, h) {
		return
	}
	n.log.Info().Str("peer", string(from.Host)).Msg("node: received the key table of a departing host.")
	n.mesh.Send(from.Host, func(e *chivehillwire.Envelope) { e.HandoverTaken = h.Incarnation })
}

func (n *Node) confirmHandover() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.handoverConfirmed:
	default:
		close(n.handoverConfirmed)
	}
}

func (n *Node) recordSuccessor(s chivehillwire.Successor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.successors[s.Incarnation] = s.Successor
}

// activeVersions returns the active configuration version of each member. It
// omits members without a recent heartbeat; the limit is a multiple of the
// silence timeout because heartbeats between regions are less frequent.
func (n *Node) activeVersions() map[chivehillid.HostID]chivehillid.Version {
	versions := map[chivehillid.HostID]chivehillid.Version{n.self.Host: n.state.Version()}
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for h, b := range n.heartbeats {
		if now-b.receivedAt < crossRegionHeartbeatRatio*n.settings.Limits.PeerSilenceMs {
			versions[h] = b.heartbeat.Version
		}
	}
	return versions
}

// age returns the time elapsed since t.
func (n *Node) age(t chivehillclock.Millis) chivehillclock.Millis {
	return n.clock.Now() - t
}
