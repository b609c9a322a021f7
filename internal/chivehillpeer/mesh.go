// Package chivehillpeer connects the entry hosts to each other over WebSocket
// connections that carry CBOR messages.
//
// Each host dials each other member and sends on the connection it dialed; it
// receives on the connections it accepted. Messages to a peer that have not
// been sent yet are merged into one.
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
	"github.com/chivehill/chivehill/internal/chivehillresponse"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// Path is the HTTP path on which peers connect.
	Path = "/peer"
	// maxMessageBytes bounds one message. The largest part of a message is a
	// configuration.
	maxMessageBytes = 4 << 20
	// handshakeTimeout bounds the handshake.
	handshakeTimeout = 2 * chivehillclock.Second
	// maxDrift bounds the drift rate between the clocks of two hosts, as a
	// fraction of elapsed time.
	maxDrift = 1e-4
)

// Message is one received message.
type Message struct {
	From     chivehillwire.Member
	Envelope chivehillwire.Envelope
	// Issued is a lower bound of the time at which the message was sent, on
	// this host's clock.
	Issued chivehillclock.Millis
}

// Options configures a mesh.
type Options struct {
	Self   chivehillwire.Member
	Secret []byte
	// Silence is the time without a message after which a peer of the own
	// region counts as unreachable.
	Silence chivehillclock.Millis
	Clock   *chivehillclock.Clock
	Metrics *chivehillmetrics.Metrics
	Log     zerolog.Logger
	// Receive is called for each message. The messages of one connection are
	// delivered one at a time, in the order in which they were sent.
	Receive func(Message)
	// Connected adds to the first message on each new connection to a peer. It may be nil.
	Connected func(chivehillwire.Member, *chivehillwire.Envelope)
}

// Mesh holds the connections to the peers. It is safe for concurrent use.
type Mesh struct {
	self    chivehillwire.Member
	secret  []byte
	silence chivehillclock.Millis
	clock   *chivehillclock.Clock
	metrics *chivehillmetrics.Metrics
	log     zerolog.Logger
	receive func(Message)
	client  *http.Client
	// connected may be nil.
	connected func(chivehillwire.Member, *chivehillwire.Envelope)

	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	mu    sync.Mutex
	links map[chivehillid.HostID]*link
	peers map[chivehillid.HostID]*peerState
}

// peerState is what was received from one peer.
type peerState struct {
	member     chivehillwire.Member
	receivedAt chivehillclock.Millis
	// newestSent is the newest send time received, on the peer's clock.
	newestSent chivehillclock.Millis
	// offset is a lower bound of this host's clock minus the peer's.
	offset      chivehillclock.Millis
	offsetAt    chivehillclock.Millis
	offsetKnown bool
}

// New returns a mesh without members.
func New(o Options) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		self: o.Self, secret: o.Secret, silence: o.Silence, clock: o.Clock, metrics: o.Metrics, log: o.Log, receive: o.Receive, connected: o.Connected,
		client: chivehillresponse.NewClient(&http.Transport{DisableKeepAlives: true}),
		ctx:    ctx, cancel: cancel,
		links: make(map[chivehillid.HostID]*link), peers: make(map[chivehillid.HostID]*peerState),
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
		if old != nil && (old.member.Incarnation == e.Incarnation || m.isLiveNonMember(old)) {
			continue
		}
		if old != nil {
			old.stop()
		}
		m.links[e.Host] = m.startLink(e)
	}
	for h, l := range m.links {
		if !wanted[h] && !m.isLiveNonMember(l) {
			l.stop()
			delete(m.links, h)
			delete(m.peers, h)
		}
	}
}

// isLiveNonMember reports whether a link leads to a non-member that connected
// to this host and sent a message within the silence timeout. The caller holds
// m.mu.
func (m *Mesh) isLiveNonMember(l *link) bool {
	h := m.peers[l.member.Host]
	return l.nonMember && h != nil && h.member.Incarnation == l.member.Incarnation && m.clock.Now()-h.receivedAt < m.silenceTimeout(l.member)
}

// connectBack dials a host that connected to this one but is not in the
// membership with this incarnation: it may have started during a store outage.
func (m *Mesh) connectBack(member chivehillwire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.links[member.Host]
	if old != nil && (old.member.Incarnation == member.Incarnation || m.isLiveNonMember(old)) {
		return
	}
	if old != nil {
		old.stop()
	}
	l := m.startLink(member)
	l.nonMember = true
	m.links[member.Host] = l
}

