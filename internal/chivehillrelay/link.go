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
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// Path is the HTTP path on which other hosts connect.
	Path = "/relay"
	// maxMessageBytes bounds one message; a whole collection takes most of it.
	maxMessageBytes = 16 << 20
	// handshakeTimeout bounds dialing and the first message.
	handshakeTimeout = 600 * time.Millisecond
	// writeTimeout bounds the writing of one message.
	writeTimeout = 2 * time.Second
	// maxPending is the most updates held for a slow peer; what is dropped then
	// is asked for by the peer, which learns from heartbeats that it is behind.
	maxPending = 256
)

// link is one connection with a peer, used in both directions.
type link struct {
	relay  *Relay
	conn   *websocket.Conn
	host   chivehillcatalog.Host
	dialed bool
	wake   chan struct{}

	mu sync.Mutex
	// pending is what is to be sent, nil if nothing is.
	pending *chivehillwire.RelayMessage
	heardAt chivehillclock.Millis
	beat    *chivehillwire.RelayBeat
	// beatAt is when beat arrived.
	beatAt chivehillclock.Millis
	// behindAt is since when this host knows less of a collection than the peer.
	behindAt map[chivehillcatalog.Collection]chivehillclock.Millis
}

func newLink(r *Relay, conn *websocket.Conn, host chivehillcatalog.Host, dialed bool) *link {
	return &link{
		relay: r, conn: conn, host: host, dialed: dialed, wake: make(chan struct{}, 1), heardAt: r.Clock.Now(),
		behindAt: make(map[chivehillcatalog.Collection]chivehillclock.Millis),
	}
}

// dial connects to a host and learns who it is.
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
	host, err := r.greet(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, fmt.Errorf("greet %s: %w", address, err)
	}
	return newLink(r, conn, host, true), nil
}

// greet exchanges the first messages.
func (r *Relay) greet(ctx context.Context, conn *websocket.Conn) (chivehillcatalog.Host, error) {
	conn.SetReadLimit(maxMessageBytes)
	hello := chivehillwire.RelayHello{
		Host: r.Self.ID, Incarnation: r.Self.Incarnation, Region: r.Self.Region, FailureDomain: r.Self.Domain,
		CallerAddress: r.Self.CallerAddress, ReadyAddress: r.Self.ReadyAddress, PeerAddress: r.Self.PeerAddress,
	}
	if err := write(ctx, conn, chivehillwire.RelayMessage{Hello: &hello}); err != nil {
		return chivehillcatalog.Host{}, err
	}
	first, err := chivehillcodec.Read[chivehillwire.RelayMessage](ctx, conn)
	if err != nil {
		return chivehillcatalog.Host{}, err
	}
	if first.Hello == nil || first.Hello.Host == "" {
		return chivehillcatalog.Host{}, fmt.Errorf("%w: no hello", chivehillcodec.ErrMalformed)
	}
	h := first.Hello
	return chivehillcatalog.Host{
		ID: h.Host, Incarnation: h.Incarnation, Region: h.Region, Domain: h.FailureDomain,
		CallerAddress: h.CallerAddress, ReadyAddress: h.ReadyAddress, PeerAddress: h.PeerAddress,
	}, nil
}

func write(ctx context.Context, conn *websocket.Conn, m chivehillwire.RelayMessage) error {
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

// readAll returns the parts of the next message in order, the message itself last.
func readAll(ctx context.Context, conn *websocket.Conn) ([]chivehillwire.RelayMessage, error) {
	outer, err := chivehillcodec.Read[chivehillwire.RelayMessage](ctx, conn)
	if err != nil {
		return nil, err
	}
	var parts []chivehillwire.RelayMessage
	for _, e := range outer.Packed {
		part, err := unpack(e)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return append(parts, outer), nil
}

// run carries messages until the connection ends.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.relay.tasks.Go(func() {
		defer cancel()
		l.send(ctx)
	})
	for {
		parts, err := readAll(ctx, l.conn)
		if err != nil {
			_ = l.conn.CloseNow()
			return err
		}
		for _, m := range parts {
			l.hear(m)
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
		m := l.take()
		if m == nil {
			continue
		}
		if err := write(ctx, l.conn, *m); err != nil {
			_ = l.conn.CloseNow()
			return
		}
	}
}

func (l *link) take() *chivehillwire.RelayMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending
	l.pending = nil
	return m
}

// add changes the message that is sent next.
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
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) hear(m chivehillwire.RelayMessage) {
	now := l.relay.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt = now
	if m.Beat != nil {
		l.beat, l.beatAt = m.Beat, now
	}
}

// state describes the peer.
func (l *link) state(now chivehillclock.Millis) PeerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	silence := silenceTime
	if l.host.Region != l.relay.Self.Region {
		silence = farSilenceTime
	}
	p := PeerState{Host: l.host, Live: now-l.heardAt < silence, Beaten: l.beat != nil}
	if l.beat == nil {
		return p
	}
	p.Leaving, p.Down, p.Lost, p.Delegate = l.beat.Leaving, l.beat.Down, l.beat.Lost, l.beat.Delegate
	p.Searching = l.beat.Searching
	if l.beat.ContactAgeMs >= 0 {
		p.ContactAt, p.ContactEver = l.beatAt-l.beat.ContactAgeMs, true
	}
	return p
}

// collections returns what the peer knows of each collection, as it said last.
func (l *link) collections() []chivehillwire.RelayState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.beat == nil {
		return nil
	}
	return l.beat.Collections
}

// lagTime is how long news may take by itself before a peer is asked for it.
const lagTime = 350 * chivehillclock.Millisecond

// lags reports whether this host has known less of a collection than the peer
// for a while.
func (l *link) lags(c chivehillcatalog.Collection, behind bool, now chivehillclock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !behind {
		delete(l.behindAt, c)
		return false
	}
	since, lagging := l.behindAt[c]
	if !lagging {
		l.behindAt[c] = now
		return false
	}
	return now-since >= lagTime
}

// ServeHTTP accepts a connection of another host.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	conn, err := websocket.Accept(w, req, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		r.Log.Info().Str("step", "accept").Err(err).Msg("relay: connection refused.")
		return
	}
	r.tasks.Go(func() { r.accepted(conn) })
}

func (r *Relay) accepted(conn *websocket.Conn) {
	ctx, cancel := context.WithTimeout(r.ctx, handshakeTimeout)
	host, err := r.greet(ctx, conn)
	cancel()
	if err != nil {
		_ = conn.CloseNow()
		r.Log.Info().Str("step", "greet").Err(err).Msg("relay: connection refused.")
		return
	}
	r.use(newLink(r, conn, host, false))
}

// hostKey tells a host's links apart by who dialed.
type hostKey struct {
	id     chivehillid.HostID
	dialed bool
}
