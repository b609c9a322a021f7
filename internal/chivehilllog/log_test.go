package chivehilllog

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// blockedSink blocks each write until unblocked is closed.
type blockedSink struct {
	unblocked chan struct{}
	mu        sync.Mutex
	text      strings.Builder
}

func (s *blockedSink) Write(p []byte) (int, error) {
	<-s.unblocked
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestBlockedSinkDoesNotBlockLogging logs more lines than the buffer holds while
// writes to the sink block: logging must not block, and dropped lines are counted.
func TestBlockedSinkDoesNotBlockLogging(t *testing.T) {
	sink := &blockedSink{unblocked: make(chan struct{})}
	var dropped atomic.Int64
	log, closer := New(sink, zerolog.InfoLevel, func(lines int) { dropped.Add(int64(lines)) })
	started := time.Now()
	for i := range 3 * bufferedLines {
		log.Info().Int("line", i).Msg("test: line.")
	}
	qt.Assert(t, time.Since(started) < 5*time.Second, qt.IsTrue)
	close(sink.unblocked)
	qt.Assert(t, closer.Close(), qt.IsNil)
	qt.Assert(t, dropped.Load() > 0, qt.IsTrue)
	sink.mu.Lock()
	defer sink.mu.Unlock()
	qt.Assert(t, strings.Count(sink.text.String(), "\n") > 0, qt.IsTrue)
}
