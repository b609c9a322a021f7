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

// minPackBytes is the size at which a message is compressed.
const minPackBytes = 1 << 10

// flateWriters reuses compressors, since each one allocates about a megabyte.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// flateReaders reuses decompressors.
var flateReaders = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// pack encodes and compresses a message, so that it can be sent to many peers
// without being encoded again.
func pack(m chivehillwire.RelayMessage) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return deflate(data), nil
}

func deflate(data []byte) []byte {
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	// Writing to a bytes.Buffer never returns an error.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// unpack decompresses and decodes a message that pack encoded.
func unpack(packed []byte) (m chivehillwire.RelayMessage, err error) {
	data, err := inflate(packed)
	if err != nil {
		return m, err
	}
	return chivehillcodec.Decode[chivehillwire.RelayMessage](data)
}

func inflate(packed []byte) ([]byte, error) {
	r := flateReaders.Get().(io.ReadCloser)
	defer flateReaders.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, fmt.Errorf("reset decompressor: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: decompress packed message: %w", chivehillcodec.ErrMalformed, err)
	}
	if len(data) > maxMessageBytes {
		return nil, fmt.Errorf("%w: packed message exceeds %d bytes after decompression", chivehillcodec.ErrMalformed, maxMessageBytes)
	}
	return data, nil
}

// encode encodes a message for sending. It compresses a message of at least
// minPackBytes unless the message contains packed messages already.
func encode(m chivehillwire.RelayMessage) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(data) < minPackBytes || len(m.Packed) > 0 {
		return data, nil
	}
	data, err = cbor.Marshal(chivehillwire.RelayMessage{Packed: [][]byte{deflate(data)}})
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// snapshots caches a packed snapshot of each collection, which starting hosts
// request.
type snapshots struct {
	mu     sync.Mutex
	packed map[chivehillcatalog.Collection]packedSnapshot
}

type packedSnapshot struct {
	asOf   chivehillcatalog.Revision
	digest chivehillcatalog.Digest
	data   []byte
}

// get returns the packed snapshot of a collection, or nil while this host does not
// have the collection. It packs a new snapshot only if the collection has changed.
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
