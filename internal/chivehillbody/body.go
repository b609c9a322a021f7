// Package chivehillbody holds the bodies of requests in parts, so that a body of unknown or
// doubtful length takes no more memory than has arrived, and is never copied.
package chivehillbody

// Body is content in parts. Its parts must not be modified.
type Body [][]byte

// Of returns a body with the given content, which it does not copy.
func Of(data []byte) Body {
	if len(data) == 0 {
		return nil
	}
	return Body{data}
}

// Len returns the number of bytes.
func (b Body) Len() int {
	size := 0
	for _, p := range b {
		size += len(p)
	}
	return size
}

const (
	// FirstPartBytes is the size of the first part of a body.
	FirstPartBytes = 4 << 10
	// MaxPartBytes is the size of the largest parts.
	MaxPartBytes = 64 << 10
)

// NextPart returns the size of the part after so many bytes: as many again as have arrived,
// within bounds.
func NextPart(size int) int {
	return min(max(size, FirstPartBytes), MaxPartBytes)
}
