package chivehillrelay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillcodec"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwake"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// Path is the HTTP path to which other hosts connect.
	Path = "/relay"
	// maxMessageBytes limits the size of one message. The largest messages are those
	// that contain a whole collection.
	maxMessageBytes = 16 << 20
	// handshakeTimeout limits the time for dialing and for the exchange of the first
	// messages.
	handshakeTimeout = 600 * time.Millisecond
	// writeTimeout limits the time for writing one message.
	writeTimeout = 2 * time.Second
	// maxPending is the maximum number of updates queued for a slow peer. Beyond it
	// all queued updates are dropped. The peer requests what it lacks once it learns
	// from heartbeats that it is behind.
	maxPending = 256
)

// link is one connection to a peer, used in both directions.
type link struct {
	relay  *Relay
	conn   *websocket.Conn
	host   chivehillcatalog.Host
	dialed bool
	wake   chivehillwake.Signal

	mu sync.Mutex
	// pending is the message to send next, nil if there is none.
	pending    *chivehillwire.RelayMessage
	receivedAt chivehillclock.Millis
	heartbeat  *chivehillwire.RelayBeat
	// heartbeatAt is when heartbeat was received.
	heartbeatAt chivehillclock.Millis
	// behindSince is since when this host has been behind the peer, by collection.
	behindSince map[chivehillcatalog.Collection]chivehillclock.Millis

	// evidenceSent is the number of the last change of evidence that was sent, and
	// evidenceSentAt is when. Only the relay's ticks use them.
	evidenceSent   uint64
	evidenceSentAt chivehillclock.Millis
	// evidenceOfAll is set if that was evidence of all hosts.
	evidenceOfAll bool
}

func newLink(r *Relay, conn *websocket.Conn, host chivehillcatalog.Host, dialed bool) *link {
	return &link{
		relay: r, conn: conn, host: host, dialed: dialed, wake: chivehillwake.New(), receivedAt: r.Clock.Now(),
		behindSince: make(map[chivehillcatalog.Collection]chivehillclock.Millis),
	}
}

// dial connects to a host and performs the handshake, which identifies the host.
func (r *Relay) dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	//nolint:bodyclose // the library closes the body of the handshake response
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled, HTTPClient: r.client,
	})
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	host, err := r.handshake(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, fmt.Errorf("handshake with %s: %w", address, err)
	}
	return newLink(r, conn, host, true), nil
}

// handshake exchanges hello messages and returns the peer's identity and addresses.
func (r *Relay) handshake(ctx context.Context, conn *websocket.Conn) (chivehillcatalog.Host, error) {
	conn.SetReadLimit(maxMessageBytes)
	hello := chivehillwire.RelayHello{
		Host: r.Self.ID, Incarnation: r.Self.Incarnation, Region: r.Self.Region, FailureDomain: r.Self.Domain,
		CallerAddress: r.Self.CallerAddress, ReadyAddress: r.Self.ReadyAddress, PeerAddress: r.Self.PeerAddress,
	}
	if err := writeMessage(ctx, conn, chivehillwire.RelayMessage{Hello: &hello}); err != nil {
		return chivehillcatalog.Host{}, err
	}
	first, err := chivehillcodec.Read[chivehillwire.RelayMessage](ctx, conn)
	if err != nil {
		return chivehillcatalog.Host{}, err
	}
	if first.Hello == nil || first.Hello.Host == "" {
		return chivehillcatalog.Host{}, fmt.Errorf("%w: expected a hello message with a host name", chivehillcodec.ErrMalformed)
	}
	h := first.Hello
	return chivehillcatalog.Host{
		ID: h.Host, Incarnation: h.Incarnation, Region: h.Region, Domain: h.FailureDomain,
		CallerAddress: h.CallerAddress, ReadyAddress: h.ReadyAddress, PeerAddress: h.PeerAddress,
	}, nil
}

func writeMessage(ctx context.Context, conn *websocket.Conn, m chivehillwire.RelayMessage) error {
	data, err := encode(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// readMessages reads the next message and returns its packed messages in order,
// followed by the message itself.
func readMessages(ctx context.Context, conn *websocket.Conn) ([]chivehillwire.RelayMessage, error) {
	outer, err := chivehillcodec.Read[chivehillwire.RelayMessage](ctx, conn)
	if err != nil {
		return nil, err
	}
	var parts []chivehillwire.RelayMessage
	for _, packed := range outer.Packed {
		part, err := unpack(packed)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return append(parts, outer), nil
}

// run sends and receives messages until the connection ends.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.relay.tasks.Go(func() {
		defer cancel()
		l.send(ctx)
	})
	for {
		parts, err := readMessages(ctx, l.conn)
		if err != nil {
			_ = l.conn.CloseNow()
			return err
		}
		for _, m := range parts {
			l.relay.receive(l, m)
		}
	}
}

