package chivehillstandin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// HostList is a stand-in for the platform's host list. What it is told shows
// after a lag.
type HostList struct {
	mu    sync.Mutex
	lag   time.Duration
	shown []chivehillwire.Member
	next  []chivehillwire.Member
	from  time.Time
}

// NewHostList returns an empty list.
func NewHostList(lag time.Duration) *HostList {
	return &HostList{lag: lag}
}

// Set replaces the list after the lag.
func (h *HostList) Set(members []chivehillwire.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settle()
	h.next = members
	h.from = time.Now().Add(h.lag)
}

func (h *HostList) settle() {
	if h.next != nil && time.Now().After(h.from) {
		h.shown, h.next = h.next, nil
	}
}

// Handler returns the protocol of the list, and its control under /control/.
func (h *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.settle()
		shown := h.shown
		if shown == nil {
			shown = []chivehillwire.Member{}
		}
		_ = json.NewEncoder(w).Encode(shown)
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
