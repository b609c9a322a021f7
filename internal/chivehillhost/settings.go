package chivehillhost

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillsettings"
)

// lookPeriod is the time between two looks at the settings file, which may
// change without a signal.
const lookPeriod = 2 * time.Second

// FollowSettings reloads the settings when their file changes, told by a signal
// or not, until ctx ends. Settings that cannot be used change nothing.
func (h *Host) FollowSettings(ctx context.Context, path string, told <-chan os.Signal) {
	last, err := os.ReadFile(path)
	if err != nil {
		h.log.Warn().Str("step", "read settings").Err(err).Msg("host: settings not followed yet.")
	}
	t := time.NewTicker(lookPeriod)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-told:
			signalled = true
		case <-t.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			h.log.Warn().Str("step", "read settings").Err(err).Msg("host: settings kept.")
			continue
		}
		if signalled || !bytes.Equal(data, last) {
			last = data
			h.reloadFrom(data)
		}
	}
}

func (h *Host) reloadFrom(data []byte) {
	s, err := chivehillsettings.ParseGateway(data)
	if err != nil {
		h.log.Error().Str("step", "reload").Err(err).Msg("host: settings kept.")
		return
	}
	if level, err := zerolog.ParseLevel(s.LogLevel); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	h.Reload(s)
}
