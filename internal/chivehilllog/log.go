// Package chivehilllog writes log lines without ever blocking who logs.
package chivehilllog

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// capacity is the number of lines held for a slow sink; older ones are dropped.
	capacity = 8192
	// pollPeriod is the time between two looks for lines to write.
	pollPeriod = 20 * time.Millisecond
)

// New returns a logger that writes to a sink in the background, and a function
// that writes what is held and ends it. Dropped lines are counted by dropped.
func New(sink io.Writer, level zerolog.Level, dropped func(lines int)) (zerolog.Logger, io.Closer) {
	w := diode.NewWriter(sink, capacity, pollPeriod, dropped)
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), w
}
