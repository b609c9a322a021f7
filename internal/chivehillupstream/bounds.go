package chivehillupstream

import (
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
)

const (
	// maxHeadBytes limits the head of a response, with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxResponseBytes limits the response body, which is held in memory.
	maxResponseBytes = 64 << 20
	// freeBodyBytes is the part of each body that is read without a reservation, so that
	// usual responses pass while long ones use up the memory. It is also the size of the
	// further reads.
	freeBodyBytes = 64 << 10
	// joinedTwice is how often a body is in memory while its parts are put together.
	joinedTwice = 2
)

// headBound bounds the bytes read from a connection while it reads the head of a response.
type headBound struct {
	io.Reader
	// left is the number of bytes that may still be read.
	left int64
}

func (b *headBound) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("%w: head exceeds %d bytes", ErrInvalidResponse, maxHeadBytes)
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

func (b *headBound) startHead() { b.left = maxHeadBytes }

func (b *headBound) endHead() { b.left = math.MaxInt64 }

// readBody reads the body of a response. A body above maxResponseBytes, or one for which
// there is no memory, makes the response invalid, since it could only be forwarded in part.
func readBody(r io.Reader, memory *chivehillbudget.Memory) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, freeBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read response body: %w", err)
	}
	if len(body) < freeBodyBytes {
		return body, nil
	}
	parts, reserved := [][]byte{body}, int64(0)
	defer func() { memory.Release(reserved) }()
	for size := len(body); ; {
		if !memory.Reserve(joinedTwice * freeBodyBytes) {
			return nil, fmt.Errorf("%w: no memory for a body of more than %d bytes", ErrInvalidResponse, size)
		}
		reserved += joinedTwice * freeBodyBytes
		part := make([]byte, freeBodyBytes)
		n, err := fill(r, part)
		parts, size = append(parts, part[:n]), size+n
		switch {
		case size > maxResponseBytes:
			return nil, fmt.Errorf("%w: body exceeds %d bytes", ErrInvalidResponse, maxResponseBytes)
		case errors.Is(err, io.EOF):
			return join(parts, size), nil
		case err != nil:
			return nil, fmt.Errorf("read response body: %w", err)
		}
	}
}

// fill reads until part is full or an error occurs. Unlike io.ReadFull it leaves io.EOF as
// it is, since io.ErrUnexpectedEOF means that the body was cut off.
func fill(r io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var read int
		read, err = r.Read(part[n:])
		n += read
	}
	return n, err
}

func join(parts [][]byte, size int) []byte {
	body := make([]byte, 0, size)
	for _, e := range parts {
		body = append(body, e...)
	}
	return body
}
