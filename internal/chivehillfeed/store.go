// Package chivehillfeed keeps a catalog up to date: from the platform's store,
// or from another host that follows the store.
package chivehillfeed

import (
	"context"
	"errors"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Errors of a store.
var (
	// ErrHistoryGone means that a watch has to begin anew with a list.
	ErrHistoryGone = errors.New("history is gone")
	// ErrConflict means that an object exists already or was changed by another.
	ErrConflict = errors.New("object was changed by another")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
)

// Store is the store that the deployment's collections lie in.
type Store interface {
	// List reads a whole collection. It calls progress for each part that arrives.
	List(ctx context.Context, c chivehillcatalog.Collection, progress func()) (chivehillcatalog.Update, error)
	// Watch waits for changes after a revision. It returns ErrHistoryGone if
	// they are not known any more, and no records if nothing changed in time.
	Watch(ctx context.Context, c chivehillcatalog.Collection, since chivehillcatalog.Revision, wait chivehillclock.Millis) (chivehillcatalog.Update, error)
	// PutHost writes the entry of a host and returns it.
	PutHost(ctx context.Context, h chivehillcatalog.Host) (chivehillcatalog.Record, error)
	// RemoveHost removes the entry of a host if it has not changed since revision.
	RemoveHost(ctx context.Context, id chivehillid.HostID, revision chivehillcatalog.Revision) error
}