// Close closes all connections and waits until their goroutines have returned.
func (m *Mesh) Close() {
	m.cancel()
	m.tasks.Wait()
}

// Send adds to the next message to a peer. It never blocks. Without a
// connection it drops the addition and returns false.
func (m *Mesh) Send(to chivehillid.HostID, add func(*chivehillwire.Envelope)) bool {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	if l == nil {
		return false
	}
	return l.add(add)
}

// Broadcast adds to the next message to each connected peer that match accepts.
func (m *Mesh) Broadcast(match func(chivehillwire.Member) bool, add func(*chivehillwire.Envelope)) {
	m.mu.Lock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		if match(l.member) {
			links = append(links, l)
		}
	}
	m.mu.Unlock()
	for _, l := range links {
		l.add(add)
	}
}

// Everyone is a filter for Broadcast that accepts all members.
func Everyone(chivehillwire.Member) bool { return true }

// Reachable returns the members that are connected and sent a message within
// the silence timeout, sorted by host.
func (m *Mesh) Reachable() []chivehillwire.Member {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []chivehillwire.Member
	for h, l := range m.links {
		e := m.peers[h]
		if e != nil && e.member.Incarnation == l.member.Incarnation && now-e.receivedAt < m.silenceTimeout(l.member) && l.isConnected() {
			members = append(members, l.member)
		}
	}
	slices.SortFunc(members, func(a, b chivehillwire.Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

// remoteSilenceFactor multiplies the silence timeout for members of other
// regions, since hosts send to other regions less often.
const remoteSilenceFactor = 3

func (m *Mesh) silenceTimeout(member chivehillwire.Member) chivehillclock.Millis {
	if member.Region != m.self.Region {
		return remoteSilenceFactor * m.silence
	}
	return m.silence
}

// LastHeard returns when the last message of a member was received, or when its
// link was created if there was none since. For a host without a link it returns
// the present time.
func (m *Mesh) LastHeard(host chivehillid.HostID) chivehillclock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[host]
	if l == nil {
		return m.clock.Now()
	}
	last := l.since
	if e := m.peers[host]; e != nil && e.member.Incarnation == l.member.Incarnation {
		last = max(last, e.receivedAt)
	}
	return last
}

// echo returns the newest send time received from a peer, on the peer's clock.
func (m *Mesh) echo(host chivehillid.HostID) chivehillclock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.peers[host]; e != nil {
		return e.newestSent
	}
	return 0
}

// ServeHTTP accepts a connection from a peer.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		m.recordClosed("accept", "", err)
		return
	}
	m.tasks.Go(func() { m.serveConn(conn) })
}

func (m *Mesh) serveConn(conn *websocket.Conn) {
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout.Duration())
	member, err := m.handshake(ctx, conn)
	cancel()
	if err != nil {
		m.recordClosed("handshake", member.Host, err)
		return
	}
	for {
		e, err := chivehillcodec.Read[chivehillwire.Envelope](m.ctx, conn)
		if err != nil {
			m.recordClosed("receive", member.Host, err)
			return
		}
		message := m.recordReceived(member, e)
		m.connectBack(member)
		m.receive(message)
	}
}

// recordReceived updates the state of the sender and computes the lower bound of
// the send time.
func (m *Mesh) recordReceived(member chivehillwire.Member, e chivehillwire.Envelope) Message {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[member.Host]
	if p == nil || p.member.Incarnation != member.Incarnation {
		p = &peerState{}
		m.peers[member.Host] = p
	}
	p.member = member
	p.receivedAt = now
	p.newestSent = max(p.newestSent, e.SentMs)
	if e.EchoMs > 0 {
		p.observeOffset(now, e.EchoMs-e.SentMs)
	}
	earliestSent := now - m.silence
	if p.offsetKnown {
		earliestSent = min(now, e.SentMs+p.offset)
	}
	return Message{From: member, Envelope: e, Issued: earliestSent}
}

// observeOffset raises the lower bound of the clock offset if the new sample
// exceeds it. The old bound is first lowered by the drift since it was set.
func (p *peerState) observeOffset(now, offset chivehillclock.Millis) {
	if p.offsetKnown {
		aged := p.offset - maxDrift*(now-p.offsetAt)
		offset = max(offset, aged)
	}
	p.offset = offset
	p.offsetAt = now
	p.offsetKnown = true
}

// recordClosed counts and logs the end of a connection.
func (m *Mesh) recordClosed(step string, host chivehillid.HostID, err error) {
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
