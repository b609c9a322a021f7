package chivehillfront

import (
	"slices"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
)

const (
	// maxReadAheadBytes is the memory of a connection's requests above which no further one is
	// read before their responses are written.
	maxReadAheadBytes = 128 << 10
	// markInterval is the time over which the progress of connections is judged.
	markInterval = 500 * time.Millisecond
	// minBytesPerSecond is the rate below which a connection that holds memory counts as
	// stalled while memory is short. It is a third of what the header timeout demands.
	minBytesPerSecond = 8 << 10
	// relievedShare is the share of the memory that is freed at once.
	relievedShare = 4
)

// holding is what is reserved for a request and its response.
type holding struct {
	small, large, responses int64
}

func (h *holding) sum() int64 { return h.small + h.large + h.responses }

// smallMemory returns the memory for small requests.
func (s *Server) smallMemory() *chivehillbudget.Memory {
	if s.SmallMemory != nil {
		return s.SmallMemory
	}
	return s.BodyMemory
}

// reserve reserves memory. If there is none, stalled connections are closed for the sake of
// the requests that follow.
func (c *conn) reserve(h *holding, bytes int64, small bool) bool {
	memory, part := c.server.BodyMemory, &h.large
	if small {
		memory, part = c.server.smallMemory(), &h.small
	}
	if !memory.Reserve(bytes) {
		c.server.relieve(time.Now())
		return false
	}
	*part += bytes
	c.held.Add(bytes)
	return true
}

// chargeResponse counts the memory of a response until it is written.
func (c *conn) chargeResponse(h *holding, r Response) {
	bytes := int64(len(r.Body) + len(r.Header)*lineBytes)
	c.server.ResponseMemory.Charge(bytes)
	h.responses += bytes
	c.held.Add(bytes)
}

// release gives back all that is reserved.
func (c *conn) release(h *holding) {
	c.held.Add(-h.sum())
	if h.small != 0 {
		c.server.smallMemory().Release(h.small)
	}
	if h.large != 0 {
		c.server.BodyMemory.Release(h.large)
	}
	if h.responses != 0 {
		c.server.ResponseMemory.Release(h.responses)
	}
	*h = holding{}
}

// progress is the number of bytes that a connection has carried in both directions.
func (c *conn) progress() int64 { return c.limit.received.Load() + c.sent.Load() }

// relieve closes the connections that hold memory and have made no progress since the last
// call, those that hold most first, until a part of the memory is free.
func (s *Server) relieve(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.markedAt)
	if elapsed < markInterval {
		return
	}
	stalled := s.stalledConns(elapsed)
	slices.SortFunc(stalled, func(a, b *conn) int { return int(b.held.Load() - a.held.Load()) })
	wanted := s.BodyMemory.Limit() / relievedShare
	closed := 0
	for _, c := range stalled {
		if wanted <= 0 {
			break
		}
		wanted -= c.held.Load()
		c.giveUp()
		closed++
	}
	s.mark(now)
	if closed > 0 {
		s.Log.Warn().Int("closed", closed).Int("stalled", len(stalled)).Msg("front: memory is short; stalled connections were closed.")
	}
}

// stalledConns returns the connections that are read from or written to and were so at the
// last mark, and whose rate since then was too low.
func (s *Server) stalledConns(elapsed time.Duration) []*conn {
	var stalled []*conn
	wanted := int64(minBytesPerSecond * elapsed.Seconds())
	for c, before := range s.marks {
		if _, open := s.openConns[c]; open && c.transfers() && c.progress()-before < wanted {
			stalled = append(stalled, c)
		}
	}
	return stalled
}

// mark records the progress of the connections that hold memory.
func (s *Server) mark(now time.Time) {
	s.markedAt, s.marks = now, make(map[*conn]int64)
	for c := range s.openConns {
		if c.transfers() && c.held.Load() > 0 {
			s.marks[c] = c.progress()
		}
	}
}

// transfers reports whether a request is being read or a response written.
func (c *conn) transfers() bool { return c.reading.Load() || c.writing.Load() }

// giveUp ends the reading of a request, which is then refused as too slow, or the writing of
// a response.
func (c *conn) giveUp() {
	c.givenUp.Store(true)
	if c.writing.Load() {
		c.terminate()
		return
	}
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}
