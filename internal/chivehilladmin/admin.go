// Package chivehilladmin holds the commands of the administration API: what
// changes the configuration.
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
	// maxNoteBytes bounds a release note.
	maxNoteBytes = 1 << 20
	// maxCommitTries bounds the conditional updates of one note.
	maxCommitTries = 30
	commitTimeout  = 10 * time.Second
	retryPause     = 50 * time.Millisecond
	// forceTimeout bounds the wait until a note is in force everywhere.
	forceTimeout = 5 * time.Second
	forcePoll    = 20 * time.Millisecond
)

// Options of the commands.
type Options struct {
	Store    *chivehillstore.Client
	State    *chivehillstate.State
	Topology []chivehillwire.TopologyRegion
	// Token is the bearer token for changes. Without one all changes are refused.
	Token   []byte
	Log     zerolog.Logger
	Metrics *chivehillmetrics.Metrics
	// InForce returns the version in force at each host that can be reached.
	InForce func() map[chivehillid.HostID]chivehillid.Version
}

// Admin carries out commands.
type Admin struct {
	Options
}

// New returns the commands.
func New(o Options) *Admin {
	return &Admin{Options: o}
}

// Accepted is the answer to a note that was accepted.
type Accepted struct {
	Note    chivehillid.NoteID  `json:"note"`
	Version chivehillid.Version `json:"version"`
	// Already is set if the note had been accepted before.
	Already bool `json:"already,omitempty"`
	// InForce lists the hosts at which the version is in force.
	InForce []chivehillid.HostID `json:"in-force"`
	// NotConfirmed lists the members that did not confirm it in time.
	NotConfirmed []chivehillid.HostID `json:"not-confirmed,omitempty"`
}

// Refused is the answer to a note that was refused.
type Refused struct {
	Error string `json:"error"`
	// Uncertain is set if the note may have taken effect. Applying it again tells.
	Uncertain bool `json:"uncertain,omitempty"`
}

// Register adds the commands to a router.
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
	a.awaitForce(r.Context(), &accepted)
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

// errStore marks failures of the store, as opposed to refused notes.
var errStore = errors.New("store failed")

// Commit applies a note by conditional update. A lost answer is resolved by
// reading whether the note is in the configuration.
func (a *Admin) Commit(ctx context.Context, note chivehillwire.Note) (Accepted, error) {
	uncertain := false
	var last error
	for range maxCommitTries {
		accepted, err := a.try(ctx, note)
		if err == nil {
			accepted.Already = accepted.Already && !uncertain
			return accepted, nil
		}
		if !errors.Is(err, errStore) {
			return Accepted{}, err
		}
		uncertain = uncertain || errors.Is(err, chivehillstore.ErrUncertain)
		last = err
		select {
		case <-ctx.Done():
			return Accepted{}, commitError(last, uncertain)
		case <-time.After(retryPause):
		}
	}
	return Accepted{}, commitError(last, uncertain)
}

func commitError(err error, uncertain bool) error {
	if uncertain && !errors.Is(err, chivehillstore.ErrUncertain) {
		return fmt.Errorf("commit note: %w: %w", chivehillstore.ErrUncertain, err)
	}
	return fmt.Errorf("commit note: %w", err)
}

// try reads the configuration, applies the note and writes once.
func (a *Admin) try(ctx context.Context, note chivehillwire.Note) (Accepted, error) {
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
		return Accepted{}, fmt.Errorf("configuration of %d bytes; allowed: at most %d", len(data), chivehillstore.MaxObjectBytes)
	}
	if err := a.Store.Put(ctx, chivehillstore.ConfigurationObject, data, object.Version); err != nil {
		return Accepted{}, fmt.Errorf("%w: %w", errStore, err)
	}
	a.State.SetConfiguration(next)
	return Accepted{Note: note.Note, Version: next.Version}, nil
}

// awaitForce waits until the version is in force at all members, or reports
// those that did not confirm it.
func (a *Admin) awaitForce(ctx context.Context, accepted *Accepted) {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	for {
		a.compareForce(accepted)
		if len(accepted.NotConfirmed) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(forcePoll):
		}
	}
}

func (a *Admin) compareForce(accepted *Accepted) {
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
