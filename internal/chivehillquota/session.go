package chivehillquota

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillcodec"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// Path is the HTTP path to which hosts connect that ask for tokens.
	Path = "/quota"
	// maxMessageBytes limits the size of one message: some hundred workspaces.
	maxMessageBytes = 256 << 10
	// dialTimeout limits the time for dialing an owner and for its first answer.
	dialTimeout = 500 * time.Millisecond
	// answerTimeout is the time without an answer after which an owner counts as failed.
	answerTimeout = 300 * time.Millisecond
	// idleTimeout is the time without a request after which an owner closes a connection.
	idleTimeout = 15 * time.Second
)

// session is a connection to an owner, or this host as its own owner.
type session struct {
	owner chivehillid.HostID
	// exchange sends a request and returns the answer.
	exchange func(context.Context, chivehillwire.QuotaAsk) (chivehillwire.QuotaAnswer, error)
	close    func()
	// usedAt is when a request was last sent, if the session is one with a lender.
	usedAt chivehillclock.Millis
}

// localSession returns a session with the owner of this host.
func (s *Service) localSession() *session {
	return &session{
		owner: s.Self.ID,
		exchange: func(_ context.Context, ask chivehillwire.QuotaAsk) (chivehillwire.QuotaAnswer, error) {
			return s.handle(s.Self.ID, ask), nil
		},
		close: func() {},
	}
}

// connect returns a session with the owner of a host, which has answered once.
func (s *Service) connect(ctx context.Context, h chivehillcatalog.Host) (*session, error) {
	if h.ID == s.Self.ID {
		return s.localSession(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	//nolint:bodyclose // the library closes the body of the handshake response
	conn, _, err := websocket.Dial(ctx, "ws://"+h.PeerAddress+Path, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled, HTTPClient: s.client,
	})
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", h.ID, err)
	}
	conn.SetReadLimit(maxMessageBytes)
	p := &session{
		owner: h.ID, close: func() { _ = conn.CloseNow() },
		exchange: func(ctx context.Context, ask chivehillwire.QuotaAsk) (chivehillwire.QuotaAnswer, error) {
			return s.exchange(ctx, conn, ask)
		},
	}
	if _, err := p.exchange(ctx, chivehillwire.QuotaAsk{Host: s.Self.ID}); err != nil {
		p.close()
		return nil, fmt.Errorf("first answer of %s: %w", h.ID, err)
	}
	return p, nil
}

// exchange sends a request over a connection and reads the answer.
func (s *Service) exchange(ctx context.Context, conn *websocket.Conn, ask chivehillwire.QuotaAsk) (answer chivehillwire.QuotaAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if err := s.write(ctx, conn, ask); err != nil {
		return answer, err
	}
	return read[chivehillwire.QuotaAnswer](ctx, s, conn)
}

func (s *Service) write(ctx context.Context, conn *websocket.Conn, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	s.Metrics.Bytes.WithLabelValues("sent").Add(float64(len(data)))
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

func read[T any](ctx context.Context, s *Service, conn *websocket.Conn) (message T, err error) {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return message, fmt.Errorf("read message: %w", err)
	}
	if kind != websocket.MessageBinary {
		return message, fmt.Errorf("%w: expected a binary WebSocket message", chivehillcodec.ErrMalformed)
	}
	s.Metrics.Bytes.WithLabelValues("received").Add(float64(len(data)))
	return chivehillcodec.Decode[T](data)
}

// ServeHTTP accepts a connection of a host that asks for tokens.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.Bounds().Enabled() {
		http.NotFound(w, r)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		s.Log.Info().Str("step", "accept").Err(err).Msg("quota: failed to accept a connection.")
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessageBytes)
	peer, err := s.serve(conn)
	if errors.Is(err, chivehillcodec.ErrMalformed) {
		s.Log.Warn().Str("step", "read ask").Str("peer", string(peer)).Err(err).Msg("quota: a host sent a malformed message.")
	}
}

// serve answers the requests of a host until its connection ends.
func (s *Service) serve(conn *websocket.Conn) (peer chivehillid.HostID, err error) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, idleTimeout)
		ask, err := read[chivehillwire.QuotaAsk](ctx, s, conn)
		if err == nil && peer == "" {
			peer = ask.Host
		}
		if err == nil && peer == "" {
			err = fmt.Errorf("%w: expected the name of the host", chivehillcodec.ErrMalformed)
		}
		if err == nil {
			err = s.write(ctx, conn, s.handle(peer, ask))
		}
		cancel()
		if err != nil {
			return peer, err
		}
	}
}

// handle answers a request as the owner.
func (s *Service) handle(from chivehillid.HostID, ask chivehillwire.QuotaAsk) chivehillwire.QuotaAnswer {
	s.ownerMu.Lock()
	defer s.ownerMu.Unlock()
	return s.owner.Handle(s.Clock.Now(), from, ask)
}
