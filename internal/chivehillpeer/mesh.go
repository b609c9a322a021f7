// Package chivehillpeer connects the entry hosts with each other: WebSocket
// connections that carry CBOR messages.
//
// Each host dials each other member and sends on the connection it dialed; it
// receives on the connections it accepted. Messages to a peer that have not
// been sent yet are joined into one.
package chivehillpeer

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillcodec"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// Path is the HTTP path on which peers connect.
	Path = "/peer"
	// maxMessageBytes bounds one message. A configuration takes most of it.
	maxMessageBytes = 4 << 20
	// handshakeTimeout bounds the handshake.
	handshakeTimeout = 2 * chivehillclock.Second
	// maxDrift bounds how fast two hosts' clocks move apart, as a fraction.
	maxDrift = 1e-4
)

// Message is one received message.
type Message struct {
	From     chivehillwire.Member
	Envelope chivehillwire.Envelope
	// Issued is a time of this host's clock that is not later than the sending.
	Issued chivehillclock.Millis
}

// Options of a mesh.
type Options struct {
	Self    chivehillwire.Member
	Secret  []byte
	Silence chivehillclock.Millis
	Clock   *chivehillclock.Clock
	Metrics *chivehillmetrics.Metrics
	Log     zerolog.Logger
	// Receive is called for each message, for one sender at a time in order.
	Receive func(Message)
}

// Mesh is safe for concurrent use.
type Mesh struct {
	self    chivehillwire.Member
	secret  []byte
	silence chivehillclock.Millis
	clock   *chivehillclock.Clock
	metrics *chivehillmetrics.Metrics
	log     zerolog.Logger
	receive func(Message)

	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	mu    sync.Mutex
	links map[chivehillid.HostID]*link
	heard map[chivehillid.HostID]*heard
}

// heard is what was received from one peer.
type heard struct {
	member chivehillwire.Member
	at     chivehillclock.Millis
	// sent is the newest clock reading of the peer.
	sent chivehillclock.Millis
	// offset is a lower bound of this host's clock less the peer's.
	offset   chivehillclock.Millis
	offsetAt chivehillclock.Millis
	known    bool
}

// New returns a mesh without members.
func New(o Options) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		self: o.Self, secret: o.Secret, silence: o.Silence, clock: o.Clock, metrics: o.Metrics, log: o.Log, receive: o.Receive,
		ctx: ctx, cancel: cancel,
		links: make(map[chivehillid.HostID]*link), heard: make(map[chivehillid.HostID]*heard),
	}
}

// SetMembers replaces the set of members to connect to. This host is left out.
func (m *Mesh) SetMembers(members []chivehillwire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[chivehillid.HostID]bool, len(members))
	for _, e := range members {
		if e.Host == m.self.Host {
			continue
		}
		wanted[e.Host] = true
		old := m.links[e.Host]
		if old != nil && (old.member.Incarnation == e.Incarnation || m.isLiveGuest(old)) {
			continue
		}
		if old != nil {
			old.stop()
		}
		m.links[e.Host] = m.startLink(e)
	}
	for h, l := range m.links {
		if !wanted[h] && !m.isLiveGuest(l) {
			l.stop()
			delete(m.links, h)
			delete(m.heard, h)
		}
	}
}

// isLiveGuest reports whether a link leads to a host that connected by itself
// and was heard of lately. The caller holds m.mu.
func (m *Mesh) isLiveGuest(l *link) bool {
	h := m.heard[l.member.Host]
	return l.guest && h != nil && h.member.Incarnation == l.member.Incarnation && m.clock.Now()-h.at < m.silenceOf(l.member)
}

// welcome connects back to a host that is not a member, or not this
// incarnation of it: it may have started while the store was down.
func (m *Mesh) welcome(member chivehillwire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.links[member.Host]
	if old != nil && (old.member.Incarnation == member.Incarnation || m.isLiveGuest(old)) {
		return
	}
	if old != nil {
		old.stop()
	}
	l := m.startLink(member)
	l.guest = true
	m.links[member.Host] = l
}

// Close ends all connections and waits for them.
func (m *Mesh) Close() {
	m.cancel()
	m.tasks.Wait()
}

// Send adds to the next message to a peer. It never blocks; without a
// connection the addition is dropped and Send reports false.
func (m *Mesh) Send(to chivehillid.HostID, add func(*chivehillwire.Envelope)) bool {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	if l == nil {
		return false
	}
	return l.add(add)
}

