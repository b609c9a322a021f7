// Package chivehillsync keeps the configuration and the membership of a host
// up to date from the platform's store.
package chivehillsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillstate"
	"github.com/chivehill/chivehill/internal/chivehillstore"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// callTimeout bounds one call to the store beyond its long poll.
	callTimeout = 2 * chivehillclock.Second
	// errorPause is the wait after a failed call.
	errorPause = 200 * chivehillclock.Millisecond
	// maxWriteTries bounds the tries of one conditional update.
	maxWriteTries = 20
)

// Sync follows the store.
type Sync struct {
	Store   *chivehillstore.Client
	State   *chivehillstate.State
	Clock   *chivehillclock.Clock
	Metrics *chivehillmetrics.Metrics
	Log     zerolog.Logger
	// Wait is the time of one long poll. It is well below the lease time.
	Wait chivehillclock.Millis
}

// FollowConfiguration follows the configuration until ctx ends.
func (s *Sync) FollowConfiguration(ctx context.Context) {
	s.follow(ctx, chivehillstore.ConfigurationObject, func(at chivehillclock.Millis, data []byte) error {
		var c chivehillwire.Configuration
		if len(data) > 0 {
			if err := json.Unmarshal(data, &c); err != nil {
				return fmt.Errorf("decode configuration: %w", err)
			}
			s.State.SetConfiguration(c)
		}
		s.State.ConfirmConfiguration(at, c.Version)
		return nil
	})
}

// FollowMembership follows the membership until ctx ends.
func (s *Sync) FollowMembership(ctx context.Context) {
	s.follow(ctx, chivehillstore.MembershipObject, func(at chivehillclock.Millis, data []byte) error {
		return s.takeMembership(at, data)
	})
}

func (s *Sync) takeMembership(at chivehillclock.Millis, data []byte) error {
	var m chivehillwire.Membership
	if len(data) > 0 {
		if err := json.Unmarshal(data, &m); err != nil {
			return fmt.Errorf("decode membership: %w", err)
		}
	}
	s.State.SetMembership(s.Clock.Now(), m)
	s.State.ConfirmMembership(at, m.Epoch)
	return nil
}

// follow reads an object again and again. take gets the newest data and the
// time at which the read began.
func (s *Sync) follow(ctx context.Context, name string, take func(at chivehillclock.Millis, data []byte) error) {
	var known chivehillstore.Object
	failing := false
	for ctx.Err() == nil {
		at := s.Clock.Now()
		object, err := s.watch(ctx, name, known.Version)
		switch {
		case err == nil:
			known = object
		case errors.Is(err, chivehillstore.ErrNotModified):
			err = nil
		case errors.Is(err, chivehillstore.ErrNotFound):
			err = nil
			known = chivehillstore.Object{}
			pause(ctx, errorPause)
		}
		if err == nil {
			err = take(at, known.Data)
		}
		if err == nil {
			s.State.StoreReached(at)
			failing = false
			continue
		}
		if !failing && ctx.Err() == nil {
			s.Log.Warn().Str("step", "read").Str("peer", "store").Str("object", name).Err(err).Msg("store: read failed.")
		}
		failing = true
		pause(ctx, errorPause)
	}
}

func (s *Sync) watch(ctx context.Context, name string, after uint64) (chivehillstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, (s.Wait + callTimeout).Duration())
	defer cancel()
	var object chivehillstore.Object
	var err error
	if after == 0 {
		object, err = s.Store.Get(ctx, name)
	} else {
		object, err = s.Store.Watch(ctx, name, after, s.Wait)
	}
	s.count("read", err)
	return object, err
}

func (s *Sync) count(operation string, err error) {
	result := "ok"
	if err != nil && !errors.Is(err, chivehillstore.ErrNotModified) {
		result = "error"
	}
	s.Metrics.StoreCalls.WithLabelValues(operation, result).Inc()
}

func pause(ctx context.Context, d chivehillclock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}

// ChangeMembership applies a change by conditional update. Lost answers and
// conflicts are resolved by reading again.
func (s *Sync) ChangeMembership(ctx context.Context, change chivehillmember.Change) error {
	var last error
	for range maxWriteTries {
		done, err := s.tryChange(ctx, change)
		if done {
			return nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		pause(ctx, errorPause/4)
	}
	return fmt.Errorf("change membership: %w", last)
}

// tryChange reads, changes and writes once. It reports whether the change is
// in the store.
func (s *Sync) tryChange(ctx context.Context, change chivehillmember.Change) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	at := s.Clock.Now()
	object, err := s.Store.Get(ctx, chivehillstore.MembershipObject)
	s.count("read", err)
	if err != nil && !errors.Is(err, chivehillstore.ErrNotFound) {
		return false, err
	}
	if err := s.takeMembership(at, object.Data); err != nil {
		return false, err
	}
	var current chivehillwire.Membership
	if len(object.Data) > 0 {
		if err := json.Unmarshal(object.Data, &current); err != nil {
			return false, fmt.Errorf("decode membership: %w", err)
		}
	}
	next, needed := change(current)
	if !needed {
		return true, nil
	}
	data, err := json.Marshal(next)
	if err != nil {
		return false, fmt.Errorf("encode membership: %w", err)
	}
	err = s.Store.Put(ctx, chivehillstore.MembershipObject, data, object.Version)
	s.count("write", err)
	if err != nil {
		return false, err
	}
	s.State.SetMembership(s.Clock.Now(), next)
	return true, nil
}
