// Package chivehillwatcher keeps a catalog in sync with the platform's store by
// listing and watching its collections.
package chivehillwatcher

import (
	"context"
	"errors"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Errors that a Store returns.
var (
	// ErrHistoryGone means that the store no longer has the changes that a watch
	// asked for, so that the collection must be listed again.
	ErrHistoryGone = errors.New("watch history is no longer available")
	// ErrConflict means that an object already exists or was changed by another writer.
	ErrConflict = errors.New("object was changed by another writer")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
)

// Store is the platform's store, which holds the collections of the deployment.
type Store interface {
	// List reads a whole collection. It calls progress for each page that arrives.
	List(ctx context.Context, c chivehillcatalog.Collection, progress func()) (chivehillcatalog.Update, error)
	// Watch waits for changes after a revision. It returns ErrHistoryGone if the
	// store no longer has them, and no records if nothing changed within wait.
	Watch(ctx context.Context, c chivehillcatalog.Collection, since chivehillcatalog.Revision, wait chivehillclock.Millis) (chivehillcatalog.Update, error)
	// PutHost writes the entry of a host and returns the written record.
	PutHost(ctx context.Context, h chivehillcatalog.Host) (chivehillcatalog.Record, error)
	// PutRolloutState records the state of a roll-out and returns the written record. It
	// returns ErrConflict if the record has changed since the revision of the roll-out.
	PutRolloutState(ctx context.Context, r chivehillcatalog.Rollout, state chivehillcatalog.RolloutState) (chivehillcatalog.Record, error)
	// RemoveHost removes the entry of a host unless it was changed after revision.
	RemoveHost(ctx context.Context, id chivehillid.HostID, revision chivehillcatalog.Revision) error
}
