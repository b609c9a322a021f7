// Package chivehillcodec reads the CBOR messages that hosts send each other
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
	// maxElements bounds the arrays and maps of a message.
	maxElements = 131_072
	// maxNestedLevels bounds how deep they may be nested.
	maxNestedLevels = 16
)

// ErrMalformed means that a message cannot be read.
var ErrMalformed = errors.New("malformed message")

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode decodes one message. Its errors are ErrMalformed.
func Decode[T any](data []byte) (message T, err error) {
	if err := decoder.Unmarshal(data, &message); err != nil {
		return message, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return message, nil
}

// Read reads the next message of a connection.
func Read[T any](ctx context.Context, conn *websocket.Conn) (message T, err error) {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return message, fmt.Errorf("read message: %w", err)
	}
	if kind != websocket.MessageBinary {
		return message, fmt.Errorf("%w: not binary", ErrMalformed)
	}
	return Decode[T](data)
}
