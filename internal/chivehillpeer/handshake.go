package chivehillpeer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivehill/chivehill/internal/chivehillcodec"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Protocol is the version of the peer protocol.
const Protocol = 1

// nonceBytes is the length of the random nonce in a handshake.
const nonceBytes = 16

// Handshake errors.
var (
	errProtocol = errors.New("peer uses another protocol version")
	errProof    = errors.New("proof of the shared secret is missing or wrong")
	errNoHello  = errors.New("first message is not a hello")
)

// handshake exchanges hellos and proofs and returns the peer. Both sides send the
// same messages.
func (m *Mesh) handshake(ctx context.Context, conn *websocket.Conn) (chivehillwire.Member, error) {
	raw := make([]byte, nonceBytes)
	if _, err := rand.Read(raw); err != nil {
		return chivehillwire.Member{}, fmt.Errorf("generate nonce: %w", err)
	}
	own := chivehillwire.Hello{Protocol: Protocol, Member: m.self, Nonce: hex.EncodeToString(raw)}
	if err := write(ctx, conn, chivehillwire.Envelope{Hello: &own}); err != nil {
		return chivehillwire.Member{}, fmt.Errorf("send hello: %w", err)
	}
	first, err := chivehillcodec.Read[chivehillwire.Envelope](ctx, conn)
	if err != nil {
		return chivehillwire.Member{}, fmt.Errorf("receive hello: %w", err)
	}
	if first.Hello == nil {
		return chivehillwire.Member{}, errNoHello
	}
	other := *first.Hello
	if other.Protocol != Protocol {
		return other.Member, errProtocol
	}
	proof := chivehillwire.Proof{Mac: m.mac(other.Nonce, own.Nonce, m.self.Host)}
	if err := write(ctx, conn, chivehillwire.Envelope{Proof: &proof}); err != nil {
		return other.Member, fmt.Errorf("send proof: %w", err)
	}
	second, err := chivehillcodec.Read[chivehillwire.Envelope](ctx, conn)
	if err != nil {
		return other.Member, fmt.Errorf("receive proof: %w", err)
	}
	want := m.mac(own.Nonce, other.Nonce, other.Member.Host)
	if second.Proof == nil || !hmac.Equal([]byte(second.Proof.Mac), []byte(want)) {
		return other.Member, errProof
	}
	return other.Member, nil
}

// mac returns the HMAC with which prover proves to the verifier that it has the
// shared secret.
func (m *Mesh) mac(verifierNonce, proverNonce string, prover chivehillid.HostID) string {
	h := hmac.New(sha256.New, m.secret)
	h.Write([]byte(verifierNonce + "." + proverNonce + "." + string(prover)))
	return hex.EncodeToString(h.Sum(nil))
}

func write(ctx context.Context, conn *websocket.Conn, e chivehillwire.Envelope) error {
	data, err := cbor.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}
