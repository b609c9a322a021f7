// Package chivehillcodec reads and decodes the CBOR messages that hosts exchange
// over WebSocket connections.
package chivehillcodec

import (
	"context"
	"errors"
	"fmt"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxElements limits the size of each array and map in a message.
	maxElements = 131_072
	// maxNestedLevels limits the nesting depth of arrays and maps.
	maxNestedLevels = 16
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = errors.New("malformed message")

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode decodes one message. Every error it returns wraps ErrMalformed.
func Decode[T any](data []byte) (message T, err error) {
	if err := decodeMode.Unmarshal(data, &message); err != nil {
		return message, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return message, nil
}

// Read reads and decodes the next message of a connection.
func Read[T any](ctx context.Context, conn *websocket.Conn) (message T, err error) {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return message, fmt.Errorf("read message: %w", err)
	}
	if kind != websocket.MessageBinary {
		return message, fmt.Errorf("%w: expected a binary WebSocket message", ErrMalformed)
	}
	return Decode[T](data)
}
