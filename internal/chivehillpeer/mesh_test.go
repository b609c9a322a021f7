package chivehillpeer

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const testTimeout = 20 * time.Second

// node is a mesh with its HTTP server and received messages.
type node struct {
	mesh     *Mesh
	metrics  *chivehillmetrics.Metrics
	address  string
	member   chivehillwire.Member
	received chan Message
}

func newNode(c *qt.C, host chivehillid.HostID, secret string) *node {
	n := &node{metrics: chivehillmetrics.New(), received: make(chan Message, 1000)}
	n.member = chivehillwire.Member{Host: host, Incarnation: "run", Region: "east", FailureDomain: "east-a"}
	server := httptest.NewUnstartedServer(nil)
	n.address = server.Listener.Addr().String()
	n.member.PeerAddress = n.address
	n.mesh = New(Options{
		Self: n.member, Secret: []byte(secret), Silence: chivehillclock.Minute, Clock: chivehillclock.New(),
		Metrics: n.metrics, Log: zerolog.Nop(), Receive: func(m Message) { n.received <- m },
	})
	server.Config.Handler = n.mesh
	server.Start()
	c.Cleanup(func() {
		n.mesh.Close()
		server.Close()
	})
	return n
}

// awaitClosed waits until a connection was counted as closed for a reason.
func (n *node) awaitClosed(c *qt.C, reason string) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if testutil.ToFloat64(n.metrics.PeerClosed.WithLabelValues(reason)) > 0 {
			return
		}
	}
	c.Fatalf("no connection was closed for %s", reason)
}

func TestPeerReceivesMessagesInSendOrder(t *testing.T) {
	c := qt.New(t)
	a, b := newNode(c, "a", "secret"), newNode(c, "b", "secret")
	a.mesh.SetMembers([]chivehillwire.Member{a.member, b.member})
	b.mesh.SetMembers([]chivehillwire.Member{a.member, b.member})
	const count = 200
	for i := range count {
		add := func(e *chivehillwire.Envelope) {
			AddPool(e, chivehillwire.PoolMessages{Pool: "p", Asks: []chivehillwire.Ask{{Ask: chivehillid.AskID(i)}}})
		}
		for !a.mesh.Send("b", add) {
			time.Sleep(time.Millisecond)
		}
	}
	next := chivehillid.AskID(0)
	for next < count {
		m := <-b.received
		c.Assert(m.From.Host, qt.Equals, chivehillid.HostID("a"))
		for _, p := range m.Envelope.Pools {
			for _, ask := range p.Asks {
				c.Assert(ask.Ask, qt.Equals, next)
				next++
			}
		}
	}
}

func TestWithdrawalRemovesUnsentAsk(t *testing.T) {
	c := qt.New(t)
	var e chivehillwire.Envelope
	AddPool(&e, chivehillwire.PoolMessages{Pool: "p", Asks: []chivehillwire.Ask{{Ask: 1}, {Ask: 2}}})
	AddPool(&e, chivehillwire.PoolMessages{Pool: "p", Withdrawals: []chivehillwire.AskWithdrawal{{Ask: 1}, {Ask: 9}}})
	c.Assert(e.Pools[0].Asks, qt.DeepEquals, []chivehillwire.Ask{{Ask: 2}})
	c.Assert(e.Pools[0].Withdrawals, qt.DeepEquals, []chivehillwire.AskWithdrawal{{Ask: 9}})
}

func TestInvalidHandshakeClosesConnection(t *testing.T) {
	hello := chivehillwire.Envelope{Hello: &chivehillwire.Hello{
		Protocol: Protocol, Nonce: "00", Member: chivehillwire.Member{Host: "x", Incarnation: "run"},
	}}
	old := chivehillwire.Envelope{Hello: &chivehillwire.Hello{Protocol: Protocol + 1}}
	tests := []struct {
		name   string
		send   func(ctx context.Context, conn *websocket.Conn) error
		reason string
	}{
		{"not CBOR", func(ctx context.Context, conn *websocket.Conn) error {
			return conn.Write(ctx, websocket.MessageBinary, []byte{0xff, 0x00})
		}, "malformed"},
		{"text", func(ctx context.Context, conn *websocket.Conn) error {
			return conn.Write(ctx, websocket.MessageText, []byte("hello"))
		}, "malformed"},
		{"message too large", func(ctx context.Context, conn *websocket.Conn) error {
			return conn.Write(ctx, websocket.MessageBinary, []byte(strings.Repeat("x", maxMessageBytes+1)))
		}, "too-large"},
		{"other protocol version", func(ctx context.Context, conn *websocket.Conn) error { return write(ctx, conn, old) }, "protocol-version"},
		{"wrong proof", func(ctx context.Context, conn *websocket.Conn) error {
			if err := write(ctx, conn, hello); err != nil {
				return err
			}
			return write(ctx, conn, chivehillwire.Envelope{Proof: &chivehillwire.Proof{Mac: "guess"}})
		}, "bad-proof"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newNode(c, "a", "secret")
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			conn, _, err := websocket.Dial(ctx, "ws://"+n.address+Path, nil) //nolint:bodyclose // the library closes it
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.CloseNow() }()
			// The mesh may close the connection before everything is written.
			_ = tt.send(ctx, conn)
			n.awaitClosed(c, tt.reason)
			c.Assert(n.received, qt.HasLen, 0)
		})
	}
}

func TestPeerWithOtherSecretIsRejected(t *testing.T) {
	c := qt.New(t)
	a, b := newNode(c, "a", "secret"), newNode(c, "b", "another")
	a.mesh.SetMembers([]chivehillwire.Member{b.member})
	b.awaitClosed(c, "bad-proof")
	c.Assert(a.mesh.Reachable(), qt.HasLen, 0)
}

func TestOffsetStaysLowerBoundDespiteDrift(t *testing.T) {
	c := qt.New(t)
	p := &peerState{}
	// Each sample is the echoed time of this host minus the peer's send time:
	// the peer echoes 50 at its time 40, and 60 at its time 65.
	p.observeOffset(0, 50-40)
	p.observeOffset(0, 60-65)
	c.Assert(p.offset, qt.Equals, chivehillclock.Millis(10))
	p.observeOffset(chivehillclock.Minute, -100)
	c.Assert(p.offset, qt.Equals, 10-chivehillclock.Millis(maxDrift)*chivehillclock.Minute)
}
