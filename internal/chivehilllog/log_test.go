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

// stuckSink takes nothing until it is opened.
type stuckSink struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (s *stuckSink) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestFullSinkNeverBlocks fills a sink that takes nothing: logging goes on, and
// what was dropped is counted.
func TestFullSinkNeverBlocks(t *testing.T) {
	sink := &stuckSink{open: make(chan struct{})}
	var dropped atomic.Int64
	log, closer := New(sink, zerolog.InfoLevel, func(lines int) { dropped.Add(int64(lines)) })
	started := time.Now()
	for i := range 3 * capacity {
		log.Info().Int("line", i).Msg("test: line.")
	}
	qt.Assert(t, time.Since(started) < 5*time.Second, qt.IsTrue)
	close(sink.open)
	qt.Assert(t, closer.Close(), qt.IsNil)
	qt.Assert(t, dropped.Load() > 0, qt.IsTrue)
	sink.mu.Lock()
	defer sink.mu.Unlock()
	qt.Assert(t, strings.Count(sink.text.String(), "\n") > 0, qt.IsTrue)
}
