// Package chivehillsync keeps a host's copy of the configuration and the
// membership up to date by long polls of the platform's object store, and writes
// membership changes.
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
	// callTimeout bounds a read, in addition to the wait of its long poll, and
	// one attempt of a conditional update, which is a read and a write.
	callTimeout = 2 * chivehillclock.Second
	// retryDelay is the delay before an object is read again after an error or
	// while it does not exist. Conditional updates are retried after a quarter of it.
	retryDelay = 200 * chivehillclock.Millisecond
	// maxUpdateAttempts is the maximum number of attempts of one conditional update.
	maxUpdateAttempts = 20
)

// Sync copies the configuration and the membership from the store to State.
type Sync struct {
	Store   *chivehillstore.Client
	State   *chivehillstate.State
	Clock   *chivehillclock.Clock
	Metrics *chivehillmetrics.Metrics
	Log     zerolog.Logger
	// Wait is the longest wait of one long poll. It must be well below the lease
	// time.
	Wait chivehillclock.Millis
}

// FollowConfiguration updates the configuration in State whenever the stored
// object changes, until ctx ends.
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

// FollowMembership updates the membership in State whenever the stored object
// changes, until ctx ends.
func (s *Sync) FollowMembership(ctx context.Context) {
	s.follow(ctx, chivehillstore.MembershipObject, func(at chivehillclock.Millis, data []byte) error {
		return s.applyMembership(at, data)
	})
}

func (s *Sync) applyMembership(at chivehillclock.Millis, data []byte) error {
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

// follow polls an object until ctx ends. After each successful poll, also if the
// object is unchanged or does not exist, it calls apply with the latest data and
// the time at which the poll began. It logs only the first of consecutive errors.
func (s *Sync) follow(ctx context.Context, name string, apply func(startedAt chivehillclock.Millis, data []byte) error) {
	var latest chivehillstore.Object
	failing := false
	for ctx.Err() == nil {
		startedAt := s.Clock.Now()
		object, err := s.watch(ctx, name, latest.Version)
		switch {
		case err == nil:
			latest = object
		case errors.Is(err, chivehillstore.ErrNotModified):
			err = nil
		case errors.Is(err, chivehillstore.ErrNotFound):
			err = nil
			latest = chivehillstore.Object{}
			sleep(ctx, retryDelay)
		}
		if err == nil {
			err = apply(startedAt, latest.Data)
		}
		if err == nil {
			s.State.StoreReached(startedAt)
			failing = false
			continue
		}
		if !failing && ctx.Err() == nil {
			s.Log.Warn().Str("step", "read").Str("peer", "store").Str("object", name).Err(err).Msg("store: reading or applying an object failed; retrying.")
		}
		failing = true
		sleep(ctx, retryDelay)
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
	s.countCall("read", err)
	return object, err
}

func (s *Sync) countCall(operation string, err error) {
	result := "ok"
	if err != nil && !errors.Is(err, chivehillstore.ErrNotModified) {
		result = "error"
	}
	s.Metrics.StoreCalls.WithLabelValues(operation, result).Inc()
}

func sleep(ctx context.Context, d chivehillclock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}

// ChangeMembership applies a change by conditional update. After a conflict, or a
// write whose outcome is unknown, it reads the membership again and retries.
func (s *Sync) ChangeMembership(ctx context.Context, change chivehillmember.Change) error {
	var lastErr error
	for range maxUpdateAttempts {
		done, err := s.tryChangeMembership(ctx, change)
		if done {
			return nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
		sleep(ctx, retryDelay/4)
	}
	return fmt.Errorf("change membership: no attempt succeeded: %w", lastErr)
}

// tryChangeMembership makes one attempt to read, change and write the membership.
// It reports whether the stored membership has the change.
func (s *Sync) tryChangeMembership(ctx context.Context, change chivehillmember.Change) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	startedAt := s.Clock.Now()
	object, err := s.Store.Get(ctx, chivehillstore.MembershipObject)
	s.countCall("read", err)
	if err != nil && !errors.Is(err, chivehillstore.ErrNotFound) {
		return false, err
	}
	if err := s.applyMembership(startedAt, object.Data); err != nil {
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
	s.countCall("write", err)
	if err != nil {
		return false, err
	}
	s.State.SetMembership(s.Clock.Now(), next)
	return true, nil
}