// Broadcast adds to the next message to each connected peer that keep accepts.
func (m *Mesh) Broadcast(keep func(chivehillwire.Member) bool, add func(*chivehillwire.Envelope)) {
	m.mu.Lock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		if keep(l.member) {
			links = append(links, l)
		}
	}
	m.mu.Unlock()
	for _, l := range links {
		l.add(add)
	}
}

// Everyone is a filter for Broadcast.
func Everyone(chivehillwire.Member) bool { return true }

// Reachable returns the members that are connected and were heard of within
// the silence time, sorted by host.
func (m *Mesh) Reachable() []chivehillwire.Member {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []chivehillwire.Member
	for h, l := range m.links {
		e := m.heard[h]
		if e != nil && e.member.Incarnation == l.member.Incarnation && now-e.at < m.silenceOf(l.member) && l.isConnected() {
			members = append(members, l.member)
		}
	}
	slices.SortFunc(members, func(a, b chivehillwire.Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

// linkSilence times the silence time is allowed for members of other regions,
// which are told less often.
const linkSilence = 3

func (m *Mesh) silenceOf(member chivehillwire.Member) chivehillclock.Millis {
	if member.Region != m.self.Region {
		return linkSilence * m.silence
	}
	return m.silence
}

// LastHeard returns when a member was heard last, or when it became a member.
func (m *Mesh) LastHeard(host chivehillid.HostID) chivehillclock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[host]
	if l == nil {
		return m.clock.Now()
	}
	last := l.since
	if e := m.heard[host]; e != nil && e.member.Incarnation == l.member.Incarnation {
		last = max(last, e.at)
	}
	return last
}

// echo returns the newest clock reading received from a peer.
func (m *Mesh) echo(host chivehillid.HostID) chivehillclock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.heard[host]; e != nil {
		return e.sent
	}
	return 0
}

// ServeHTTP accepts a connection of a peer.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		m.closed("accept", "", err)
		return
	}
	m.tasks.Go(func() { m.accepted(conn) })
}

func (m *Mesh) accepted(conn *websocket.Conn) {
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout.Duration())
	member, err := m.handshake(ctx, conn)
	cancel()
	if err != nil {
		m.closed("handshake", member.Host, err)
		return
	}
	for {
		e, err := chivehillcodec.Read[chivehillwire.Envelope](m.ctx, conn)
		if err != nil {
			m.closed("receive", member.Host, err)
			return
		}
		message := m.note(member, e)
		m.welcome(member)
		m.receive(message)
	}
}

// note records that a peer was heard and bounds the time of sending.
func (m *Mesh) note(member chivehillwire.Member, e chivehillwire.Envelope) Message {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.heard[member.Host]
	if h == nil || h.member.Incarnation != member.Incarnation {
		h = &heard{}
		m.heard[member.Host] = h
	}
	h.member = member
	h.at = now
	h.sent = max(h.sent, e.SentMs)
	if e.EchoMs > 0 {
		h.observe(now, e.EchoMs-e.SentMs)
	}
	issued := now - m.silence
	if h.known {
		issued = min(now, e.SentMs+h.offset)
	}
	return Message{From: member, Envelope: e, Issued: issued}
}

// observe tightens the lower bound of the offset. The bound loosens with time,
// since the clocks drift.
func (h *heard) observe(now, offset chivehillclock.Millis) {
	if h.known {
		loosened := h.offset - maxDrift*(now-h.offsetAt)
		offset = max(offset, loosened)
	}
	h.offset = offset
	h.offsetAt = now
	h.known = true
}

// closed counts and logs the end of a connection.
func (m *Mesh) closed(step string, host chivehillid.HostID, err error) {
	if m.ctx.Err() != nil {
		return
	}
	m.metrics.PeerClosed.WithLabelValues(closeReason(step, err)).Inc()
	m.log.Info().Str("step", step).Str("peer", string(host)).Err(err).Msg("peer: connection ended.")
}

func closeReason(step string, err error) string {
	var closeErr websocket.CloseError
	switch {
	case errors.Is(err, chivehillcodec.ErrMalformed):
		return "malformed"
	case errors.Is(err, websocket.ErrMessageTooBig):
		return "too-large"
	case errors.Is(err, errProof):
		return "bad-proof"
	case errors.Is(err, errProtocol):
		return "protocol-version"
	case errors.As(err, &closeErr):
		return "closed-by-peer"
	}
	return step
}
