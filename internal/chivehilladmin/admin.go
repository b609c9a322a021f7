// Package chivehilladmin implements the endpoints of the administration API that
// change the configuration.
package chivehilladmin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillnote"
	"github.com/chivehill/chivehill/internal/chivehillsettings"
	"github.com/chivehill/chivehill/internal/chivehillstate"
	"github.com/chivehill/chivehill/internal/chivehillstore"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// NotesPath is the path to which release notes are posted.
	NotesPath = "/v1/notes"
	// maxNoteBytes bounds the size of a release note.
	maxNoteBytes = 1 << 20
	// maxCommitAttempts bounds the conditional updates tried for one note.
	maxCommitAttempts = 30
	commitTimeout     = 10 * time.Second
	retryDelay        = 50 * time.Millisecond
	// confirmTimeout bounds the wait until all members confirm a version.
	confirmTimeout      = 5 * time.Second
	confirmPollInterval = 20 * time.Millisecond
)

// Options configures an Admin.
type Options struct {
	Store    *chivehillstore.Client
	State    *chivehillstate.State
	Topology []chivehillwire.TopologyRegion
	// Token is the bearer token for changes. If it is empty, all changes are refused.
	Token   []byte
	Log     zerolog.Logger
	Metrics *chivehillmetrics.Metrics
	// InForce returns the configuration version in force at each reachable host.
	InForce func() map[chivehillid.HostID]chivehillid.Version
}

// Admin handles requests that change the configuration.
type Admin struct {
	Options
}

// New returns an Admin.
func New(o Options) *Admin {
	return &Admin{Options: o}
}

// Accepted is the response to an accepted note.
type Accepted struct {
	Note    chivehillid.NoteID  `json:"note"`
	Version chivehillid.Version `json:"version"`
	// Already is set if an earlier request applied the note.
	Already bool `json:"already,omitempty"`
	// InForce lists the hosts at which the version is in force.
	InForce []chivehillid.HostID `json:"in-force"`
	// NotConfirmed lists the members that did not confirm the version in time.
	NotConfirmed []chivehillid.HostID `json:"not-confirmed,omitempty"`
}

// Refused is the response to a refused note.
type Refused struct {
	Error string `json:"error"`
	// Uncertain is set if the note may have taken effect. Applying it again shows
	// whether it did.
	Uncertain bool `json:"uncertain,omitempty"`
}

// Register adds the routes to a router.
func (a *Admin) Register(r *httprouter.Router) {
	r.POST(NotesPath, a.postNote)
}

func (a *Admin) postNote(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !a.authorized(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		reply(w, http.StatusUnauthorized, Refused{Error: "bearer token is missing or wrong; allowed: the token of operator-token-file"})
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNoteBytes))
	if err != nil {
		reply(w, http.StatusRequestEntityTooLarge, Refused{Error: fmt.Sprintf("note cannot be read: %v; allowed: at most %d bytes", err, maxNoteBytes)})
		return
	}
	var note chivehillwire.Note
	if err := chivehillsettings.DecodeStrict(data, &note); err != nil {
		reply(w, http.StatusBadRequest, Refused{Error: "note: " + err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	accepted, err := a.Commit(ctx, note)
	if err != nil {
		a.Log.Info().Str("note", string(note.Note)).Err(err).Msg("note: refused.")
		reply(w, statusOf(err), Refused{Error: err.Error(), Uncertain: errors.Is(err, chivehillstore.ErrUncertain)})
		return
	}
	a.Log.Info().Str("note", string(note.Note)).Uint64("version", uint64(accepted.Version)).Msg("note: accepted.")
	a.awaitConfirmation(r.Context(), &accepted)
	reply(w, http.StatusOK, accepted)
}

func (a *Admin) authorized(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return found && len(a.Token) > 0 && subtle.ConstantTimeCompare([]byte(token), a.Token) == 1
}

func statusOf(err error) int {
	var conflict chivehillnote.ConflictError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.Is(err, errStore):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// errStore marks errors of the store, as opposed to refused notes.
var errStore = errors.New("store failed")

// Commit applies a note by conditional update and retries on errors of the store.
// If the response to an update is lost, the next attempt reads the configuration
// to find out whether the note is in it.
func (a *Admin) Commit(ctx context.Context, note chivehillwire.Note) (Accepted, error) {
	uncertain := false
	var lastErr error
	for range maxCommitAttempts {
		accepted, err := a.commitOnce(ctx, note)
		if err == nil {
			accepted.Already = accepted.Already && !uncertain
			return accepted, nil
		}
		if !errors.Is(err, errStore) {
			return Accepted{}, err
		}
		uncertain = uncertain || errors.Is(err, chivehillstore.ErrUncertain)
		lastErr = err
		select {
		case <-ctx.Done():
			return Accepted{}, commitError(lastErr, uncertain)
		case <-time.After(retryDelay):
		}
	}
	return Accepted{}, commitError(lastErr, uncertain)
}

func commitError(err error, uncertain bool) error {
	if uncertain && !errors.Is(err, chivehillstore.ErrUncertain) {
		return fmt.Errorf("commit note: %w: %w", chivehillstore.ErrUncertain, err)
	}
	return fmt.Errorf("commit note: %w", err)
}

// commitOnce reads the configuration, applies the note and writes it once.
func (a *Admin) commitOnce(ctx context.Context, note chivehillwire.Note) (Accepted, error) {
	object, err := a.Store.Get(ctx, chivehillstore.ConfigurationObject)
	if err != nil && !errors.Is(err, chivehillstore.ErrNotFound) {
		return Accepted{}, fmt.Errorf("%w: %w", errStore, err)
	}
	var current chivehillwire.Configuration
	if len(object.Data) > 0 {
		if err := json.Unmarshal(object.Data, &current); err != nil {
			return Accepted{}, fmt.Errorf("decode configuration: %w", err)
		}
	}
	if version, applied := chivehillnote.AppliedVersion(current, note.Note); applied {
		a.State.SetConfiguration(current)
		return Accepted{Note: note.Note, Version: version, Already: true}, nil
	}
	next, err := chivehillnote.Apply(current, note, a.Topology)
	if err != nil {
		return Accepted{}, err
	}
	data, err := json.Marshal(next)
	if err != nil {
		return Accepted{}, fmt.Errorf("encode configuration: %w", err)
	}
	if len(data) > chivehillstore.MaxObjectBytes {
		return Accepted{}, fmt.Errorf("configuration has %d bytes; allowed: at most %d", len(data), chivehillstore.MaxObjectBytes)
	}
	if err := a.Store.Put(ctx, chivehillstore.ConfigurationObject, data, object.Version); err != nil {
		return Accepted{}, fmt.Errorf("%w: %w", errStore, err)
	}
	a.State.SetConfiguration(next)
	return Accepted{Note: note.Note, Version: next.Version}, nil
}

// awaitConfirmation waits until all members confirm the version or
// confirmTimeout has passed. It fills in the lists of hosts of accepted.
func (a *Admin) awaitConfirmation(ctx context.Context, accepted *Accepted) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		a.updateConfirmed(accepted)
		if len(accepted.NotConfirmed) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(confirmPollInterval):
		}
	}
}

func (a *Admin) updateConfirmed(accepted *Accepted) {
	versions := a.InForce()
	accepted.InForce, accepted.NotConfirmed = nil, nil
	for _, m := range a.State.Membership().Members {
		if versions[m.Host] >= accepted.Version {
			accepted.InForce = append(accepted.InForce, m.Host)
		} else {
			accepted.NotConfirmed = append(accepted.NotConfirmed, m.Host)
		}
	}
}
