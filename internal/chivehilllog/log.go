// Package chivehilllog writes log lines in the background, so that logging never
// blocks the caller.
package chivehilllog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferedLines is the number of lines buffered for a slow sink. When the buffer
	// is full, the oldest lines are dropped.
	bufferedLines = 8192
	// pollInterval is the interval at which the buffer is checked for lines to write.
	pollInterval = 20 * time.Millisecond
)

// New returns a logger that writes to sink in the background, and a closer that
// writes the buffered lines and stops the logger. dropped is called with the number
// of lines that were dropped.
func New(sink io.Writer, level zerolog.Level, dropped func(lines int)) (zerolog.Logger, io.Closer) {
	w := diode.NewWriter(sink, bufferedLines, pollInterval, dropped)
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), w
}
