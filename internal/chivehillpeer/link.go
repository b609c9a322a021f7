package chivehillpeer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwake"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
	// sendTimeout bounds the time to write one message.
	sendTimeout = 2 * time.Second
	// maxPendingPools bounds the pools in a message that is not sent yet. Messages
	// about further pools are dropped.
	maxPendingPools = 4096
)

var errOtherIncarnation = errors.New("peer is not the expected incarnation of the expected host")

// link dials one member and sends to it.
type link struct {
	mesh   *Mesh
	member chivehillwire.Member
	// nonMember is set for a host that connected to this one without being a
	// member. It is written before the link is shared.
	nonMember bool
	since     chivehillclock.Millis
	cancel    context.CancelFunc
	wake      chivehillwake.Signal

	mu        sync.Mutex
	connected bool
	// pending is the next message to send, nil if there is none.
	pending *chivehillwire.Envelope
}

// startLink starts the goroutine that dials a member and sends to it.
func (m *Mesh) startLink(member chivehillwire.Member) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{mesh: m, member: member, since: m.clock.Now(), cancel: cancel, wake: chivehillwake.New()}
	m.tasks.Go(func() { l.run(ctx) })
	return l
}

func (l *link) stop() {
	l.cancel()
}

func (l *link) isConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connected
}

// add changes the pending message and wakes the sender. It returns false if the
// link is not connected.
func (l *link) add(change func(*chivehillwire.Envelope)) bool {
	l.mu.Lock()
	if !l.connected {
		l.mu.Unlock()
		return false
	}
	if l.pending == nil {
		l.pending = &chivehillwire.Envelope{}
	}
	change(l.pending)
	l.mu.Unlock()
	l.wake.Wake()
	return true
}

func (l *link) takePending() *chivehillwire.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.pending
	l.pending = nil
	return e
}

func (l *link) setConnected(connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected = connected
	l.pending = nil
}

// run redials with backoff until the link is stopped.
func (l *link) run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = minDialBackoff
	delay.MaxInterval = maxDialBackoff
	for ctx.Err() == nil {
		if l.session(ctx) {
			delay.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// session dials and sends until the connection ends. It returns whether the
// handshake succeeded.
func (l *link) session(ctx context.Context) bool {
	conn, err := l.dial(ctx)
	if err != nil {
		l.mesh.recordClosed("dial", l.member.Host, err)
		return false
	}
	defer func() { _ = conn.CloseNow() }()
	// The peer sends nothing after the handshake; reading detects the end of the
	// connection.
	ended := conn.CloseRead(ctx)
	l.setConnected(true)
	defer l.setConnected(false)
	if l.mesh.connected != nil {
		l.add(func(e *chivehillwire.Envelope) { l.mesh.connected(l.member, e) })
	}
	for {
		select {
		case <-ended.Done():
			return true
		case <-l.wake:
		}
		if err := l.flush(ended, conn); err != nil {
			l.mesh.recordClosed("send", l.member.Host, err)
			return true
		}
	}
}

func (l *link) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout.Duration())
	defer cancel()
	//nolint:bodyclose // the library closes the body of the handshake response
	conn, _, err := websocket.Dial(ctx, "ws://"+l.member.PeerAddress+Path, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled, HTTPClient: l.mesh.client,
	})
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", l.member.PeerAddress, err)
	}
	other, err := l.mesh.handshake(ctx, conn)
	if err == nil && (other.Host != l.member.Host || other.Incarnation != l.member.Incarnation) {
		err = errOtherIncarnation
	}
	if err != nil {
		_ = conn.CloseNow()
		return nil, fmt.Errorf("handshake with %s: %w", l.member.PeerAddress, err)
	}
	return conn, nil
}

// flush sends the pending message.
func (l *link) flush(ctx context.Context, conn *websocket.Conn) error {
	e := l.takePending()
	if e == nil {
		return nil
	}
	e.SentMs = l.mesh.clock.Now()
	e.EchoMs = l.mesh.echo(l.member.Host)
	data, err := cbor.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	scope := "region"
	if l.member.Region != l.mesh.self.Region {
		scope = "link"
	}
	l.mesh.metrics.PeerBytes.WithLabelValues(scope).Add(float64(len(data)))
	return nil
}

// AddPool merges messages about a pool into those that are already pending.
func AddPool(e *chivehillwire.Envelope, p chivehillwire.PoolMessages) {
	for i := range e.Pools {
		if e.Pools[i].Pool == p.Pool {
			mergePool(&e.Pools[i], p)
			return
		}
	}
	if len(e.Pools) < maxPendingPools {
		e.Pools = append(e.Pools, p)
	}
}

func mergePool(to *chivehillwire.PoolMessages, p chivehillwire.PoolMessages) {
	to.Load = p.Load
	to.LoadWanted = to.LoadWanted || p.LoadWanted
	to.Asks = append(to.Asks, p.Asks...)
	to.Grants = append(to.Grants, p.Grants...)
	to.Denials = append(to.Denials, p.Denials...)
	to.Releases = append(to.Releases, p.Releases...)
	for _, w := range p.Withdrawals {
		withdraw(to, w)
	}
}

// withdraw removes the ask if it has not been sent yet; otherwise it adds the
// withdrawal to the message.
func withdraw(to *chivehillwire.PoolMessages, w chivehillwire.AskWithdrawal) {
	for i, a := range to.Asks {
		if a.Ask == w.Ask {
			to.Asks = append(to.Asks[:i], to.Asks[i+1:]...)
			return
		}
	}
	to.Withdrawals = append(to.Withdrawals, w)
}

// Region returns a filter for Broadcast that accepts the members of one region.
func Region(region chivehillid.RegionID) func(chivehillwire.Member) bool {
	return func(m chivehillwire.Member) bool { return m.Region == region }
}
