// Package chivehillstandin implements fakes of the systems around chivehill, for
// tests and experiments: the platform's object store and host list, the servers of
// an upstream pool, and a TCP proxy that injects faults. It also generates load.
package chivehillstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillstore"
)

// StoreFaults are the faults that a fake store injects.
type StoreFaults struct {
	// Down makes the store respond to each call with status 503.
	Down bool `json:"down"`
	// SlowMs delays each call.
	SlowMs int `json:"slow-ms"`
	// LoseAnswers aborts the connection of each write after the write took effect.
	LoseAnswers bool `json:"lose-answers"`
}

// StoreCounts counts calls. A long poll counts as one read.
type StoreCounts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Conflicts counts writes that expected another version.
	Conflicts int `json:"conflicts"`
	// Limited counts calls beyond the rate limits.
	Limited int `json:"limited"`
}

// storedObject is one object with its version.
type storedObject struct {
	version uint64
	data    []byte
	// changed is closed when the object is replaced.
	changed chan struct{}
}

// Store is a fake of the platform's object store.
type Store struct {
	mu      sync.Mutex
	objects map[string]*storedObject
	faults  StoreFaults
	counts  StoreCounts
	// windowSecond is the Unix second in which windowReads and windowWrites are
	// counted for the rate limits.
	windowSecond int64
	windowReads  int
	windowWrites int
	// maxReads and maxWrites are the rate limits in calls per second.
	maxReads  int
	maxWrites int
}

// Rate limits of the platform's store.
const (
	storeReadsPerSecond  = 2000
	storeWritesPerSecond = 300
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[string]*storedObject), maxReads: storeReadsPerSecond, maxWrites: storeWritesPerSecond}
}

// Handler serves the HTTP API of the store, and a control API under /control/.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name}", s.get)
	mux.HandleFunc("PUT /v1/objects/{name}", s.put)
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f StoreFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	return mux
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Object returns the data of an object, or nil if there is none.
func (s *Store) Object(name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object := s.objects[name]; object != nil {
		return object.data
	}
	return nil
}

// admit applies the faults and rate limits. It reports whether the call proceeds;
// otherwise it has written the error response.
func (s *Store) admit(w http.ResponseWriter, write bool) (StoreFaults, bool) {
	s.mu.Lock()
	faults := s.faults
	limited := s.overLimit(write)
	s.mu.Unlock()
	if faults.SlowMs > 0 {
		time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
	}
	switch {
	case faults.Down:
		http.Error(w, "store is down", http.StatusServiceUnavailable)
	case limited:
		http.Error(w, "rate limit", http.StatusTooManyRequests)
	default:
		return faults, true
	}
	return faults, false
}

// overLimit counts a call and reports whether it exceeds a rate limit. The caller
// holds s.mu.
func (s *Store) overLimit(write bool) bool {
	if now := time.Now().Unix(); now != s.windowSecond {
		s.windowSecond, s.windowReads, s.windowWrites = now, 0, 0
	}
	if write {
		s.counts.Writes++
		s.windowWrites++
	} else {
		s.counts.Reads++
		s.windowReads++
	}
	over := s.windowReads > s.maxReads || s.windowWrites > s.maxWrites
	if over {
		s.counts.Limited++
	}
	return over
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.admit(w, false); !ok {
		return
	}
	name := r.PathValue("name")
	if after := r.URL.Query().Get("after"); after != "" {
		s.waitForChange(r, name, after)
	}
	s.mu.Lock()
	object := s.objects[name]
	down := s.faults.Down
	s.mu.Unlock()
	switch {
	case down:
		http.Error(w, "store is down", http.StatusServiceUnavailable)
	case object == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	case r.URL.Query().Get("after") == strconv.FormatUint(object.version, 10):
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set(chivehillstore.HeaderVersion, strconv.FormatUint(object.version, 10))
		_, _ = w.Write(object.data)
	}
}

// waitForChange implements the long poll of a read: it waits until the object has
// another version than after, for at most the wait-ms of the request.
func (s *Store) waitForChange(r *http.Request, name, after string) {
	wait, err := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil {
		return
	}
	s.mu.Lock()
	object := s.objects[name]
	s.mu.Unlock()
	if object == nil || strconv.FormatUint(object.version, 10) != after {
		return
	}
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	select {
	case <-object.changed:
	case <-t.C:
	case <-r.Context().Done():
	}
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	faults, ok := s.admit(w, true)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, chivehillstore.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseUint(r.Header.Get(chivehillstore.HeaderIfVersion), 10, 64)
	if err != nil {
		http.Error(w, "If-Version header is missing", http.StatusBadRequest)
		return
	}
	version, ok := s.compareAndSwap(r.PathValue("name"), data, expected)
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(chivehillstore.HeaderVersion, strconv.FormatUint(version, 10))
	if !ok {
		http.Error(w, "version differs", http.StatusPreconditionFailed)
	}
}

// compareAndSwap stores data if the object has the expected version, 0 for an
// object that does not exist. It returns the current version and whether it stored.
func (s *Store) compareAndSwap(name string, data []byte, expected uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[name]
	if current == nil {
		current = &storedObject{changed: make(chan struct{})}
	}
	if current.version != expected {
		s.counts.Conflicts++
		return current.version, false
	}
	s.objects[name] = &storedObject{version: expected + 1, data: data, changed: make(chan struct{})}
	close(current.changed)
	return expected + 1, true
}
