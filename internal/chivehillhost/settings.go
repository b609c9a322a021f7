package chivehillhost

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillsettings"
)

// pollInterval is the interval at which the settings file is read, since it may
// change without a signal.
const pollInterval = 2 * time.Second

// WatchSettings reloads the settings on a signal and when their file changes,
// until ctx ends. Invalid settings change nothing.
func (h *Host) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	last, err := os.ReadFile(path)
	if err != nil {
		h.log.Warn().Str("step", "read settings").Err(err).Msg("host: settings file could not be read; retrying.")
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-t.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			h.log.Warn().Str("step", "read settings").Err(err).Msg("host: settings file could not be read; the current settings stay in force.")
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
		h.log.Error().Str("step", "reload").Err(err).Msg("host: new settings are invalid; the current settings stay in force.")
		return
	}
	if level, err := zerolog.ParseLevel(s.LogLevel); err == nil {
		zerolog.SetGlobalLevel(level)
	}
	h.Reload(s)
}
