package chivehillstandin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// HostList is a fake of the platform's host list. Changes become visible after a
// lag, as they propagate on the platform.
type HostList struct {
	mu        sync.Mutex
	lag       time.Duration
	visible   []chivehillwire.Member
	pending   []chivehillwire.Member
	visibleAt time.Time
}

// NewHostList returns an empty list whose changes become visible after lag.
func NewHostList(lag time.Duration) *HostList {
	return &HostList{lag: lag}
}

// Set schedules members to replace the list after the lag. A change that is
// still pending is dropped.
func (h *HostList) Set(members []chivehillwire.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishPending()
	h.pending = members
	h.visibleAt = time.Now().Add(h.lag)
}

// publishPending makes the pending list visible if its lag has passed. The caller
// holds h.mu.
func (h *HostList) publishPending() {
	if h.pending != nil && time.Now().After(h.visibleAt) {
		h.visible, h.pending = h.pending, nil
	}
}

// Handler serves the HTTP API of the host list, and a control API under /control/.
func (h *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.publishPending()
		visible := h.visible
		if visible == nil {
			visible = []chivehillwire.Member{}
		}
		_ = json.NewEncoder(w).Encode(visible)
	})
	mux.HandleFunc("POST /control/hosts", func(w http.ResponseWriter, r *http.Request) {
		var members []chivehillwire.Member
		if err := json.NewDecoder(r.Body).Decode(&members); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.Set(members)
	})
	return mux
}