func (l *link) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			_ = l.conn.CloseNow()
			return
		case <-l.wake:
		}
		m := l.takePending()
		if m == nil {
			continue
		}
		if err := writeMessage(ctx, l.conn, *m); err != nil {
			_ = l.conn.CloseNow()
			return
		}
	}
}

func (l *link) takePending() *chivehillwire.RelayMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending
	l.pending = nil
	return m
}

// add applies change to the pending message and wakes the sender. If that exceeds
// maxPending, all queued updates are dropped.
func (l *link) add(change func(*chivehillwire.RelayMessage)) {
	l.mu.Lock()
	if l.pending == nil {
		l.pending = &chivehillwire.RelayMessage{}
	}
	change(l.pending)
	if len(l.pending.Updates)+len(l.pending.Packed) > maxPending {
		l.pending.Updates, l.pending.Packed = nil, nil
	}
	l.mu.Unlock()
	l.wake.Wake()
}

// recordReceived records a message and reports whether the peer's heartbeat may change at once
// which hosts watch the store or whether this host is informed.
func (l *link) recordReceived(m chivehillwire.RelayMessage) (changed bool) {
	now := l.relay.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedAt = now
	if m.Beat == nil {
		return false
	}
	old := l.heartbeat
	l.heartbeat, l.heartbeatAt = m.Beat, now
	if old == nil {
		old = &chivehillwire.RelayBeat{Uninformed: true}
	}
	return old.Lost != m.Beat.Lost || old.Delegate != m.Beat.Delegate || old.Uninformed != m.Beat.Uninformed
}

// state returns the state of the peer at the time now.
func (l *link) state(now chivehillclock.Millis) PeerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout := peerTimeout
	if l.host.Region != l.relay.Self.Region {
		timeout = crossRegionPeerTimeout
	}
	p := PeerState{Host: l.host, Live: now-l.receivedAt < timeout, HasHeartbeat: l.heartbeat != nil}
	if l.heartbeat == nil {
		return p
	}
	p.Leaving, p.Down, p.StoreUnreachable, p.Delegate = l.heartbeat.Leaving, l.heartbeat.Down, l.heartbeat.Lost, l.heartbeat.Delegate
	p.Searching, p.Watching, p.Uninformed = l.heartbeat.Searching, l.heartbeat.Watching, l.heartbeat.Uninformed
	if l.heartbeat.ContactAgeMs >= 0 {
		p.ContactAt, p.HasContact = l.heartbeatAt-l.heartbeat.ContactAgeMs, true
	}
	return p
}

// collections returns the state of the peer's collections from its last heartbeat.
func (l *link) collections() []chivehillwire.RelayState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heartbeat == nil {
		return nil
	}
	return l.heartbeat.Collections
}

// updateTimeout is how long this host waits for a pushed update before it requests
// the collection from a peer.
const updateTimeout = 350 * chivehillclock.Millisecond

// overdue reports whether this host has been behind the peer in a collection for
// at least updateTimeout. behind is set if it is behind now.
func (l *link) overdue(c chivehillcatalog.Collection, behind bool, now chivehillclock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !behind {
		delete(l.behindSince, c)
		return false
	}
	since, known := l.behindSince[c]
	if !known {
		l.behindSince[c] = now
		return false
	}
	return now-since >= updateTimeout
}

// ServeHTTP accepts a connection from another host.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	conn, err := websocket.Accept(w, req, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		r.Log.Info().Str("step", "accept").Err(err).Msg("relay: failed to accept a connection from a peer.")
		return
	}
	if !r.start(func() { r.handleAccepted(conn) }) {
		_ = conn.CloseNow()
	}
}

func (r *Relay) handleAccepted(conn *websocket.Conn) {
	ctx, cancel := context.WithTimeout(r.ctx, handshakeTimeout)
	host, err := r.handshake(ctx, conn)
	cancel()
	if err != nil {
		_ = conn.CloseNow()
		r.Log.Info().Str("step", "greet").Err(err).Msg("relay: handshake with a connecting peer failed.")
		return
	}
	r.serve(newLink(r, conn, host, false))
}

// linkKey identifies a link by the peer and by which side dialed.
type linkKey struct {
	id     chivehillid.HostID
	dialed bool
}
