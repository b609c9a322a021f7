package chivehillrelay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillcodec"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// packBytes is the size from which a message is compressed.
const packBytes = 1 << 10

// writers are kept for reuse: one takes about a megabyte.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// readers are kept for reuse like writers.
var readers = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// pack encodes and compresses a message, so that many peers can get it for the
// work of one.
func pack(m chivehillwire.RelayMessage) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return deflate(data), nil
}

func deflate(data []byte) []byte {
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	// Writing to a buffer does not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// unpack reverses pack.
func unpack(packed []byte) (m chivehillwire.RelayMessage, err error) {
	data, err := inflate(packed)
	if err != nil {
		return m, err
	}
	return chivehillcodec.Decode[chivehillwire.RelayMessage](data)
}

func inflate(packed []byte) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, fmt.Errorf("inflate: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: inflate: %w", chivehillcodec.ErrMalformed, err)
	}
	if len(data) > maxMessageBytes {
		return nil, fmt.Errorf("%w: more than %d bytes when inflated", chivehillcodec.ErrMalformed, maxMessageBytes)
	}
	return data, nil
}

// encode encodes a message as it is sent, compressed if it is large.
func encode(m chivehillwire.RelayMessage) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(data) < packBytes || len(m.Packed) > 0 {
		return data, nil
	}
	data, err = cbor.Marshal(chivehillwire.RelayMessage{Packed: [][]byte{deflate(data)}})
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// snapshots keeps the packed state of each collection, which starting hosts ask for.
type snapshots struct {
	mu     sync.Mutex
	packed map[chivehillcatalog.Collection]packedSnapshot
}

type packedSnapshot struct {
	asOf   chivehillcatalog.Revision
	digest chivehillcatalog.Digest
	data   []byte
}

// get returns a whole collection, packed. It is nil while the collection is not known.
func (s *snapshots) get(catalog *chivehillcatalog.Catalog, c chivehillcatalog.Collection) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf, digest := catalog.State(c)
	if kept, found := s.packed[c]; found && kept.asOf == asOf && kept.digest == digest {
		return kept.data, nil
	}
	snapshot := catalog.Snapshot(c)
	if snapshot.AsOf == 0 {
		return nil, nil
	}
	data, err := pack(chivehillwire.RelayMessage{Updates: []chivehillwire.RelayUpdate{encodeUpdate(c, snapshot)}})
	if err != nil {
		return nil, err
	}
	if s.packed == nil {
		s.packed = make(map[chivehillcatalog.Collection]packedSnapshot)
	}
	s.packed[c] = packedSnapshot{asOf: asOf, digest: digest, data: data}
	return data, nil
}
